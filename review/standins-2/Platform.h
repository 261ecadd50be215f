/**
 * Stand-ins of the users' platform for the review's scripts: the store, the
 * workers and a caller, each on loopback sockets, and the scheduler processes
 * under test, which are started with the command of the deploy file.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::uint64_t
UnixMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

inline void
Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

/** Writes what was sent, answered and run, one line an event. Thread safe. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath, std::ios::trunc)
    , begun(SteadyClock::now())
  {
  }

  std::int64_t NowMs() const
  {
    return std::chrono::duration_cast<milliseconds>(SteadyClock::now() -
                                                    this->begun)
      .count();
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(this->mutex);
    this->file << this->NowMs() << " ms  " << aLine << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
  SteadyClock::time_point begun;
};

struct Request
{
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
};

struct Response
{
  int status = 200;
  Json body = Json::object();
};

/** HTTP server with a thread for each connection. A handler that returns
 * nothing ends the connection without a response. */
class Server
{
public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  Server(const std::string& aAddress, std::uint16_t aPort, Handler aHandler)
    : acceptor(this->context)
    , address(aAddress)
    , handler(std::move(aHandler))
  {
    this->Listen(aPort);
  }

  std::uint16_t Port() const { return this->port; }

  /** Closes the listener and resets all connections, like a crash. */
  void Crash()
  {
    this->closed = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    boost::system::error_code error;
    this->acceptor.close(error);
    this->ResetConnections();
  }

  void ResetConnections()
  {
    const std::lock_guard lock(this->mutex);
    for (const int socket : this->sockets) {
      const linger reset{ 1, 0 };
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(socket, SHUT_RDWR);
    }
  }

  void Restart() { this->Listen(this->port); }

private:
  void Listen(std::uint16_t aPort)
  {
    this->acceptor = Tcp::acceptor(this->context);
    const Tcp::endpoint endpoint(asio::ip::make_address(this->address), aPort);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->port = this->acceptor.local_endpoint().port();
    this->closed = false;
    std::thread([this, listener = this->acceptor.native_handle()] {
      this->AcceptLoop(listener);
    }).detach();
  }

  void AcceptLoop(int aListener)
  {
    while (true) {
      const int socket = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      {
        const std::lock_guard lock(this->mutex);
        this->sockets.insert(socket);
      }
      std::thread([this, socket] { this->Serve(socket); }).detach();
    }
  }

  void Serve(int aSocket)
  {
    {
      asio::io_context own;
      Tcp::socket socket(own, Tcp::v4(), aSocket);
      boost::system::error_code error;
      socket.set_option(Tcp::no_delay(true), error);
      boost::beast::flat_buffer buffer;
      while (!error && this->ServeOne(socket, buffer, error)) {
      }
      const std::lock_guard lock(this->mutex);
      this->sockets.erase(aSocket);
    }
  }

  bool ServeOne(Tcp::socket& aSocket,
                boost::beast::flat_buffer& aBuffer,
                boost::system::error_code& aError)
  {
    http::request<http::string_body> message;
    http::read(aSocket, aBuffer, message, aError);
    if (aError) {
      return false;
    }
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    for (const auto& field : message) {
      request.headers[std::string(field.name_string())] =
        std::string(field.value());
    }
    const auto answer = this->handler(request);
    if (!answer) {
      return false;
    }
    http::response<http::string_body> reply;
    reply.version(11);
    reply.result(static_cast<unsigned>(answer->status));
    reply.set(http::field::content_type, "application/json");
    reply.body() = answer->body.dump();
    reply.prepare_payload();
    http::write(aSocket, reply, aError);
    return !aError;
  }

  asio::io_context context;
  Tcp::acceptor acceptor;
  std::string address;
  std::uint16_t port = 0;
  Handler handler;
  std::mutex mutex;
  std::set<int> sockets;
  std::atomic<bool> closed{ false };
};

