#pragma once

#include "Clock.h"

#include <chrono>
#include <optional>

namespace sequoiakeel {

/** Since when nothing of a job has run, and when one of its tasks was last
 * started, as far as the owner of its cell knows. Not thread safe. */
class JobActivity
{
public:
  /** Records whether any task of the job has a run now. */
  void Update(bool aAnyRun, TimePoint aNow);

  /** Records the start of a task. aEstimate: expected time of the run. */
  void NoteStart(std::chrono::milliseconds aEstimate, TimePoint aNow);

  /** Returns since when no task of the job has had a run; unset while one has.
   */
  std::optional<TimePoint> IdleSince() const { return this->idleSince; }

  /** Returns whether the run that was started last may end soon, or may have
   * ended without a report of it. So it is if no start is known. */
  bool NearsEnd(TimePoint aNow) const { return aNow >= this->nearsEndAt; }

private:
  std::optional<TimePoint> idleSince;
  TimePoint nearsEndAt;
};

} // namespace sequoiakeel
