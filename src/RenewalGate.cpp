#include "RenewalGate.h"

#include <algorithm>

namespace sequoiakeel {

RenewalGate::RenewalGate(std::uint32_t aPlannersExpected)
  : plannersExpected(aPlannersExpected)
{
}

void
RenewalGate::SetPlannersExpected(std::uint32_t aPlannersExpected)
{
  if (this->plannersExpected != aPlannersExpected) {
    // What counted as a majority so far need not be one.
    this->heldSince.reset();
  }
  this->plannersExpected = aPlannersExpected;
}

void
RenewalGate::OnReport(const std::string& aPlanner,
                      bool aStoreReachable,
                      TimePoint aReceived)
{
  this->reports[aPlanner] = Report{ aStoreReachable, aReceived };
  std::erase_if(this->reports, [aReceived](const auto& aEntry) {
    return aReceived - aEntry.second.received > 10 * kReportFreshness;
  });
}

std::uint32_t
RenewalGate::CountReports(TimePoint aNow, bool aReachable) const
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(this->reports, [&](const auto& aEntry) {
      const Report& report = aEntry.second;
      return report.reachable == aReachable &&
             aNow - report.received <= kReportFreshness;
    }));
}

bool
RenewalGate::IsMajority(std::uint32_t aCount) const
{
  return aCount * 2 > this->plannersExpected;
}

bool
RenewalGate::MajorityReachable(TimePoint aNow) const
{
  return this->IsMajority(this->CountReports(aNow, true));
}

bool
RenewalGate::MajorityUnreachable(TimePoint aNow) const
{
  return this->IsMajority(this->CountReports(aNow, false));
}

bool
RenewalGate::MayRenew(TimePoint aNow,
                      bool aOwnsWithValidLease,
                      bool aLastOwnerOrCaretaker) const
{
  if (aOwnsWithValidLease) {
    return true;
  }
  return aLastOwnerOrCaretaker && this->MajorityUnreachable(aNow);
}

void
RenewalGate::Observe(TimePoint aNow, bool aOwnsWithValidLease)
{
  const bool continuous = aNow - this->lastObserved <= kReportFreshness;
  this->lastObserved = aNow;
  if (!aOwnsWithValidLease || !this->MajorityReachable(aNow)) {
    this->heldSince.reset();
    return;
  }
  if (!this->heldSince || !continuous) {
    this->heldSince = aNow;
  }
}

bool
RenewalGate::SurelyExpired(TimePoint aNow, TimePoint aLastRenewal) const
{
  if (!this->heldSince) {
    return false;
  }
  const TimePoint quietSince = std::max(*this->heldSince, aLastRenewal);
  return aNow - quietSince >= 2 * kWorkerLeaseTtl + kLeaseMargin;
}

} // namespace sequoiakeel
