#include "StoreReachability.h"

#include "Log.h"

namespace sequoiakeel {

namespace {

/** Consecutive failed store calls that count as an outage. Answers to single
 * calls are lost even if the store is healthy. */
constexpr int kOutageFailures = 3;

/** Shortest time for which calls must have failed in a row to count as an
 * outage. A store that rejects a burst of calls accepts the next ones within a
 * fraction of a second. */
constexpr std::chrono::milliseconds kMinOutage{ 300 };

} // namespace

StoreReachability::StoreReachability(const Clock& aClock)
  : clock(aClock)
{
}

void
StoreReachability::RecordResult(StoreResult aResult)
{
  const bool answered =
    aResult == StoreResult::Ok || aResult == StoreResult::Conflict;
  const TimePoint now = this->clock.Now();
  const std::lock_guard lock(this->mutex);
  if (answered) {
    if (this->failures >= kOutageFailures) {
      Event("store_answers", LogLevel::Warning).Add("failures", this->failures);
    }
    this->failures = 0;
    return;
  }
  if (this->failures == 0) {
    this->failingSince = now;
  }
  ++this->failures;
  if (this->failures == kOutageFailures) {
    Event("store_silent", LogLevel::Warning).Add("failures", this->failures);
  }
}

bool
StoreReachability::StoreUnreachable() const
{
  const std::lock_guard lock(this->mutex);
  return this->failures >= kOutageFailures &&
         this->clock.Now() - this->failingSince >= kMinOutage;
}

} // namespace sequoiakeel
