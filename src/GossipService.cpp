#include "GossipService.h"

#include "Error.h"
#include "Log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <mutex>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/** Number of members in each availability zone that poll the host list. */
constexpr std::size_t kPollersPerZone = 2;

/** Size of the receive buffer. It exceeds the maximum datagram size, so that
 * oversized datagrams are detected instead of truncated to a valid size. */
constexpr std::size_t kReceiveBufferBytes = 2 * kMaxDatagramBytes;

/** Delay after a failed receive, so that a persistent error does not cause a
 * busy loop. */
constexpr std::chrono::milliseconds kErrorPause{ 10 };

std::uint64_t
StartTimeMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

MemberRow
WithIncarnation(MemberRow aOwn)
{
  if (aOwn.incarnation == 0) {
    aOwn.incarnation = StartTimeMicroseconds();
  }
  return aOwn;
}

udp::endpoint
ToUdp(const GossipEndpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address, error);
  return udp::endpoint(address, static_cast<std::uint16_t>(aEndpoint.port));
}

} // namespace

class GossipService::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(const asio::any_io_executor& aExecutor,
       const GossipSettings& aSettings,
       const Clock& aClock)
    : strand(asio::make_strand(aExecutor))
    , socket(this->strand)
    , timer(this->strand)
    , gossip(WithIncarnation(aSettings.own),
             aSettings.seeds,
             aClock,
             aSettings.randomSeed == 0 ? std::random_device()()
                                       : aSettings.randomSeed)
  {
    this->Bind(GossipEndpoint{ aSettings.own.address, aSettings.own.port });
  }

  void Start();
  void Stop();
  std::uint16_t Port() const { return this->port; }

  /** Calls aUse with the Gossip object while the lock is held, then sends the
   * pending changes. */
  template<typename Use>
  void Change(Use aUse)
  {
    std::vector<OutgoingDatagram> out;
    {
      const std::scoped_lock guard(this->lock);
      aUse(this->gossip);
      out = this->gossip.Flush();
    }
    this->Post(std::move(out));
  }

  template<typename Use>
  auto Read(Use aUse) const
  {
    const std::scoped_lock guard(this->lock);
    return aUse(this->gossip);
  }

  OnGeneration onGeneration;

private:
  void Bind(const GossipEndpoint& aEndpoint);
  asio::awaitable<void> RunRounds();
  asio::awaitable<void> RunReceive();
  void Handle(std::string_view aBytes, const udp::endpoint& aSource);
  void Post(std::vector<OutgoingDatagram> aOut);
  void SendAll(const std::vector<OutgoingDatagram>& aOut);

  asio::strand<asio::any_io_executor> strand;
  udp::socket socket;
  asio::steady_timer timer;
  std::uint16_t port = 0;
  std::atomic<bool> stopped{ false };
  mutable std::mutex lock;
  Gossip gossip;
};

void
GossipService::Impl::Bind(const GossipEndpoint& aEndpoint)
{
  const udp::endpoint endpoint = ToUdp(aEndpoint);
  boost::system::error_code error;
  this->socket.open(endpoint.protocol(), error);
  if (!error) {
    this->socket.bind(endpoint, error);
  }
  if (error) {
    throw UserError("cannot bind the gossip socket to " + aEndpoint.address +
                    " port " + std::to_string(aEndpoint.port) + ": " +
                    error.message());
  }
  this->socket.non_blocking(true);
  this->port = this->socket.local_endpoint().port();
  this->gossip.Table().SetPort(this->port);
}

void
GossipService::Impl::Start()
{
  const auto self = this->shared_from_this();
  asio::co_spawn(
    this->strand, [self] { return self->RunReceive(); }, asio::detached);
  asio::co_spawn(
    this->strand, [self] { return self->RunRounds(); }, asio::detached);
}

void
GossipService::Impl::Stop()
{
  if (this->stopped.exchange(true)) {
    return;
  }
  asio::post(this->strand, [self = this->shared_from_this()] {
    boost::system::error_code ignored;
    self->socket.close(ignored);
    self->timer.cancel();
  });
}

