#include "OwnerProgress.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr int kMostDoublings = 4;

} // namespace

void
OwnerProgress::Begin(OwnerDuty aDuty, TimePoint aNow)
{
  std::optional<TimePoint>& since = this->Last(aDuty);
  since = since.value_or(aNow);
}

void
OwnerProgress::Advance(OwnerDuty aDuty, TimePoint aNow)
{
  this->Last(aDuty) = aNow;
}

void
OwnerProgress::Finish(OwnerDuty aDuty)
{
  this->Last(aDuty).reset();
}

Duration
OwnerProgress::StalledFor(TimePoint aNow) const
{
  Duration longest = Duration::zero();
  for (const std::optional<TimePoint>& since : this->last) {
    if (since) {
      longest = std::max(longest, aNow - *since);
    }
  }
  return longest;
}

void
StallLimit::OwnerChanged()
{
  this->unserved = this->served ? 0 : this->unserved + 1;
  this->served = false;
}

Duration
StallLimit::Get() const
{
  return kStallLimit * (1 << std::min(this->unserved, kMostDoublings));
}

} // namespace sequoiakeel
