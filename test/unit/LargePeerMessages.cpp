/**
 * Guards against a large message between two processes that is given up while
 * it is carried, and against one that waits for a peer that is silent.
 */
#include "PeerRpc.h"
#include "soak/FaultProxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kSilence{ 600 };
constexpr std::uint64_t kLinkBytesPerSecond = 10'000'000 / 8;
constexpr std::size_t kMessageBytes = 1'500'000;

/** A server that returns what it receives, behind a link of 10 Mbit/s. */
struct Fixture
{
  Fixture()
  {
    this->server.Handle(PeerMessage::RelaySubmission,
                        [](std::string aBytes) -> asio::awaitable<std::string> {
                          co_return aBytes;
                        });
    this->server.Start();
    this->link.SetBandwidth(kLinkBytesPerSecond);
  }

  PeerReply Call(std::size_t aBytes)
  {
    std::optional<PeerReply> result;
    asio::co_spawn(this->context,
                   this->client.Call(this->link.Address(),
                                     PeerMessage::RelaySubmission,
                                     std::string(aBytes, 'x'),
                                     TransferTimeout::Silence(kSilence)),
                   [&](std::exception_ptr, PeerReply aReply) {
                     result = std::move(aReply);
                   });
    while (!result) {
      this->context.run_one();
    }
    return std::move(*result);
  }

  asio::io_context context{ 1 };
  PeerServer server{ context, Endpoint{ "127.0.0.1", 0 } };
  soak::FaultProxy link{ context.get_executor(),
                         Endpoint{ "127.0.0.1", server.Port() } };
  PeerClient client{ context.get_executor() };
};

} // namespace

TEST_CASE("a message that takes longer than the time-out is answered")
{
  Fixture fixture;
  const PeerReply reply = fixture.Call(kMessageBytes);
  REQUIRE(reply);
  CHECK(reply.body->size() == kMessageBytes);
}

TEST_CASE("a peer that is silent is given up")
{
  Fixture fixture;
  fixture.link.SetFault(soak::PathFault::Silent);
  const PeerReply reply = fixture.Call(100);
  CHECK(!reply);
  CHECK(reply.mayHaveArrived);
}
