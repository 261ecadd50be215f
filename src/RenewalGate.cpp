#include "RenewalGate.h"

#include <algorithm>

namespace sequoiakeel {

void
RenewalGate::OnStoreReports(TimePoint aNow,
                            bool aMajorityReachable,
                            bool aMajorityUnreachable)
{
  this->reported = aNow;
  this->majorityReachable = aMajorityReachable;
  this->majorityUnreachable = aMajorityUnreachable;
}

bool
RenewalGate::IsFresh(TimePoint aNow) const
{
  return this->reported && aNow - *this->reported <= kVerdictLifetime;
}

bool
RenewalGate::MayRenew(TimePoint aNow,
                      bool aOwnsWithValidLease,
                      bool aLastOwnerOrCaretaker) const
{
  if (aOwnsWithValidLease) {
    return true;
  }
  return aLastOwnerOrCaretaker && this->IsFresh(aNow) &&
         this->majorityUnreachable;
}

void
RenewalGate::Observe(TimePoint aNow, bool aOwnsWithValidLease)
{
  const bool continuous = aNow - this->lastObserved <= kLongestObservationGap;
  this->lastObserved = aNow;
  if (!aOwnsWithValidLease || !this->IsFresh(aNow) ||
      !this->majorityReachable) {
    this->heldSince.reset();
    return;
  }
  if (!this->heldSince || !continuous) {
    this->heldSince = aNow;
  }
}

bool
RenewalGate::LeasesKnownExpired(TimePoint aNow, TimePoint aLastRenewal) const
{
  if (!this->heldSince) {
    return false;
  }
  const TimePoint quietSince = std::max(*this->heldSince, aLastRenewal);
  return aNow - quietSince >= 2 * kWorkerLeaseTtl + kLeaseMargin;
}

} // namespace sequoiakeel
