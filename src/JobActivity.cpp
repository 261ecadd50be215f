#include "JobActivity.h"

namespace sequoiakeel {

namespace {

/** Share of its expected time after which a run may end soon, in percent. Runs
 * deviate from their estimates. */
constexpr int kNearEndPercent = 75;

} // namespace

void
JobActivity::Update(bool aAnyRun, TimePoint aNow)
{
  if (aAnyRun) {
    this->idleSince.reset();
    return;
  }
  this->idleSince = this->idleSince.value_or(aNow);
}

void
JobActivity::NoteStart(std::chrono::milliseconds aEstimate, TimePoint aNow)
{
  this->nearsEndAt = aNow + aEstimate * kNearEndPercent / 100;
}

} // namespace sequoiakeel