inline std::string
Base64Encode(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  std::size_t i = 0;
  while (i < aText.size()) {
    std::uint32_t bits = 0;
    int bytes = 0;
    for (int k = 0; k < 3; ++k) {
      bits <<= 8;
      if (i < aText.size()) {
        bits |= static_cast<unsigned char>(aText[i++]);
        ++bytes;
      }
    }
    for (int k = 0; k < 4; ++k) {
      result += k <= bytes ? kDigits[(bits >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return result;
}

/** The platform's metadata store, as PROTOCOL.md tells it. Values are kept as
 * they are sent, in base64. Thread safe. */
class Store
{
public:
  /** Time that an answer takes, by SYSTEM.md. */
  static constexpr int kAnswerMs = 4;

  explicit Store(const std::string& aAddress)
    : server(aAddress, 0, [this](const Request& aRequest) {
      return this->Answer(aRequest);
    })
  {
    std::thread([this] { this->ExpireLeases(); }).detach();
  }

  std::uint16_t Port() const { return this->server.Port(); }

  /** Writes a key as the operator or a worker does. */
  void Put(const std::string& aKey, const Json& aValue)
  {
    const std::lock_guard lock(this->mutex);
    this->Write(aKey, Base64Encode(aValue.dump()), 0, ++this->revision);
    this->changed.notify_all();
  }

  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    this->Erase(aKey, ++this->revision);
    this->changed.notify_all();
  }

  bool Has(const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    return this->items.contains(aKey);
  }

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease
  {
    std::int64_t ttlMs = 0;
    SteadyClock::time_point until;
  };

  static Json Row(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", aItem.value },
             { "revision", aItem.revision },
             { "created", aItem.created },
             { "lease", aItem.lease } };
  }

  void Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease,
             std::uint64_t aRevision)
  {
    Item& item = this->items[aKey];
    item.created = item.created == 0 ? aRevision : item.created;
    item.revision = aRevision;
    item.value = aValue;
    item.lease = aLease;
    this->history.push_back({ aRevision, aKey, Row(aKey, item) });
  }

  void Erase(const std::string& aKey, std::uint64_t aRevision)
  {
    if (this->items.erase(aKey) > 0) {
      this->history.push_back({ aRevision,
                                aKey,
                                { { "key", aKey },
                                  { "revision", aRevision },
                                  { "tombstone", true } } });
    }
  }

  void EndLease(std::uint64_t aLease)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    this->leases.erase(aLease);
    if (keys.empty()) {
      return;
    }
    ++this->revision;
    for (const std::string& key : keys) {
      this->Erase(key, this->revision);
    }
    this->changed.notify_all();
  }

  void ExpireLeases()
  {
    while (true) {
      Sleep(10);
      const std::lock_guard lock(this->mutex);
      std::vector<std::uint64_t> over;
      for (const auto& [id, lease] : this->leases) {
        if (SteadyClock::now() >= lease.until) {
          over.push_back(id);
        }
      }
      for (const std::uint64_t id : over) {
        this->EndLease(id);
      }
    }
  }

  static std::map<std::string, std::string> Query(const std::string& aTarget)
  {
    std::map<std::string, std::string> result;
    const std::size_t mark = aTarget.find('?');
    if (mark == std::string::npos) {
      return result;
    }
    std::istringstream text(aTarget.substr(mark + 1));
    std::string part;
    while (std::getline(text, part, '&')) {
      const std::size_t equals = part.find('=');
      std::string value;
      const std::string raw = part.substr(equals + 1);
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%') {
          value +=
            static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
          continue;
        }
        value += raw[i];
      }
      result[part.substr(0, equals)] = value;
    }
    return result;
  }

  std::optional<Response> Answer(const Request& aRequest)
  {
    const std::string path =
      aRequest.target.substr(0, aRequest.target.find('?'));
    auto query = Query(aRequest.target);
    if (path != "/-/kv-watch") {
      Sleep(kAnswerMs);
    }
    std::unique_lock lock(this->mutex);
    if (path == "/-/kv-key") {
      const auto found = this->items.find(query["key"]);
      if (found == this->items.end()) {
        return Response{ 404, { { "currentRev", this->revision } } };
      }
      Json row = Row(found->first, found->second);
      row["currentRev"] = this->revision;
      return Response{ 200, row };
    }
    if (path == "/-/kv-range") {
      return this->Range(query["prefix"], query["after"]);
    }
    if (path == "/-/kv-watch") {
      return this->Watch(lock,
                         query["prefix"],
                         std::stoull(query["after"]),
                         std::stoi(query["waitMs"]));
    }
    if (path == "/-/kv-txn") {
      return this->Commit(Json::parse(aRequest.body));
    }
    const std::uint64_t id =
      path.rfind('/') > 2
        ? std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10)
        : 0;
    if (path == "/-/kv-lease") {
      const std::int64_t ttl = Json::parse(aRequest.body).at("ttlMs");
      const std::uint64_t granted = ++this->lastLease;
      this->leases[granted] = { ttl, SteadyClock::now() + milliseconds(ttl) };
      return Response{ 200, { { "lease", granted }, { "ttlMs", ttl } } };
    }
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end()) {
      return Response{ 404, Json::object() };
    }
    if (path.starts_with("/-/kv-keep/")) {
      lease->second.until =
        SteadyClock::now() + milliseconds(lease->second.ttlMs);
      return Response{ 200, { { "ttlMs", lease->second.ttlMs } } };
    }
    this->EndLease(id);
    return Response{ 200, Json::object() };
  }

  Response Range(const std::string& aPrefix, const std::string& aAfter)
  {
    constexpr std::size_t kPage = 500;
    Json rows = Json::array();
    bool more = false;
    for (auto at = this->items.lower_bound(aPrefix);
         at != this->items.end() && at->first.starts_with(aPrefix);
         ++at) {
      if (!aAfter.empty() && at->first <= aAfter) {
        continue;
      }
      if (rows.size() == kPage) {
        more = true;
        break;
      }
      rows.push_back(Row(at->first, at->second));
    }
    return { 200,
             { { "items", rows },
               { "hasMore", more },
               { "currentRev", this->revision } } };
  }

  Response Watch(std::unique_lock<std::mutex>& aLock,
                 const std::string& aPrefix,
                 std::uint64_t aAfter,
                 int aWaitMs)
  {
    const auto until = SteadyClock::now() + milliseconds(aWaitMs);
    while (true) {
      Json events = Json::array();
      for (auto at = this->history.rbegin();
           at != this->history.rend() && at->revision > aAfter;
           ++at) {
        if (at->key.starts_with(aPrefix)) {
          events.insert(events.begin(), at->row);
        }
      }
      if (!events.empty() || SteadyClock::now() >= until) {
        return { 200,
                 { { "events", events }, { "currentRev", this->revision } } };
      }
      this->changed.wait_until(aLock, until);
    }
  }

  Response Commit(const Json& aBody)
  {
    bool holds = true;
    Json current = Json::array();
    for (const Json& row : aBody.value("expect", Json::array())) {
      const std::string key = row.at("key");
      const auto found = this->items.find(key);
      const std::uint64_t present =
        found == this->items.end() ? 0 : found->second.revision;
      holds = holds && present == row.value<std::uint64_t>("revision", 0);
      if (found != this->items.end()) {
        current.push_back(Row(key, found->second));
      }
    }
    if (!holds) {
      return { 412, { { "items", current } } };
    }
    const Json puts = aBody.value("puts", Json::array());
    for (const Json& row : puts) {
      const std::uint64_t lease = row.value<std::uint64_t>("lease", 0);
      if (lease != 0 && !this->leases.contains(lease)) {
        return { 404, Json::object() };
      }
    }
    ++this->revision;
    for (const Json& row : puts) {
      this->Write(row.at("key"),
                  row.value("value", std::string()),
                  row.value<std::uint64_t>("lease", 0),
                  this->revision);
    }
    for (const Json& key : aBody.value("remove", Json::array())) {
      this->Erase(key, this->revision);
    }
    this->changed.notify_all();
    return { 200, { { "revision", this->revision } } };
  }

  struct Event
  {
    std::uint64_t revision = 0;
    std::string key;
    Json row;
  };

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t lastLease = 7000;
  std::uint64_t revision = 100;
  std::deque<Event> history;
  Server server;
};

