#include "FaultProxy.h"

#include "AsyncSignal.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <set>

namespace sequoiakeel::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kDelay{ 150 };

constexpr std::size_t kPieceBytes = 16 * 1024;

struct Link
{
  explicit Link(const asio::any_io_executor& aExecutor)
    : near(aExecutor)
    , far(aExecutor)
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
  PathFault fault = PathFault::None;
};

asio::awaitable<void>
Forward(std::shared_ptr<Link> aLink, bool aTowardsTarget)
{
  Tcp::socket& from = aTowardsTarget ? aLink->near : aLink->far;
  Tcp::socket& to = aTowardsTarget ? aLink->far : aLink->near;
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
    if (aLink->fault == PathFault::Delay) {
      co_await SleepFor(from.get_executor(), kDelay);
    }
    co_await asio::async_write(
      to,
      asio::buffer(piece.data(), size),
      asio::redirect_error(asio::use_awaitable, error));
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
    auto link = std::make_shared<Link>(aState->executor);
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
FaultProxy::Reset()
{
  for (const std::shared_ptr<Link>& link : this->state->links) {
    link->Close(true);
  }
}

} // namespace sequoiakeel::soak
