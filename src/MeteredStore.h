#pragma once

#include "Clock.h"
#include "KeyValueStore.h"
#include "Metrics.h"

#include <functional>

namespace sequoiakeel {

/** Decorator that records the count and duration of the calls to a store and
 * reports whether the store is reachable. Thread safe. */
class MeteredStore : public KeyValueStore
{
public:
  /** Called after each store call: true if the result was Ok or Conflict, false
   * otherwise. Must not block. */
  using OnReachable = std::function<void(bool)>;

  /** The referenced objects must outlive this object. */
  MeteredStore(KeyValueStore& aStore,
               Metrics& aMetrics,
               const Clock& aClock,
               OnReachable aOnReachable);

  boost::asio::awaitable<StoreReadReply> Get(std::string aKey) override;
  boost::asio::awaitable<StoreReadReply> Range(std::string aPrefix) override;
  boost::asio::awaitable<StoreWriteReply> CompareAndSwap(
    std::string aKey,
    std::uint64_t aExpected,
    std::string aValue,
    std::uint64_t aLease) override;
  boost::asio::awaitable<StoreWriteReply> CompareAndDelete(
    std::string aKey,
    std::uint64_t aExpected) override;
  boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::seconds aTtl) override;
  boost::asio::awaitable<StoreLeaseReply> RenewLease(
    std::uint64_t aLease) override;
  boost::asio::awaitable<StoreLeaseReply> RevokeLease(
    std::uint64_t aLease) override;

private:
  void Count(const char* aKind, StoreResult aResult, TimePoint aStart);

  KeyValueStore* store;
  Metrics* metrics;
  const Clock* clock;
  OnReachable onReachable;
};

} // namespace sequoiakeel