/** A worker: runs what it is told, as PROTOCOL.md says. How long a task works
 * stands in the specification of its job. Thread safe. */
class Worker
{
public:
  static constexpr std::int64_t kLongestLeaseMs = 6000;
  /** How long the channel of a call without an answer stays open. */
  static constexpr int kUnansweredMs = 2000;

  Worker(std::string aId,
         std::string aKind,
         std::string aRack,
         std::string aZone,
         Record& aRecord)
    : id(std::move(aId))
    , kind(std::move(aKind))
    , rack(std::move(aRack))
    , zone(std::move(aZone))
    , record(aRecord)
    , server("127.0.0.1", 0, [this](const Request& aRequest) {
      return this->Answer(aRequest);
    })
  {
    this->BeginLife();
    std::thread([this] { this->Tick(); }).detach();
  }

  const std::string& Id() const { return this->id; }
  bool Up() const { return this->up; }
  /** Returns whether the worker is up and its next heartbeat is due. */
  bool Beats() const { return this->up && UnixMs() >= this->firstBeatUnixMs; }

  Json Entry(const std::string& aService)
  {
    const std::lock_guard lock(this->mutex);
    return { { "service", aService },
             { "address", "127.0.0.1:" + std::to_string(this->server.Port()) },
             { "zone", this->zone },
             { "version", "v1" },
             { "slots", 8 },
             { "state", "ready" },
             { "coldRemainingMs", 0 },
             { "room",
               { { "cpu", 32000 }, { "memMb", 128000 }, { "gpu", 0 } } },
             { "labels", { this->kind, this->rack } },
             { "born", this->born },
             { "clockMs", this->ClockMs() },
             { "seq", ++this->seq } };
  }

  /** The process dies: its port is closed and its connections are reset. */
  void Crash()
  {
    {
      const std::lock_guard lock(this->mutex);
      this->record.Write("worker " + this->id + " crashes");
      this->up = false;
      this->EndLife("lost with its worker");
    }
    this->server.Crash();
  }

  /** Starts again under the same id, with nothing of its earlier life. */
  void Restart()
  {
    const std::lock_guard lock(this->mutex);
    this->record.Write("worker " + this->id + " starts again");
    this->BeginLife();
    this->server.Restart();
  }

  /** The worker is cut off from the machines of the system and runs on, or is
   * no longer. What arrives meanwhile is lost, since its sender gives up. It
   * still reaches the store. */
  void CutOff(bool aOn)
  {
    const std::lock_guard lock(this->mutex);
    this->record.Write("worker " + this->id +
                       (aOn ? " is cut off" : " is no longer cut off"));
    this->cut = aOn;
    this->ended.notify_all();
  }

