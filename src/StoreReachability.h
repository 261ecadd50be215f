#pragma once

#include "Clock.h"
#include "TransactionalStore.h"

#include <mutex>

namespace sequoiakeel {

/**
 * Tells from the calls of a process whether the store answers it.
 *
 * Answers outages of the store, and hosts that are cut off from it: requests
 * that cannot be served are refused at once, in place of being held until
 * several attempts have failed. Thread safe.
 */
class StoreReachability
{
public:
  /** aClock outlives the object. */
  explicit StoreReachability(const Clock& aClock);

  /** Notes how a call ended. */
  void Note(StoreResult aResult);

  /** Tells whether the last calls all failed, for long enough that the next one
   * will most likely fail too. Other calls of the process go on meanwhile, so
   * the end of an outage is noticed without requests of callers. */
  bool Lost() const;

private:
  const Clock& clock;
  mutable std::mutex mutex;
  int failures = 0;
  TimePoint failingSince;
};

} // namespace sequoiakeel
