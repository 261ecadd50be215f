/**
 * Guards against clients that end a scheduler process by the memory or the
 * descriptors that it holds for them. Each case starts a real process, whose
 * settings name a small host, and a crowd of clients that stay connected. It
 * checks that the process lives within its host and answers an ordinary caller
 * beside the crowd.
 */
#include "soak/SchedulerFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

/** Memory of the host that the settings name. */
constexpr std::size_t kMemoryMb = 32;

/** Descriptors that the settings name. */
constexpr std::size_t kDescriptors = 128;

/** Largest body inside the limits of the operator's document. */
constexpr std::size_t kBodyBytes = 262144;

/** Clients that never end a request, and what each sends at most. */
constexpr int kEndlessClients = 16;
constexpr std::size_t kEndlessBytes = 4 * 1024 * 1024;

/** Clients whose bodies are inside the limits and stop just short of their end.
 */
constexpr int kStoppingClients = 160;

/** Steps of a job whose record still fits into a value of the store. */
constexpr int kStorableSteps = 2000;

constexpr std::uint16_t kPort = 21700;

/** Clients that connect and send nothing. */
constexpr int kSilentClients = 200;

/** What a client sends: a head, then a block again and again up to a number of
 * bytes. */
struct Sending
{
  std::string head;
  std::string block;
  std::size_t bytes = 0;
};

/** A client that sends and stays connected. */
struct Client
{
  explicit Client(asio::io_context& aContext)
    : socket(aContext)
  {
  }
  asio::ip::tcp::socket socket;
  /** The client has sent all that it would, or the connection was closed. */
  bool settled = false;
};

asio::awaitable<void>
Send(std::shared_ptr<Client> aClient, Endpoint aServer, Sending aSending)
{
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(aServer.address),
    static_cast<std::uint16_t>(aServer.port));
  co_await aClient->socket.async_connect(
    endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (!error && !aSending.head.empty()) {
    co_await asio::async_write(
      aClient->socket,
      asio::buffer(aSending.head),
      asio::redirect_error(asio::use_awaitable, error));
  }
  std::size_t sent = 0;
  while (!error && sent < aSending.bytes) {
    sent += co_await asio::async_write(
      aClient->socket,
      asio::buffer(aSending.block),
      asio::redirect_error(asio::use_awaitable, error));
  }
  aClient->settled = true;
}

/** A scheduler process with a crowd. */
class CrowdedScheduler : public soak::SchedulerFixture
{
public:
  CrowdedScheduler()
    : SchedulerFixture(
        "crowd",
        kPort,
        { { "memory_mb", kMemoryMb }, { "max_descriptors", kDescriptors } },
        { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", kBodyBytes } },
        { "z1" })
  {
    REQUIRE(this->Until([this] { return this->SubmitOne() == 200; }));
  }

  /** Connects clients and waits until all have sent what they would. */
  void Admit(int aClients, const Sending& aSending)
  {
    for (int i = 0; i < aClients; ++i) {
      auto client = std::make_shared<Client>(this->context);
      this->clients.push_back(client);
      asio::co_spawn(
        this->context, Send(client, this->Front(), aSending), asio::detached);
    }
    REQUIRE(this->Until([this] {
      return std::all_of(this->clients.begin(),
                         this->clients.end(),
                         [](const auto& aClient) { return aClient->settled; });
    }));
    REQUIRE(this->Until([this] { return this->HasReadAll(); }));
  }

  /** Checks the process while the crowd is still connected. */
  void CheckAlive()
  {
    CHECK(this->process->Running());
    CHECK(this->SubmitOne() == 200);
    CHECK(this->PeakMemoryKb() <= kMemoryMb * 1024);
    CHECK(this->process->Running());
  }

  std::size_t Descriptors() const
  {
    const std::filesystem::directory_iterator entries(this->Proc("fd"));
    return static_cast<std::size_t>(
      std::distance(begin(entries), end(entries)));
  }

private:
  /** Returns whether no connection of the front has bytes that the process has
   * not read. */
  bool HasReadAll() const
  {
    const auto address = asio::ip::make_address_v4(this->Front().address);
    std::ostringstream front;
    front << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
          << htonl(address.to_uint()) << ":" << std::setw(4)
          << this->Front().port;
    std::ifstream connections(this->Proc("net/tcp"));
    std::string line;
    while (std::getline(connections, line)) {
      std::istringstream row(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      row >> number >> local >> remote >> state >> queues;
      const std::string kListening = "0A";
      if (local == front.str() && state != kListening &&
          !queues.ends_with(":00000000")) {
        return false;
      }
    }
    return true;
  }

  std::string Proc(const std::string& aFile) const
  {
    return "/proc/" + std::to_string(this->process->Pid()) + "/" + aFile;
  }

  std::size_t PeakMemoryKb() const
  {
    std::ifstream status(this->Proc("status"));
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(sizeof("VmHWM:") - 1));
      }
    }
    FAIL("the process has no peak of its memory");
    return 0;
  }

  std::vector<std::shared_ptr<Client>> clients;
};