  /** Crashes behind a cut and starts again under the same id. Its first
   * heartbeat is due a heartbeat interval later. */
  void CrashBehindCut(int aDownMs, int aHeartbeatMs)
  {
    {
      const std::lock_guard lock(this->mutex);
      this->record.Write("worker " + this->id + " crashes behind the cut");
      this->up = false;
      this->EndLife("lost with its worker");
    }
    Sleep(aDownMs);
    const std::lock_guard lock(this->mutex);
    this->record.Write("worker " + this->id + " starts again");
    this->firstBeatUnixMs = UnixMs() + static_cast<std::uint64_t>(aHeartbeatMs);
    this->BeginLife();
  }

  /** Calls aThen when the next start of a task that lasts, or of one that does
   * not, arrives. It gets no answer; CarryOutLate() carries it out. */
  void LeaveNextStartUnanswered(bool aLasting, std::function<void()> aThen)
  {
    const std::lock_guard lock(this->mutex);
    this->onStart = std::move(aThen);
    this->onLastingStart = aLasting;
  }

  /** Carries out the start that was left unanswered. */
  void CarryOutLate()
  {
    const std::lock_guard lock(this->mutex);
    const Json body = Json::parse(this->lateStart);
    const bool fenced = body.at("fence").get<std::uint64_t>() < this->fence;
    const Response answer =
      fenced ? this->Reply(409, { { "reason", "fence" } }) : this->Start(body);
    this->record.Write("worker " + this->id + " carries out the start of " +
                       body.at("task").get<std::string>() +
                       " late: " + std::to_string(answer.status) + " " +
                       answer.body.dump());
  }

  /** Tasks with a run that ended `done`, where a renewal acknowledged the end.
   */
  static std::set<std::string>& AcknowledgedDone()
  {
    static std::set<std::string> tasks;
    return tasks;
  }

  /** Tasks that were started after such an end. */
  static std::set<std::string>& StartedAfterDone()
  {
    static std::set<std::string> tasks;
    return tasks;
  }

  /** Tasks that ran on two workers at the same time. */
  static std::set<std::string>& TwiceAtOnce()
  {
    static std::set<std::string> tasks;
    return tasks;
  }

  /** From now on every run fails soon after its start, or no longer does. */
  void FailAll(bool aOn)
  {
    const std::lock_guard lock(this->mutex);
    this->record.Write("worker " + this->id +
                       (aOn ? " fails all that it starts" : " is sound again"));
    this->failing = aOn;
  }

  /** From now on every start is refused with 503 and nothing is done, or no
   * longer is. */
  void RefuseStarts(bool aOn)
  {
    const std::lock_guard lock(this->mutex);
    this->record.Write("worker " + this->id +
                       (aOn ? " refuses starts" : " takes starts again"));
    this->refusing = aOn;
  }

  std::size_t RunCount()
  {
    const std::lock_guard lock(this->mutex);
    return this->runs.size();
  }

  std::uint64_t CpuInUse()
  {
    const std::lock_guard lock(this->mutex);
    std::uint64_t sum = 0;
    for (const auto& [task, run] : this->runs) {
      sum += run.cpu;
    }
    return sum;
  }

  bool RunsJob(const std::string& aJob)
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [task, run] : this->runs) {
      if (task.starts_with(aJob + ".")) {
        return true;
      }
    }
    return false;
  }

  /** Tasks of which a run ended `failed` on any worker. */
  static std::set<std::string>& FailedTasks()
  {
    static std::set<std::string> tasks;
    return tasks;
  }

