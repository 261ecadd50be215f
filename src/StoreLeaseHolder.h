#pragma once

#include "Clock.h"
#include "KeyValueStore.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <mutex>

namespace sequoiakeel {

/** Time to live of a planner's store lease. */
inline constexpr std::chrono::seconds kStoreLeaseTtl{ 8 };
inline constexpr std::chrono::seconds kStoreLeaseRenewal{ 2 };
/** Safety margin that is subtracted from the time to live when the validity of
 * the lease is computed. */
inline constexpr std::chrono::seconds kStoreLeaseMargin{ 2 };

/** A planner's store lease, with its validity on the planner's own clock. */
struct HeldLease
{
  std::uint64_t lease = kNoLease;
  TimePoint validUntil;
};

/**
 * Grants and renews the planner's store lease. The validity counts from the
 * time at which the last successful call was sent. Thread safe.
 */
class StoreLeaseHolder
{
public:
  /** aStore and aClock must outlive the object. */
  StoreLeaseHolder(KeyValueStore& aStore, const Clock& aClock);

  /** Renews the lease periodically until Stop() is called. Must be called
   * once. */
  boost::asio::awaitable<void> Run();

  /** Renews the lease once. Grants a new one if there is none or if it has
   * expired. */
  boost::asio::awaitable<void> Renew();

  /** Ends Run() and revokes the lease. */
  boost::asio::awaitable<void> Stop();

  HeldLease Current() const;

  /** Returns whether the store answered the last call. */
  bool StoreReachable() const { return this->reachable; }

private:
  void HandleReply(const StoreLeaseReply& aReply, TimePoint aSent);

  KeyValueStore& store;
  const Clock& clock;
  mutable std::mutex mutex;
  HeldLease held;
  std::atomic<bool> reachable{ false };
  std::atomic<bool> stopping{ false };
};

} // namespace sequoiakeel
