/**
 * Guards against a scheduler process that fails when it is stopped during its
 * start: SIGTERM ended it before its signal handlers were set, and a connection
 * that waited in the listener crashed it, since the listener passed the request
 * to a handler that did not exist yet.
 */
#include "EndpointText.h"
#include "HttpClient.h"
#include "WorkflowKeys.h"
#include "soak/SoakStore.h"
#include "support/ChildProcess.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <sys/stat.h>
#include <thread>

using namespace sequoiakeel;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Plays at a time in the test of random delays. */
constexpr int kProcesses = 6;

/** Number of plays, unless SEQUOIAKEEL_START_PLAYS is set. */
constexpr int kDefaultPlays = 6;

/** Longest delay from the start of a process to its stop. */
constexpr milliseconds kLongestDelay{ 3000 };

/** Returns an endpoint with an address of its own. Its port is below those that
 * the system assigns, so that no outgoing connection can take it before the
 * scheduler binds it. */
Endpoint
FreeEndpoint()
{
  constexpr int kRange = 250;
  constexpr std::uint16_t kPort = 21000;
  static std::atomic<int> next = 0;
  const int process = getpid();
  return Endpoint{ "127." + std::to_string(1 + process / kRange % kRange) +
                     "." + std::to_string(process % kRange) + "." +
                     std::to_string(1 + next++ % kRange),
                   kPort };
}