private:
  struct Run
  {
    std::uint64_t number = 0;
    std::uint64_t cpu = 0;
    bool lasts = false;
    bool fails = false;
    SteadyClock::time_point begun;
    SteadyClock::time_point endsAt;
  };
  struct End
  {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  void BeginLife()
  {
    this->up = true;
    this->begun = SteadyClock::now();
    this->born = UnixMs();
    this->fence = 0;
    this->leaseUntil = 0;
    this->nextEnd = 1;
    this->seq = 0;
    this->runs.clear();
    this->ends.clear();
    this->highest.clear();
  }

  static std::mutex& DoneMutex()
  {
    static std::mutex mutex;
    return mutex;
  }

  void CheckNotDone(const std::string& aTask)
  {
    const std::lock_guard guard(DoneMutex());
    if (AcknowledgedDone().contains(aTask)) {
      StartedAfterDone().insert(aTask);
      this->record.Write("TWICE: " + aTask + " had ended done, and that end " +
                         "had been acknowledged");
    }
  }

  /** Notes that a run begins or ends; two runs of a task at the same time break
   * TWICE. */
  void NoteRun(const std::string& aTask, bool aBegins)
  {
    static std::mutex guard;
    static std::map<std::string, std::set<std::string>> live;
    const std::lock_guard lock(guard);
    std::set<std::string>& where = live[aTask];
    if (!aBegins) {
      where.erase(this->id);
      return;
    }
    where.insert(this->id);
    if (where.size() > 1) {
      TwiceAtOnce().insert(aTask);
      this->record.Write("TWICE: " + aTask + " runs on " +
                         std::to_string(where.size()) + " workers");
    }
  }

  void EndLife(const char* aWhy)
  {
    ++this->life;
    for (const auto& [task, run] : this->runs) {
      this->NoteRun(task, false);
      this->record.Write("run " + task + " run " + std::to_string(run.number) +
                         " on " + this->id + ": " + aWhy);
    }
    this->runs.clear();
    this->ends.clear();
    this->ended.notify_all();
  }

  std::int64_t ClockMs() const
  {
    return 1000 + std::chrono::duration_cast<milliseconds>(SteadyClock::now() -
                                                           this->begun)
                    .count();
  }

  Response Reply(int aStatus, Json aBody) const
  {
    aBody["clockMs"] = this->ClockMs();
    return { aStatus, std::move(aBody) };
  }

  std::optional<Response> Answer(const Request& aRequest)
  {
    std::unique_lock lock(this->mutex);
    const int present = this->life;
    if (!this->up || this->cut) {
      lock.unlock();
      this->AwaitPath();
      return std::nullopt;
    }
    const auto instance = aRequest.headers.find("Expect-Instance");
    if (instance != aRequest.headers.end() && instance->second != this->id) {
      return this->Reply(421, Json::object());
    }
    const Json body = Json::parse(aRequest.body, nullptr, false);
    if (body.is_discarded()) {
      return this->Reply(400, Json::object());
    }
    const std::uint64_t token = body.value<std::uint64_t>("fence", 0);
    if (token < this->fence) {
      return this->Reply(409, { { "reason", "fence" } });
    }
    this->fence = token;
    if (aRequest.target == "/-/run-start" && this->onStart &&
        Json::parse(body.at("spec").get<std::string>()).value("lasts", false) ==
          this->onLastingStart) {
      this->lateStart = aRequest.body;
      this->record.Write("start " + body.at("task").get<std::string>() +
                         " run " + body.at("run").dump() + " at " + this->id +
                         " is left unanswered");
      std::thread(std::exchange(this->onStart, nullptr)).detach();
      lock.unlock();
      Sleep(kUnansweredMs);
      this->AwaitPath();
      return std::nullopt;
    }
    if (aRequest.target == "/-/run-start" && this->refusing) {
      return this->Reply(503, Json::object());
    }
    if (aRequest.target == "/-/run-start") {
      return this->Start(body);
    }
    if (aRequest.target == "/-/run-stop") {
      return this->Stop(body);
    }
    if (aRequest.target == "/-/hold") {
      return this->Hold(lock, body, present);
    }
    return this->Reply(aRequest.target == "/-/pace" ? 200 : 404,
                       Json::object());
  }

  /** Keeps a channel silent as long as the worker is cut off. */
  void AwaitPath() const
  {
    while (this->cut) {
      Sleep(20);
    }
  }

  void Extend(std::int64_t aUntil)
  {
    this->leaseUntil = std::max(
      this->leaseUntil, std::min(aUntil, this->ClockMs() + kLongestLeaseMs));
  }

  Response Start(const Json& aBody)
  {
    const std::string task = aBody.at("task");
    const std::uint64_t number = aBody.at("run");
    const std::int64_t until = aBody.at("untilMs");
    if (until <= this->ClockMs()) {
      return this->Reply(409, { { "reason", "late" } });
    }
    this->Extend(until);
    const auto present = this->runs.find(task);
    if (present != this->runs.end() && present->second.number == number) {
      return this->Reply(200, Json::object());
    }
    if (present != this->runs.end() || number <= this->highest[task]) {
      return this->Reply(409, { { "reason", "old" } });
    }
    this->highest[task] = number;
    const Json spec = Json::parse(aBody.at("spec").get<std::string>());
    Run run;
    run.number = number;
    run.cpu = spec.value<std::uint64_t>("cpu", 0);
    run.lasts = spec.value("lasts", false);
    run.fails = this->failing;
    run.begun = SteadyClock::now();
    run.endsAt =
      run.begun + milliseconds(run.fails ? 50 : spec.value("ms", 500));
    this->runs[task] = run;
    this->record.Write("start " + task + " run " + std::to_string(number) +
                       " on " + this->id);
    this->NoteRun(task, true);
    this->CheckNotDone(task);
    return this->Reply(200, Json::object());
  }

  Response Stop(const Json& aBody)
  {
    const std::string task = aBody.at("task");
    const std::uint64_t number = aBody.at("run");
    this->highest[task] = std::max(this->highest[task], number);
    const auto present = this->runs.find(task);
    if (present != this->runs.end() && present->second.number <= number) {
      this->Finish(task, "stopped");
    }
    return this->Reply(200, Json::object());
  }

  void Finish(const std::string& aTask, const std::string& aHow)
  {
    const Run run = this->runs.at(aTask);
    this->runs.erase(aTask);
    this->NoteRun(aTask, false);
    this->ends.push_back({ this->nextEnd++, aTask, run.number, aHow });
    this->record.Write("run " + aTask + " run " + std::to_string(run.number) +
                       " on " + this->id + " ends " + aHow);
    if (aHow == "failed") {
      static std::mutex guard;
      const std::lock_guard lock(guard);
      FailedTasks().insert(aTask);
    }
    this->ended.notify_all();
  }

  std::optional<Response> Hold(std::unique_lock<std::mutex>& aLock,
                               const Json& aBody,
                               int aLife)
  {
    if (aBody.contains("untilMs")) {
      this->Extend(aBody.at("untilMs"));
    }
    const std::uint64_t seen = aBody.value<std::uint64_t>("lastSeen", 0);
    while (!this->ends.empty() && this->ends.front().number <= seen) {
      const End& end = this->ends.front();
      this->record.Write("end of " + end.task + " run " +
                         std::to_string(end.run) + " on " + this->id +
                         " is acknowledged");
      if (end.how == "done") {
        const std::lock_guard guard(DoneMutex());
        AcknowledgedDone().insert(end.task);
      }
      this->ends.pop_front();
    }
    const auto until =
      SteadyClock::now() + milliseconds(aBody.value("waitMs", 0));
    while (this->ends.empty() && this->life == aLife && !this->cut &&
           SteadyClock::now() < until) {
      this->ended.wait_until(aLock, until);
    }
    if (this->life != aLife || this->cut) {
      aLock.unlock();
      this->AwaitPath();
      return std::nullopt;
    }
    Json running = Json::array();
    for (const auto& [task, run] : this->runs) {
      running.push_back({ task, run.number, "", run.lasts ? 100 : 50, 1 });
    }
    Json finished = Json::array();
    for (const End& end : this->ends) {
      finished.push_back({ end.number, end.task, end.run, end.how, "" });
    }
    return this->Reply(200,
                       { { "running", running },
                         { "finished", finished },
                         { "born", this->born } });
  }

  void Tick()
  {
    while (true) {
      Sleep(10);
      const std::lock_guard lock(this->mutex);
      if (!this->up) {
        continue;
      }
      const bool lapsed = this->ClockMs() >= this->leaseUntil;
      std::vector<std::string> over;
      for (const auto& [task, run] : this->runs) {
        if (lapsed ||
            ((!run.lasts || run.fails) && SteadyClock::now() >= run.endsAt)) {
          over.push_back(task);
        }
      }
      for (const std::string& task : over) {
        this->Finish(task,
                     lapsed                      ? "lapsed"
                     : this->runs.at(task).fails ? "failed"
                                                 : "done");
      }
    }
  }

  std::string id;
  std::string kind;
  std::string rack;
  std::string zone;
  Record& record;
  std::mutex mutex;
  std::condition_variable ended;
  std::atomic<bool> up{ true };
  std::atomic<bool> cut{ false };
  std::atomic<std::uint64_t> firstBeatUnixMs{ 0 };
  std::function<void()> onStart;
  bool onLastingStart = false;
  std::string lateStart;
  std::atomic<int> life{ 0 };
  bool failing = false;
  bool refusing = false;
  SteadyClock::time_point begun;
  std::uint64_t born = 0;
  std::uint64_t fence = 0;
  std::int64_t leaseUntil = 0;
  std::uint64_t nextEnd = 1;
  std::uint64_t seq = 0;
  std::map<std::string, Run> runs;
  std::deque<End> ends;
  std::map<std::string, std::uint64_t> highest;
  Server server;
};

