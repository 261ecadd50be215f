#include "FaultProxy.h"

#include "AsyncSignal.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <string>
#include <utility>

namespace sequoiakeel::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kDelay{ 150 };

constexpr std::size_t kPieceBytes = 16 * 1024;

constexpr std::chrono::milliseconds kHeldPoll{ 5 };

/** The platform carries a call out up to 12 s after it was sent. */
constexpr std::chrono::seconds kLongestHold{ 12 };

/** Data of one direction that is held up. */
struct HeldData
{
  std::string bytes;
  bool delivering = false;
};

/** Bandwidth that all connections of a proxy share. */
struct Bandwidth
{
  std::uint64_t bytesPerSecond = 0;
  /** When the data that was accepted in a direction has been sent. */
  TimePoint freeTowardsTarget;
  TimePoint freeTowardsCaller;
};

struct Link
{
  Link(const asio::any_io_executor& aExecutor,
       std::shared_ptr<Bandwidth> aBandwidth)
    : near(aExecutor)
    , far(aExecutor)
    , bandwidth(std::move(aBandwidth))
  {
  }

  void Close(bool aReset)
  {
    boost::system::error_code ignored;
    if (aReset) {
      this->near.set_option(asio::socket_base::linger(true, 0), ignored);
      this->far.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    this->near.close(ignored);
    this->far.close(ignored);
  }

  Tcp::socket near;
  Tcp::socket far;
  HeldData towardsTarget;
  HeldData towardsCaller;
  std::shared_ptr<Bandwidth> bandwidth;
  PathFault fault = PathFault::None;
};

/** Waits until the shared bandwidth has carried aSize more bytes. */
asio::awaitable<void>
AwaitBandwidth(std::shared_ptr<Link> aLink,
               bool aTowardsTarget,
               std::size_t aSize)
{
  Bandwidth& bandwidth = *aLink->bandwidth;
  if (bandwidth.bytesPerSecond == 0) {
    co_return;
  }
  TimePoint& free =
    aTowardsTarget ? bandwidth.freeTowardsTarget : bandwidth.freeTowardsCaller;
  const TimePoint now = std::chrono::steady_clock::now();
  free = std::max(free, now) + std::chrono::nanoseconds(
                                 aSize * 1000000000 / bandwidth.bytesPerSecond);
  co_await SleepFor(aLink->near.get_executor(), free - now);
}

/** Delivers held data once the fault is over. Closing the link drops it. */
asio::awaitable<void>
DeliverHeld(std::shared_ptr<Link> aLink, bool aTowardsTarget)
{
  Tcp::socket& to = aTowardsTarget ? aLink->far : aLink->near;
  HeldData& held = aTowardsTarget ? aLink->towardsTarget : aLink->towardsCaller;
  const TimePoint since = std::chrono::steady_clock::now();
  while (aLink->fault == PathFault::Held && to.is_open()) {
    co_await SleepFor(to.get_executor(), kHeldPoll);
  }
  if (std::chrono::steady_clock::now() - since > kLongestHold) {
    aLink->Close(true);
  }
  boost::system::error_code error;
  while (!held.bytes.empty() && !error) {
    const std::string bytes = std::exchange(held.bytes, {});
    co_await asio::async_write(
      to,
      asio::buffer(bytes),
      asio::redirect_error(asio::use_awaitable, error));
  }
  held.delivering = false;
}

asio::awaitable<void>
Forward(std::shared_ptr<Link> aLink, bool aTowardsTarget)
{
  Tcp::socket& from = aTowardsTarget ? aLink->near : aLink->far;
  Tcp::socket& to = aTowardsTarget ? aLink->far : aLink->near;
  HeldData& held = aTowardsTarget ? aLink->towardsTarget : aLink->towardsCaller;
  std::array<char, kPieceBytes> piece;
  boost::system::error_code error;
  while (!error) {
    const std::size_t size = co_await from.async_read_some(
      asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    const bool dropped = aLink->fault == PathFault::Silent ||
                         (aLink->fault == PathFault::OneWay && !aTowardsTarget);
    if (dropped) {
      continue;
    }
    if (aLink->fault == PathFault::Held || held.delivering) {
      held.bytes.append(piece.data(), size);
      if (!held.delivering) {
        held.delivering = true;
        asio::co_spawn(from.get_executor(),
                       DeliverHeld(aLink, aTowardsTarget),
                       asio::detached);
      }
      continue;
    }
    if (aLink->fault == PathFault::Delay) {
      co_await SleepFor(from.get_executor(), kDelay);
    }
    co_await AwaitBandwidth(aLink, aTowardsTarget, size);
    co_await asio::async_write(
      to,
      asio::buffer(piece.data(), size),
      asio::redirect_error(asio::use_awaitable, error));
  }
  if (error == asio::error::eof && held.delivering) {
    while (held.delivering) {
      co_await SleepFor(from.get_executor(), kHeldPoll);
    }
    if (aTowardsTarget) {
      // Closing both sides at once could reset the connection before the target
      // has read the data. The target closes it after its response.
      aLink->far.shutdown(Tcp::socket::shutdown_send, error);
      co_return;
    }
  }
  aLink->Close(false);
}

} // namespace

struct FaultProxy::State
{
  State(const asio::any_io_executor& aExecutor, Endpoint aTarget)
    : executor(aExecutor)
    , acceptor(aExecutor, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , target(asio::ip::make_address(aTarget.address), aTarget.port)
  {
  }

  asio::any_io_executor executor;
  Tcp::acceptor acceptor;
  Tcp::endpoint target;
  PathFault faultOfNew = PathFault::None;
  std::shared_ptr<Bandwidth> bandwidth = std::make_shared<Bandwidth>();
  std::set<std::shared_ptr<Link>> links;
};

namespace {

asio::awaitable<void>
Serve(std::shared_ptr<FaultProxy::State> aState, std::shared_ptr<Link> aLink)
{
  boost::system::error_code error;
  co_await aLink->far.async_connect(
    aState->target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    aLink->Close(true);
    aState->links.erase(aLink);
    co_return;
  }
  asio::co_spawn(aState->executor, Forward(aLink, true), asio::detached);
  co_await Forward(aLink, false);
  aState->links.erase(aLink);
}

asio::awaitable<void>
Accept(std::shared_ptr<FaultProxy::State> aState)
{
  while (true) {
    auto link = std::make_shared<Link>(aState->executor, aState->bandwidth);
    boost::system::error_code error;
    co_await aState->acceptor.async_accept(
      link->near, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    link->fault = aState->faultOfNew;
    aState->links.insert(link);
    asio::co_spawn(aState->executor, Serve(aState, link), asio::detached);
  }
}

} // namespace

FaultProxy::FaultProxy(asio::any_io_executor aExecutor, Endpoint aTarget)
  : state(std::make_shared<State>(aExecutor, aTarget))
{
  asio::co_spawn(aExecutor, Accept(this->state), asio::detached);
}

FaultProxy::~FaultProxy()
{
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  this->Reset();
}

Endpoint
FaultProxy::Address() const
{
  return Endpoint{ "127.0.0.1", this->state->acceptor.local_endpoint().port() };
}

void
FaultProxy::SetFault(PathFault aFault, bool aOpenOnly)
{
  for (const std::shared_ptr<Link>& link : this->state->links) {
    link->fault = aFault;
  }
  this->state->faultOfNew = aOpenOnly ? PathFault::None : aFault;
}

void
FaultProxy::SetBandwidth(std::uint64_t aBytesPerSecond)
{
  this->state->bandwidth->bytesPerSecond = aBytesPerSecond;
}

void
FaultProxy::Reset()
{
  for (const std::shared_ptr<Link>& link : this->state->links) {
    link->Close(true);
  }
}

} // namespace sequoiakeel::soak
