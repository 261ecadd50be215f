#include "GossipService.h"

#include "ConfigurationPeers.h"
#include "support/ScriptedStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

/** Long enough for a heavily loaded machine. */
constexpr std::chrono::seconds kLimit{ 60 };

bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

/** An io_context that runs on its own threads. */
class Threads
{
public:
  Threads()
    : work(boost::asio::make_work_guard(this->context))
  {
    for (int index = 0; index < 3; ++index) {
      this->threads.emplace_back([this] { this->context.run(); });
    }
  }
  ~Threads() { this->Join(); }

  /** Stops the context and joins its threads, so that objects used by its
   * handlers can be destroyed. */
  void Join()
  {
    this->context.stop();
    for (std::thread& thread : std::exchange(this->threads, {})) {
      thread.join();
    }
  }

  boost::asio::io_context context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
};

/** Joins the threads on destruction; declared after the processes, so that
 * their handlers no longer run when the processes are destroyed. */
struct JoinAtEnd
{
  Threads& threads;
  ~JoinAtEnd() { this->threads.Join(); }
};

GossipSettings
Settings(const std::string& aName, std::uint32_t aPort, std::uint32_t aSeed)
{
  GossipSettings settings;
  settings.own.name = aName;
  settings.own.zone = "a";
  settings.own.region = "default";
  settings.own.address = "127.0.0.1";
  settings.own.port = aPort;
  if (aSeed != 0) {
    settings.seeds.push_back({ "127.0.0.1", aSeed });
  }
  return settings;
}

/** One process with gossip service, peer server, peer client and configuration
 * agent. */
struct Process
{
  Process(Threads& aThreads, const std::string& aName, std::uint32_t aSeed)
    : server(aThreads.context, Endpoint{ "127.0.0.1", 0 })
    , client(aThreads.context.get_executor())
    , gossip(aThreads.context.get_executor(),
             Settings(aName, this->server.Port(), aSeed),
             this->clock)
    , agent(
        aThreads.context.get_executor(),
        this->store,
        this->gossip,
        FetchOverRpc(this->client),
        [](std::string_view) { return Findings(); },
        [](std::uint64_t, const std::string&) {})
  {
    ServeConfiguration(this->server, this->agent);
    this->gossip.SetOnGeneration([this](const MemberRow& aPeer) {
      this->agent.OnGenerationAnnounced(aPeer);
    });
    this->server.Start();
    this->gossip.Start();
  }

  SystemClock clock;
  ScriptedStore store;
  PeerServer server;
  PeerClient client;
  GossipService gossip;
  ConfigurationAgent agent;
};

} // namespace

// Guards against a gossip service that does not discover its peers, does not
// forward changes immediately, or fails on datagrams that are not part of the
// protocol.
TEST_CASE("processes discover each other over UDP and share changes")
{
  Threads threads;
  Process one(threads, "one", 0);
  Process two(threads, "two", one.gossip.Port());
  Process three(threads, "three", one.gossip.Port());
  const JoinAtEnd join{ threads };
  for (const Process* process : { &one, &two, &three }) {
    CHECK(Eventually([&] { return process->gossip.Members().size() == 3; }));
  }
  boost::asio::ip::udp::socket foreignSocket(
    threads.context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const boost::asio::ip::udp::endpoint target(
    boost::asio::ip::make_address("127.0.0.1"), one.gossip.Port());
  for (const std::size_t size : { 0, 1, 600, 601, 60000 }) {
    foreignSocket.send_to(boost::asio::buffer(std::string(size, '\x01')),
                          target);
  }
  CHECK(
    Eventually([&] { return one.gossip.Counters().datagramsRejected >= 5; }));
  two.gossip.ReportRefusal("worker-1");
  CHECK(Eventually([&] { return one.gossip.IsLeaving("worker-1"); }));
  CHECK(Eventually([&] { return three.gossip.IsLeaving("worker-1"); }));
  CHECK(three.gossip.LeavingHostNames() ==
        std::vector<std::string>{ "worker-1" });
}

// Guards against a configuration that is announced by gossip but not fetched
// over TCP.
TEST_CASE("a change reaches a peer by gossip and a fetch over TCP")
{
  Threads threads;
  Process one(threads, "one", 0);
  Process two(threads, "two", one.gossip.Port());
  const JoinAtEnd join{ threads };
  CHECK(Eventually([&] { return two.gossip.Members().size() == 2; }));
  boost::asio::co_spawn(
    threads.context,
    one.agent.Apply(R"({"teams": [{"name": "red"}]})", 0, "ann"),
    boost::asio::detached);
  CHECK(Eventually([&] { return two.agent.Generation() == 1; }));
  CHECK(two.agent.Document() == one.agent.Document());
}