/** Returns a free port below the range from which the kernel takes the ports of
 * outgoing channels, so that none of these takes it before the process that it
 * is for. */
inline std::uint16_t
FreePort(const std::string& aAddress)
{
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> ports(20000, 31000);
  asio::io_context context;
  while (true) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    Tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(Tcp::v4(), error);
    acceptor.bind(Tcp::endpoint(asio::ip::make_address(aAddress), port), error);
    if (!error) {
      return port;
    }
  }
}

/** A scheduler process, started with the command and the template of the deploy
 * file. Each has a loopback address of its own, as the hosts have theirs. */
class Scheduler
{
public:
  Scheduler(std::string aName,
            std::string aZone,
            std::string aAddress,
            std::string aStore,
            std::string aFolder)
    : name(std::move(aName))
    , zone(std::move(aZone))
    , address(std::move(aAddress))
    , store(std::move(aStore))
    , folder(std::move(aFolder))
    , front(FreePort(address))
    , health(FreePort(address))
    , peer(FreePort(address))
    , metrics(FreePort(address))
  {
  }

  ~Scheduler() { this->Kill(); }

  const std::string& Address() const { return this->address; }
  std::uint16_t Front() const { return this->front; }
  std::uint16_t Health() const { return this->health; }
  const std::string& Name() const { return this->name; }

  /** Returns when this process last logged that it owns the cell, as text that
   * sorts by time; empty if it never did. */
  std::string LastOwnership() const
  {
    std::ifstream file(this->folder + "/" + this->name + ".log");
    std::string line;
    std::string last;
    while (std::getline(file, line)) {
      if (line.find("event=ownership_won") != std::string::npos) {
        last = line.substr(0, line.find(' '));
      }
    }
    return last;
  }

