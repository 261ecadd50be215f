#pragma once

#include "Clock.h"
#include "TransactionalStore.h"

#include <mutex>

namespace sequoiakeel {

/**
 * Detects from the results of a process's calls whether the store is reachable.
 *
 * During an outage of the store, or on a host that is cut off from the store,
 * requests that cannot be served are rejected at once instead of being held
 * until several attempts have failed. Thread safe.
 */
class StoreReachability
{
public:
  /** aClock must outlive the object. */
  explicit StoreReachability(const Clock& aClock);

  /** Records the result of a call. */
  void RecordResult(StoreResult aResult);

  /** Returns whether all recent calls failed, for long enough that the next one
   * is likely to fail too. Other calls of the process continue during an
   * outage, so its end is detected without requests of callers. */
  bool StoreUnreachable() const;

private:
  const Clock& clock;
  mutable std::mutex mutex;
  int failures = 0;
  TimePoint failingSince;
};

} // namespace sequoiakeel
