#include "StoreLeaseHolder.h"

#include "Log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;

StoreLeaseHolder::StoreLeaseHolder(KeyValueStore& aStore, const Clock& aClock)
  : store(aStore)
  , clock(aClock)
{
}

HeldLease
StoreLeaseHolder::Current() const
{
  const std::lock_guard lock(this->mutex);
  return this->held;
}

void
StoreLeaseHolder::HandleReply(const StoreLeaseReply& aReply, TimePoint aSent)
{
  const bool wasReachable = this->reachable;
  this->reachable =
    aReply.result == StoreResult::Ok || aReply.result == StoreResult::Conflict;
  if (wasReachable != this->reachable) {
    Event("store_reachability").Add("reachable", !wasReachable);
  }
  const std::lock_guard lock(this->mutex);
  if (aReply.result == StoreResult::Conflict) {
    this->held = HeldLease{};
    return;
  }
  if (aReply.result == StoreResult::Ok) {
    this->held.lease = aReply.lease;
    this->held.validUntil = aSent + aReply.ttl - kStoreLeaseMargin;
  }
}

asio::awaitable<void>
StoreLeaseHolder::Renew()
{
  const std::uint64_t lease = this->Current().lease;
  TimePoint sent = this->clock.Now();
  if (lease != kNoLease) {
    const StoreLeaseReply renewed = co_await this->store.RenewLease(lease);
    this->HandleReply(renewed, sent);
    if (renewed.result != StoreResult::Conflict) {
      co_return;
    }
    sent = this->clock.Now();
  }
  const StoreLeaseReply granted =
    co_await this->store.GrantLease(kStoreLeaseTtl);
  this->HandleReply(granted, sent);
}

asio::awaitable<void>
StoreLeaseHolder::Run()
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!this->stopping) {
    co_await this->Renew();
    timer.expires_after(kStoreLeaseRenewal);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void>
StoreLeaseHolder::Stop()
{
  this->stopping = true;
  const std::uint64_t lease = this->Current().lease;
  if (lease != kNoLease) {
    co_await this->store.RevokeLease(lease);
  }
}

} // namespace sequoiakeel