  /** Starts the process. It ends with the calling thread, which therefore has
   * to be the main one. */
  void Start()
  {
    const std::string settings = this->folder + "/" + this->name + ".json";
    std::ofstream(settings) << this->Settings();
    const std::string log = this->folder + "/" + this->name + ".log";
    this->pid = ::fork();
    if (this->pid != 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    FILE* const out = std::freopen(log.c_str(), "a", stdout);
    ::dup2(::fileno(out), 2);
    ::setenv("SEQUOIAKEEL_CONFIG", settings.c_str(), 1);
    const char* const program = "target/bin/sequoiakeel-scheduler";
    ::execl(program, program, nullptr);
    ::_exit(127);
  }

  void Signal(int aSignal)
  {
    if (this->pid > 0) {
      ::kill(this->pid, aSignal);
    }
  }

  void Kill()
  {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
    }
    this->pid = 0;
  }

  bool Running()
  {
    return this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == 0;
  }

private:
  std::string Settings() const
  {
    std::ifstream file("deploy/scheduler.json.template");
    std::ostringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    const auto quoted = [](const std::string& aText) {
      return "\"" + aText + "\"";
    };
    const auto at = [this, &quoted](std::uint16_t aPort) {
      return quoted(this->address + ":" + std::to_string(aPort));
    };
    // The figures are those of SYSTEM.md and of the site file.
    const std::map<std::string, std::string> values = {
      { "node", quoted(this->name) },
      { "zone", quoted(this->zone) },
      { "listen.front", at(this->front) },
      { "listen.ready", at(this->health) },
      { "ip", quoted(this->address) },
      { "portRange.0", std::to_string(this->peer) },
      { "portRange.1", std::to_string(this->metrics) },
      { "platform.address", quoted(this->store) },
      { "limits.cpuShare", "0.25" },
      { "platform.ttlMinMs", "1000" },
      { "bounds.holdMaxMs", "6000" },
      { "bounds.drainMs", "2000" },
      { "bounds.early_ms", "250" },
      { "bounds.farX", "3" },
    };
    for (const auto& [key, value] : values) {
      const std::string mark = "{{" + key + "|json}}";
      const std::size_t found = text.find(mark);
      if (found != std::string::npos) {
        text.replace(found, mark.size(), value);
      }
    }
    return text;
  }

  std::string name;
  std::string zone;
  std::string address;
  std::string store;
  std::string folder;
  std::uint16_t front;
  std::uint16_t health;
  std::uint16_t peer;
  std::uint16_t metrics;
  pid_t pid = 0;
};

/** Calls an HTTP server once on a new channel. Returns nothing if there is no
 * complete answer in time. */
inline std::optional<Response>
CallOnce(const std::string& aAddress,
         std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aHost,
         const std::string& aBody,
         int aTimeoutMs)
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(aPort);
  inet_pton(AF_INET, aAddress.c_str(), &peer.sin_addr);
  std::ostringstream text;
  text << aMethod << " " << aTarget << " HTTP/1.1\r\nHost: " << aHost
       << "\r\nDeadline-Ms: " << aTimeoutMs
       << "\r\nConnection: close\r\nContent-Type: application/json\r\n"
       << "Content-Length: " << aBody.size() << "\r\n\r\n"
       << aBody;
  const std::string sent = text.str();
  std::string got;
  if (::connect(handle, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) ==
        0 &&
      ::send(handle, sent.data(), sent.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(sent.size())) {
    char bytes[8192];
    ssize_t count = 0;
    while ((count = ::recv(handle, bytes, sizeof(bytes), 0)) > 0) {
      got.append(bytes, static_cast<std::size_t>(count));
    }
  }
  ::close(handle);
  boost::system::error_code error;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.put(asio::buffer(got), error);
  if (error || !parser.is_done()) {
    return std::nullopt;
  }
  Json body = Json::parse(parser.get().body(), nullptr, false);
  return Response{ static_cast<int>(parser.get().result_int()),
                   body.is_discarded() ? Json::object() : body };
}

/** One route of the deployment. */
struct Route
{
  std::string name;
  std::string prefix;
  int priority = 0;
  int attempts = 4;
  double stretch = 1.5;
  int targetMs = 250;
};

/** A small deployment: a store, workers that register, scheduler processes and
 * the callers. */
class Deployment
{
public:
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kService = "edgedesk";
  static constexpr int kHeartbeatMs = 1100;

  Deployment(int aSchedulers,
             const std::vector<std::string>& aKinds,
             std::string aFolder,
             Record& aRecord)
    : record(aRecord)
    , store("127.0.0.1")
  {
    for (const std::string& kind : aKinds) {
      this->workers.push_back(this->NewWorker(kind));
    }
    Json routes = Json::array();
    for (const Route& route : Routes()) {
      routes.push_back({ { "name", route.name },
                         { "hostname", kHost },
                         { "prefix", route.prefix },
                         { "type", "non_idempotent" },
                         { "timeoutMs", 3000 },
                         { "targetDurationMs", route.targetMs },
                         { "priority", route.priority },
                         { "service", kService },
                         { "attempts", route.attempts },
                         { "stretch", route.stretch } });
    }
    this->store.Put("op/config",
                    { { "version", 7 },
                      { "routes", routes },
                      { "services",
                        { { { "name", kService },
                            { "maxConnections", 64 },
                            { "protocol", "h1" },
                            { "enforcesCapacity", false } } } },
                      { "limits", { { "maxBodyBytes", 262144 } } } });
    for (const auto& worker : this->workers) {
      this->RegisterNow(*worker);
    }
    std::thread([this] { this->Register(); }).detach();
    for (int i = 0; i < aSchedulers; ++i) {
      this->schedulers.push_back(std::make_unique<Scheduler>(
        "edge-" + std::to_string(i + 1),
        Zone(static_cast<std::size_t>(i)),
        "127.0.0." + std::to_string(11 + i),
        "127.0.0.1:" + std::to_string(this->store.Port()),
        aFolder));
      this->schedulers.back()->Start();
    }
  }

