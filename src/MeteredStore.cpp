#include "MeteredStore.h"

#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

const char*
TextOf(StoreResult aResult)
{
  switch (aResult) {
    case StoreResult::Ok:
      return "ok";
    case StoreResult::Conflict:
      return "conflict";
    case StoreResult::Unavailable:
      return "unavailable";
    case StoreResult::Unknown:
      return "unknown";
  }
  return "invalid";
}

} // namespace

MeteredStore::MeteredStore(KeyValueStore& aStore,
                           Metrics& aMetrics,
                           const Clock& aClock,
                           OnReachable aOnReachable)
  : store(&aStore)
  , metrics(&aMetrics)
  , clock(&aClock)
  , onReachable(std::move(aOnReachable))
{
}

void
MeteredStore::Count(const char* aKind, StoreResult aResult, TimePoint aStart)
{
  this->metrics->CountStoreCall(
    aKind, TextOf(aResult), this->clock->Now() - aStart);
  this->onReachable(aResult == StoreResult::Ok ||
                    aResult == StoreResult::Conflict);
}

asio::awaitable<StoreReadReply>
MeteredStore::Get(std::string aKey)
{
  const TimePoint start = this->clock->Now();
  StoreReadReply reply = co_await this->store->Get(std::move(aKey));
  this->Count("get", reply.result, start);
  co_return reply;
}

asio::awaitable<StoreReadReply>
MeteredStore::Range(std::string aPrefix)
{
  const TimePoint start = this->clock->Now();
  StoreReadReply reply = co_await this->store->Range(std::move(aPrefix));
  this->Count("range", reply.result, start);
  co_return reply;
}

asio::awaitable<StoreWriteReply>
MeteredStore::CompareAndSwap(std::string aKey,
                             std::uint64_t aExpected,
                             std::string aValue,
                             std::uint64_t aLease)
{
  const TimePoint start = this->clock->Now();
  StoreWriteReply reply = co_await this->store->CompareAndSwap(
    std::move(aKey), aExpected, std::move(aValue), aLease);
  this->Count("swap", reply.result, start);
  co_return reply;
}

asio::awaitable<StoreWriteReply>
MeteredStore::CompareAndDelete(std::string aKey, std::uint64_t aExpected)
{
  const TimePoint start = this->clock->Now();
  StoreWriteReply reply =
    co_await this->store->CompareAndDelete(std::move(aKey), aExpected);
  this->Count("delete", reply.result, start);
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
MeteredStore::GrantLease(std::chrono::seconds aTtl)
{
  const TimePoint start = this->clock->Now();
  StoreLeaseReply reply = co_await this->store->GrantLease(aTtl);
  this->Count("grant", reply.result, start);
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
MeteredStore::RenewLease(std::uint64_t aLease)
{
  const TimePoint start = this->clock->Now();
  StoreLeaseReply reply = co_await this->store->RenewLease(aLease);
  this->Count("renew", reply.result, start);
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
MeteredStore::RevokeLease(std::uint64_t aLease)
{
  const TimePoint start = this->clock->Now();
  StoreLeaseReply reply = co_await this->store->RevokeLease(aLease);
  this->Count("revoke", reply.result, start);
  co_return reply;
}

} // namespace sequoiakeel
