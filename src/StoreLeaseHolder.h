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
/** The lease counts as held for this much less than its time to live. */
inline constexpr std::chrono::seconds kStoreLeaseMargin{ 2 };

/** A planner's store lease as its own clock has it. */
struct HeldLease
{
  std::uint64_t lease = kNoLease;
  TimePoint validUntil;
};

/**
 * Grants and renews the planner's store lease. It counts as held from the
 * moment the last successful call was sent. Thread safe.
 */
class StoreLeaseHolder
{
public:
  /** The references must outlive the object. */
  StoreLeaseHolder(KeyValueStore& aStore, const Clock& aClock);

  /** Renews until Stop. Call once. */
  boost::asio::awaitable<void> Run();

  /** One grant or renewal. */
  boost::asio::awaitable<void> Renew();

  /** Ends Run and revokes the lease. */
  boost::asio::awaitable<void> Stop();

  HeldLease Current() const;

  /** Whether the last call got an answer. */
  bool StoreReachable() const { return this->reachable; }

private:
  void Take(const StoreLeaseReply& aReply, TimePoint aSent);

  KeyValueStore& store;
  const Clock& clock;
  mutable std::mutex mutex;
  HeldLease held;
  std::atomic<bool> reachable{ false };
  std::atomic<bool> stopping{ false };
};

} // namespace sequoiakeel
