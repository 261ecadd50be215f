#pragma once

#include "Clock.h"

#include <map>
#include <optional>
#include <string>

namespace sequoiakeel {

/** Time to live of a worker lease by the worker's clock. */
constexpr std::chrono::seconds kWorkerLeaseTtl{ 30 };

/** Added wherever leases of two clocks are compared. */
constexpr std::chrono::seconds kLeaseMargin{ 2 };

/** A report by a planner counts for this long. */
constexpr std::chrono::seconds kReportFreshness{ 3 };

/**
 * Rules for who may renew worker leases, and from when the tasks of a silent
 * worker may be started elsewhere (design page, section 3.1). One instance per
 * cell. Not thread safe.
 */
class RenewalGate
{
public:
  /** aPlannersExpected is the configured number of planners. */
  explicit RenewalGate(std::uint32_t aPlannersExpected);

  void SetPlannersExpected(std::uint32_t aPlannersExpected);

  /** Takes a planner's report on the store, including the process's own. A
   * report without news must not be given again. */
  void OnReport(const std::string& aPlanner,
                bool aStoreReachable,
                TimePoint aReceived);

  /** Whether fresh reports of a majority say that the store is reachable. */
  bool MajorityReachable(TimePoint aNow) const;

  /** Whether fresh reports of a majority say that it is unreachable. */
  bool MajorityUnreachable(TimePoint aNow) const;

  /** Whether a planner may renew: with a valid store lease as the cell's owner,
   * or without one while a majority reports the store unreachable, as the last
   * owner or as its caretaker. */
  bool MayRenew(TimePoint aNow,
                bool aOwnsWithValidLease,
                bool aLastOwnerOrCaretaker) const;

  /** Call at least once a second. Tracks since when the process has held the
   * cell with a valid store lease and has seen a majority report the store
   * reachable. A longer gap between calls starts the time again. */
  void Observe(TimePoint aNow, bool aOwnsWithValidLease);

  /** Whether every lease of a worker has surely expired that was last renewed
   * by this process at aLastRenewal. */
  bool SurelyExpired(TimePoint aNow, TimePoint aLastRenewal) const;

private:
  struct Report
  {
    bool reachable = false;
    TimePoint received;
  };

  std::uint32_t CountReports(TimePoint aNow, bool aReachable) const;
  bool IsMajority(std::uint32_t aCount) const;

  std::uint32_t plannersExpected;
  std::map<std::string, Report> reports;
  std::optional<TimePoint> heldSince;
  TimePoint lastObserved;
};

} // namespace sequoiakeel