  static std::vector<Route> Routes()
  {
    return { { "quote", "/quote/", 0, 4, 1.5, 250 },
             { "cureplan", "/cureplan/", 2, 4, 2.0, 1000 },
             { "mouldwatch", "/mouldwatch/", 0, 2, 2.2, 2500 } };
  }

  /** Waits until all scheduler processes report that they are ready. */
  bool AwaitReady()
  {
    for (int i = 0; i < 150; ++i) {
      bool ready = true;
      for (const auto& one : this->schedulers) {
        const auto answer = CallOnce(
          one->Address(), one->Health(), "GET", "/-/ready", kHost, "", 500);
        ready = ready && answer && answer->status == 200;
      }
      if (ready) {
        return true;
      }
      Sleep(100);
    }
    return false;
  }

  /** Calls the next scheduler process, and another one if there is no answer or
   * an error, four times at most, as a caller does. */
  std::optional<Response> Call(const std::string& aMethod,
                               const std::string& aTarget,
                               const Json& aBody = Json())
  {
    const std::string body = aBody.is_null() ? "" : aBody.dump();
    std::optional<Response> answer;
    for (int attempt = 0; attempt < 5; ++attempt) {
      const auto& one =
        this->schedulers[this->next++ % this->schedulers.size()];
      answer = CallOnce(
        one->Address(), one->Front(), aMethod, aTarget, kHost, body, 3000);
      this->record.Write(
        aMethod + " " + aTarget + " at " + one->Name() + ": " +
        (answer ? std::to_string(answer->status) + " " + answer->body.dump()
                : std::string("no answer")));
      if (answer && answer->status < 500 && answer->status != 429) {
        return answer;
      }
      Sleep(300);
    }
    return answer;
  }

  /** Hands a job in; true if it was accepted. */
  bool Submit(const std::string& aQueue,
              const std::string& aId,
              const Json& aSpec,
              const Json& aSteps)
  {
    const auto answer =
      this->Call("POST",
                 "/" + aQueue + "/" + aId,
                 { { "spec", aSpec.dump() }, { "steps", aSteps } });
    return answer && answer->status >= 200 && answer->status < 300;
  }

  std::string State(const std::string& aQueue, const std::string& aId)
  {
    const auto answer = this->Call("GET", "/" + aQueue + "/" + aId);
    return !answer                 ? "no answer"
           : answer->status == 200 ? answer->body.value("state", "unreadable")
                                   : std::to_string(answer->status);
  }

  std::string NewId()
  {
    std::ostringstream text;
    text << std::hex << (0x5c0e7a2100000000ULL + ++this->lastId);
    return text.str();
  }

  std::deque<std::unique_ptr<Worker>>& Workers() { return this->workers; }
  std::vector<std::unique_ptr<Scheduler>>& Schedulers()
  {
    return this->schedulers;
  }
  Store& GetStore() { return this->store; }

  /** Registers a worker at once, as one does that has just started. */
  void RegisterNow(Worker& aWorker)
  {
    this->store.Put("servers/" + aWorker.Id(), aWorker.Entry(kService));
  }

private:
  static std::string Zone(std::size_t aNumber)
  {
    return std::string("lakes-") + "abc"[aNumber % 3];
  }

  std::unique_ptr<Worker> NewWorker(const std::string& aKind)
  {
    const std::size_t number = this->workers.size();
    return std::make_unique<Worker>("i-" + std::to_string(1000 + number),
                                    aKind,
                                    "r-" + std::to_string(1 + number % 4),
                                    Zone(number),
                                    this->record);
  }

  /** Workers write their entries at each heartbeat; the entry of one that is
   * silent goes after three of them. */
  void Register()
  {
    std::map<std::string, int> missed;
    while (true) {
      Sleep(kHeartbeatMs);
      const std::lock_guard lock(this->mutex);
      for (const auto& worker : this->workers) {
        const std::string key = "servers/" + worker->Id();
        if (worker->Beats()) {
          missed[key] = 0;
          this->RegisterNow(*worker);
        } else if (++missed[key] == 3) {
          this->store.Remove(key);
        }
      }
    }
  }

  Record& record;
  Store store;
  std::mutex mutex;
  std::deque<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Scheduler>> schedulers;
  std::atomic<std::size_t> next{ 0 };
  std::atomic<std::uint64_t> lastId{ 0 };
};

} // namespace review
