#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstdint>
#include <optional>

namespace sequoiakeel {

/** Parameters of retries. */
struct RetryOptions
{
  /** Retries allowed per hundred requests. */
  std::uint32_t percent = 10;
  /** Retries that may be saved up. */
  std::uint32_t burst = 20;
  Duration firstBackoff = std::chrono::milliseconds(2);
  Duration maxBackoff = std::chrono::milliseconds(200);
  /** Attempts of one request, with the first. */
  std::uint32_t attempts = 3;
  /** Multiple of a long latency (the 99th percentile) after which an attempt is
   * given up. */
  double longLatencyFactor = 5;
};

/** Returns the time after which an attempt is given up in favour of another
 * server: empty if too little time would remain for that one. aTypical is the
 * usual latency and aLong a long one, zero if unknown. Thread safe. */
std::optional<Duration>
AttemptTimeout(const RetryOptions& aOptions,
               Duration aTypical,
               Duration aLong,
               Duration aRemaining);

/** Token bucket that limits retries to a share of the requests. Not thread
 * safe: the caller shards it. */
class RetryBudget
{
public:
  explicit RetryBudget(const RetryOptions& aOptions = {});

  /** A new request (not a retry) arrived: adds its share of a retry. */
  void OnRequest();

  /** Takes one retry from the budget; false if there is none left. */
  bool TryTake();

  /** Returns a retry that was taken but not used. */
  void Return();

  /** Returns the time to wait before retry aAttempt (from 1): drawn evenly
   * between zero and the doubled backoff, so that retries do not come in step.
   */
  Duration Backoff(std::uint32_t aAttempt, Random& aRandom) const;

  /** Returns the retries left, in hundredths. */
  std::uint64_t Available() const { return this->hundredths; }

private:
  RetryOptions options;
  std::uint64_t hundredths = 0;
};

} // namespace sequoiakeel