const std::string kHead =
  "POST /jobs/00000000000000ff HTTP/1.1\r\nHost: front\r\n"
  "Content-Type: application/json\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

/** Returns aText as one chunk of a body. */
std::string
Chunk(const std::string& aText)
{
  std::ostringstream size;
  size << std::hex << aText.size();
  return size.str() + "\r\n" + aText + "\r\n";
}

/** Returns the bytes of chunks with a block that carry a body just short of the
 * limit. */
std::size_t
BytesOfChunks(const std::string& aBlock, std::size_t aContent)
{
  return (kBodyBytes / aContent - 1) * aBlock.size();
}

} // namespace

TEST_CASE("trailers without end")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(
    kEndlessClients,
    { kChunkedHead + "0\r\n", "X-Trailer: 0123456789\r\n", kEndlessBytes });
  scheduler.CheckAlive();
}

TEST_CASE("a trailer field without end")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(kEndlessClients,
                  { kChunkedHead + "0\r\nX-Trailer: ",
                    std::string(8192, 'x'),
                    kEndlessBytes });
  scheduler.CheckAlive();
}

TEST_CASE("a chunk extension without end")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(
    kEndlessClients,
    { kChunkedHead + "1;x=", std::string(8192, 'x'), kEndlessBytes });
  scheduler.CheckAlive();
}

TEST_CASE("bodies far over the limit that are announced")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(kEndlessClients,
                  { kHead + "Content-Length: 1000000000\r\n\r\n",
                    std::string(8192, ' '),
                    kEndlessBytes });
  scheduler.CheckAlive();
}

TEST_CASE("bodies far over the limit that are just sent")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(
    kEndlessClients,
    { kChunkedHead, Chunk(std::string(8192, ' ')), kEndlessBytes });
  scheduler.CheckAlive();
}

TEST_CASE("many announced bodies that stop short of their end")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(
    kStoppingClients,
    { kHead + "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n",
      std::string(4096, ' '),
      kBodyBytes - 4096 });
  scheduler.CheckAlive();
}

TEST_CASE("many bodies in large chunks that stop short of their end")
{
  CrowdedScheduler scheduler;
  const std::string block = Chunk(std::string(16384, ' '));
  scheduler.Admit(kStoppingClients,
                  { kChunkedHead, block, BytesOfChunks(block, 16384) });
  scheduler.CheckAlive();
}

TEST_CASE("many bodies in very small chunks that stop short of their end")
{
  CrowdedScheduler scheduler;
  std::string block;
  for (int i = 0; i < 256; ++i) {
    block += Chunk(" ");
  }
  scheduler.Admit(kStoppingClients,
                  { kChunkedHead, block, BytesOfChunks(block, 256) });
  scheduler.CheckAlive();
}

TEST_CASE("many clients that connect and send nothing")
{
  CrowdedScheduler scheduler;
  scheduler.Admit(kSilentClients, {});
  scheduler.CheckAlive();
  CHECK(scheduler.Descriptors() <= kDescriptors);
}

// Guards against bodies inside the limit that are decoded to many times their
// size, and held while the store does not answer.
TEST_CASE("many complete bodies with very many steps beside a silent store")
{
  CrowdedScheduler scheduler;
  std::string steps = R"({"count":1})";
  while (steps.size() < kBodyBytes - 100) {
    steps += R"(,{"count":1})";
  }
  const std::string large = R"({"spec":"","steps":[)" + steps + "]}";
  std::string most = R"({"spec":"","steps":[{"count":1})";
  for (int i = 1; i < kStorableSteps; ++i) {
    most += R"(,{"count":1})";
  }
  most += "]}";
  scheduler.store.SetFault(soak::StoreFault::Silent);
  for (const std::string& body : { large, most }) {
    scheduler.Admit(
      kStoppingClients,
      { kHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n",
        body,
        1 });
  }
  scheduler.store.SetFault(soak::StoreFault::None);
  scheduler.CheckAlive();
}

// A limit must not refuse what the pages allow.
TEST_CASE("a single request inside the limits is served")
{
  CrowdedScheduler scheduler;
  auto [id, body] = scheduler.SmallJob();
  body.append(kBodyBytes - body.size(), ' ');
  CHECK(scheduler.Call("POST", id, body).status == 200);
}