asio::awaitable<void>
GossipService::Impl::RunRounds()
{
  boost::system::error_code error;
  while (!this->stopped) {
    std::vector<OutgoingDatagram> out;
    {
      const std::scoped_lock guard(this->lock);
      out = this->gossip.Round();
    }
    this->SendAll(out);
    this->timer.expires_after(kGossipInterval);
    co_await this->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<void>
GossipService::Impl::RunReceive()
{
  std::array<char, kReceiveBufferBytes> buffer{};
  udp::endpoint source;
  boost::system::error_code error;
  asio::steady_timer pause(this->strand);
  while (!this->stopped) {
    const std::size_t size = co_await this->socket.async_receive_from(
      asio::buffer(buffer),
      source,
      asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      this->Handle(std::string_view(buffer.data(), size), source);
      continue;
    }
    pause.expires_after(kErrorPause);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void
GossipService::Impl::Handle(std::string_view aBytes,
                            const udp::endpoint& aSource)
{
  const GossipEndpoint source{ aSource.address().to_string(), aSource.port() };
  std::vector<OutgoingDatagram> out;
  std::optional<MemberRow> announcer;
  {
    const std::scoped_lock guard(this->lock);
    out = this->gossip.Receive(aBytes, source);
    announcer = this->gossip.TakeNewGeneration();
  }
  this->SendAll(out);
  if (announcer && this->onGeneration && !this->stopped) {
    this->onGeneration(*announcer);
  }
}

void
GossipService::Impl::Post(std::vector<OutgoingDatagram> aOut)
{
  if (aOut.empty()) {
    return;
  }
  asio::post(this->strand,
             [self = this->shared_from_this(), out = std::move(aOut)] {
               self->SendAll(out);
             });
}

void
GossipService::Impl::SendAll(const std::vector<OutgoingDatagram>& aOut)
{
  for (const OutgoingDatagram& datagram : aOut) {
    // A failed send is treated like a datagram lost in the network.
    boost::system::error_code ignored;
    this->socket.send_to(
      asio::buffer(datagram.bytes), ToUdp(datagram.target), 0, ignored);
  }
}

GossipService::GossipService(asio::any_io_executor aExecutor,
                             const GossipSettings& aSettings,
                             const Clock& aClock)
  : impl(std::make_shared<Impl>(aExecutor, aSettings, aClock))
{
}

GossipService::~GossipService()
{
  this->Stop();
}

void
GossipService::SetOnGeneration(OnGeneration aCallback)
{
  this->impl->onGeneration = std::move(aCallback);
}

void
GossipService::Start()
{
  const MemberRow own = this->OwnRow();
  Event("gossip_started")
    .Add("name", own.name)
    .Add("address", own.address)
    .Add("port", own.port)
    .Add("incarnation", own.incarnation);
  this->impl->Start();
}

void
GossipService::Stop()
{
  this->impl->Stop();
}

std::uint16_t
GossipService::Port() const
{
  return this->impl->Port();
}

MemberRow
GossipService::OwnRow() const
{
  return this->impl->Read(
    [](const Gossip& aGossip) { return aGossip.Table().Own(); });
}

std::vector<Member>
GossipService::Members() const
{
  return this->impl->Read(
    [](const Gossip& aGossip) { return aGossip.Table().Members(); });
}

StoreReports
GossipService::CountStoreReports(std::size_t aPlannersExpected) const
{
  return this->impl->Read([aPlannersExpected](const Gossip& aGossip) {
    return aGossip.Table().CountStoreReports(aPlannersExpected);
  });
}

void
GossipService::AnnounceGeneration(std::uint64_t aGeneration)
{
  this->impl->Change([aGeneration](Gossip& aGossip) {
    aGossip.AnnounceGeneration(aGeneration);
  });
}

void
GossipService::SetLoad(std::uint32_t aPermille)
{
  this->impl->Change(
    [aPermille](Gossip& aGossip) { aGossip.Table().SetLoad(aPermille); });
}

void
GossipService::SetStoreReachable(bool aReachable)
{
  this->impl->Change([aReachable](Gossip& aGossip) {
    aGossip.Table().SetStoreReachable(aReachable);
  });
}

void
GossipService::AnnounceLeaving()
{
  this->impl->Change([](Gossip& aGossip) { aGossip.AnnounceLeaving(); });
}

void
GossipService::SetHostList(std::uint64_t aRevision,
                           std::span<const std::string> aLeaving)
{
  this->impl->Change(
    [&](Gossip& aGossip) { aGossip.SetHostList(aRevision, aLeaving); });
}

void
GossipService::SetDocumentLeaving(std::span<const std::string> aLeaving)
{
  this->impl->Change(
    [&](Gossip& aGossip) { aGossip.Leaving().SetDocument(aLeaving); });
}

void
GossipService::ReportRefusal(std::string_view aHost)
{
  this->impl->Change([&](Gossip& aGossip) { aGossip.ReportRefusal(aHost); });
}

bool
GossipService::IsLeaving(std::string_view aHost) const
{
  return this->impl->Read(
    [&](const Gossip& aGossip) { return aGossip.Leaving().IsLeaving(aHost); });
}

std::vector<std::string>
GossipService::LeavingHostNames() const
{
  return this->impl->Read(
    [](const Gossip& aGossip) { return aGossip.Leaving().All(); });
}

bool
GossipService::PollsHostList() const
{
  const MemberRow own = this->OwnRow();
  const std::vector<Member> members = this->Members();
  std::vector<std::string> ranked =
    RankMembers("host-list/" + own.zone, members, [&](const MemberRow& aRow) {
      return aRow.region == own.region && aRow.zone == own.zone;
    });
  ranked.resize(std::min(ranked.size(), kPollersPerZone));
  return std::ranges::find(ranked, own.name) != ranked.end();
}

GossipCounters
GossipService::Counters() const
{
  return this->impl->Read(
    [](const Gossip& aGossip) { return aGossip.Counters(); });
}

} // namespace sequoiakeel