std::string
Text(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

/** Folder for settings and logs, removed at the end of the test. */
class Folder
{
public:
  Folder()
    : path(std::filesystem::temp_directory_path() /
           ("sequoiakeel-start-" + std::to_string(getpid())))
  {
    std::filesystem::create_directories(this->path);
  }
  ~Folder() { std::filesystem::remove_all(this->path); }
  std::string File(const std::string& aName) const
  {
    return (this->path / aName).string();
  }

private:
  std::filesystem::path path;
};

std::string
SettingsText(const std::string& aName,
             const Endpoint& aFront,
             const Endpoint& aStore)
{
  const Endpoint peer = FreeEndpoint();
  return nlohmann::json{
    { "name", aName },           { "zone", "z" },
    { "front", Text(aFront) },   { "health", Text(FreeEndpoint()) },
    { "peer_ip", peer.address }, { "peer_port", peer.port },
    { "store", Text(aStore) },   { "stop_grace_ms", 4000 }
  }.dump();
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

/** An io_context with its thread. */
class Loop
{
public:
  Loop()
    : work(asio::make_work_guard(context))
    , thread([this] { this->context.run(); })
  {
  }
  ~Loop()
  {
    this->context.stop();
    this->thread.join();
  }
  asio::io_context& Context() { return this->context; }

private:
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

int
Plays()
{
  const char* const text = std::getenv("SEQUOIAKEEL_START_PLAYS");
  return text == nullptr ? kDefaultPlays : std::atoi(text);
}

/** Returns the content of a file. */
std::string
ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

struct Exit
{
  int code = 0;
  std::string log;
};

/** Starts kProcesses processes of one system and stops each after a random
 * delay. */
std::vector<Exit>
StartAndStop(const Folder& aFolder,
             const Endpoint& aStore,
             std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<int> delay(
    0, static_cast<int>(kLongestDelay.count()));
  std::vector<std::future<Exit>> exits;
  for (int i = 0; i < kProcesses; ++i) {
    const std::string name = "n" + std::to_string(i);
    const std::string settings = aFolder.File(name + ".json");
    std::filesystem::remove(settings);
    REQUIRE(mkfifo(settings.c_str(), 0600) == 0);
    const std::string text = SettingsText(name, FreeEndpoint(), aStore);
    exits.push_back(std::async(
      std::launch::async,
      [name, settings, text, time = milliseconds(delay(aRandom)), &aFolder] {
        const std::string log = aFolder.File(name + ".log");
        std::filesystem::remove(log);
        ChildProcess process(
          "sequoiakeel-scheduler", { "--settings", settings }, log);
        // Opening the pipe waits until the program reads its settings.
        WriteFile(settings, text);
        std::this_thread::sleep_for(time);
        process.Signal(SIGTERM);
        const int code = process.Wait();
        return Exit{ code, ReadFile(log) };
      }));
  }
  std::vector<Exit> results;
  for (std::future<Exit>& exit : exits) {
    results.push_back(exit.get());
  }
  return results;
}

} // namespace

TEST_CASE("a stop that arrives while the settings are read is in order")
{
  const Folder folder;
  const std::string settings = folder.File("settings.json");
  REQUIRE(mkfifo(settings.c_str(), 0600) == 0);
  ChildProcess process(
    "sequoiakeel-scheduler", { "--settings", settings }, folder.File("log"));
  // Opening the pipe waits until the program reads its settings.
  std::ofstream pipe(settings);
  process.Signal(SIGTERM);
  pipe << SettingsText("n", FreeEndpoint(), FreeEndpoint());
  pipe.close();
  CHECK(process.Wait() == 0);
}

TEST_CASE("a stop before the layout is known refuses the waiting requests")
{
  const Folder folder;
  const std::string settings = folder.File("settings.json");
  const Endpoint front = FreeEndpoint();
  // No store listens on its port, so the process waits for the layout.
  WriteFile(settings, SettingsText("n", front, FreeEndpoint()));
  ChildProcess process(
    "sequoiakeel-scheduler", { "--settings", settings }, folder.File("log"));
  Loop loop;
  ExchangeResult answer;
  for (int i = 0; i < 200 && !answer.Complete(); ++i) {
    HttpClient client(loop.Context().get_executor(), front);
    HttpRequest request;
    request.method = "GET";
    request.target = "/jobs/";
    auto call = asio::co_spawn(
      loop.Context(), client.Call(request, seconds(10)), asio::use_future);
    if (call.wait_for(milliseconds(200)) == std::future_status::timeout) {
      // The connection waits in the listener.
      process.Signal(SIGTERM);
    }
    answer = call.get();
    if (!process.Running()) {
      break;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(answer.response.status == 503);
  CHECK(process.Wait() == 0);
}

TEST_CASE("a stop at any time of the start is in order")
{
  const Folder folder;
  Loop loop;
  Random random(1);
  auto store = std::make_unique<soak::SoakStore>(loop.Context(), random);
  const nlohmann::json worker{
    { "service", "desk" },
    { "address", Text(FreeEndpoint()) },
    { "zone", "z" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "coldRemainingMs", 0 },
    { "seq", 1 },
    { "born", 1 },
    { "room", { { "cpu", 32000 }, { "memMb", 64000 }, { "gpu", 0 } } },
    { "labels", { "a", "r" } }
  };
  asio::co_spawn(
    loop.Context(), store->Put("servers/w", worker.dump()), asio::use_future)
    .get();
  std::mt19937_64 delays(7);
  for (int play = 0; play < Plays(); play += kProcesses) {
    for (const Exit& exit : StartAndStop(folder, store->Address(), delays)) {
      INFO(exit.log);
      CHECK(exit.code == 0);
    }
  }
}

// Guards against a process that never serves and logs no reason because another
// writer left a record of the layout that cannot be decoded.
TEST_CASE("a malformed layout record is reported")
{
  const Folder folder;
  Loop loop;
  Random random(1);
  auto store = std::make_unique<soak::SoakStore>(loop.Context(), random);
  asio::co_spawn(loop.Context(),
                 store->Put(CellLayoutKey(), R"({"cells":"many")"),
                 asio::use_future)
    .get();
  const std::string settings = folder.File("settings.json");
  const std::string log = folder.File("log");
  WriteFile(settings, SettingsText("n", FreeEndpoint(), store->Address()));
  ChildProcess process(
    "sequoiakeel-scheduler", { "--settings", settings }, log);
  const auto seen = [&log] {
    return ReadFile(log).find("record_unreadable") != std::string::npos;
  };
  for (int i = 0; i < 200 && process.Running() && !seen(); ++i) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(seen());
  CHECK(process.Running());
  process.Signal(SIGTERM);
  CHECK(process.Wait() == 0);
}
