#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstdint>
#include <optional>

namespace sequoiakeel {

struct RetryOptions
{
  /** Retries allowed per hundred requests. */
  std::uint32_t percent = 10;
  /** Capacity of the token bucket, in retries. */
  std::uint32_t burst = 20;
  /** Upper bound of the backoff before the first retry. */
  Duration firstBackoff = std::chrono::milliseconds(2);
  /** Upper bound of the backoff before any retry. */
  Duration maxBackoff = std::chrono::milliseconds(200);
  /** Maximum number of attempts of one request, including the first. */
  std::uint32_t attempts = 3;
  /** An attempt times out after this multiple of the 99th percentile of the
   * latency. */
  double attemptTimeoutFactor = 5;
};

/** Returns the time after which an attempt is abandoned and the request retried
 * at another server; empty if the time left until the deadline (aRemaining)
 * would not suffice for the second attempt. aTypical is the typical latency and
 * aP99 the 99th percentile; either is zero if unknown. Thread safe. */
std::optional<Duration>
AttemptTimeout(const RetryOptions& aOptions,
               Duration aTypical,
               Duration aP99,
               Duration aRemaining);

/** Token bucket that limits retries to a share of the requests, so that an
 * outage is not amplified by retries. Not thread safe: each shard has its own.
 */
class RetryBudget
{
public:
  explicit RetryBudget(const RetryOptions& aOptions = {});

  /** Adds the tokens of one new request. Not called for retries. */
  void OnRequest();

  /** Takes one retry from the budget. Returns false if none is left. */
  bool TryTake();

  /** Puts back a retry that was taken but not made. */
  void Return();

  /** Returns the time to wait before retry aAttempt (counted from 1). The upper
   * bound doubles with each retry; the time is drawn uniformly between zero and
   * that bound (full jitter), so that the retries of different requests are not
   * synchronized. */
  Duration Backoff(std::uint32_t aAttempt, Random& aRandom) const;

  /** Returns the remaining budget in hundredths of a retry. */
  std::uint64_t Available() const { return this->hundredths; }

private:
  RetryOptions options;
  std::uint64_t hundredths = 0;
};

} // namespace sequoiakeel
