#pragma once

#include "Clock.h"

#include <optional>

namespace sequoiakeel {

/** Time to live of a worker lease by the worker's clock. */
constexpr std::chrono::seconds kWorkerLeaseTtl{ 30 };

/** Safety margin added when expiry times of leases that run on two different
 * clocks are compared. */
constexpr std::chrono::seconds kLeaseMargin{ 2 };

/** Time for which the last result of the planners' reports remains valid. */
constexpr std::chrono::seconds kVerdictLifetime{ 1 };

/** A longer gap between two observations breaks their continuity: the process
 * may have been paused. */
constexpr std::chrono::seconds kLongestObservationGap{ 2 };

/**
 * Decides who may renew worker leases, and when the tasks of an unresponsive
 * worker may be started elsewhere (design page, section 3.1). One instance per
 * cell. Not thread safe.
 */
class RenewalGate
{
public:
  /** Records the result of recent reports of the planners: whether a majority
   * reports the store reachable, and whether a majority reports it unreachable.
   * The result is valid for kVerdictLifetime. */
  void OnStoreReports(TimePoint aNow,
                      bool aMajorityReachable,
                      bool aMajorityUnreachable);

  /** Whether a planner may renew: with a valid store lease as the cell's owner,
   * or without one while a majority reports the store unreachable, as the last
   * owner or as its caretaker. */
  bool MayRenew(TimePoint aNow,
                bool aOwnsWithValidLease,
                bool aLastOwnerOrCaretaker) const;

  /** Call at least once a second. Tracks since when the process has held the
   * cell with a valid store lease and has seen a majority report the store
   * reachable. A gap between calls of more than
   * kLongestObservationGap restarts that time. */
  void Observe(TimePoint aNow, bool aOwnsWithValidLease);

  /** Whether every lease of a worker is known to have expired, if this process
   * last renewed the worker's lease at aLastRenewal. */
  bool LeasesKnownExpired(TimePoint aNow, TimePoint aLastRenewal) const;

private:
  bool IsFresh(TimePoint aNow) const;

  bool majorityReachable = false;
  bool majorityUnreachable = false;
  std::optional<TimePoint> reported;
  std::optional<TimePoint> heldSince;
  TimePoint lastObserved;
};

} // namespace sequoiakeel
