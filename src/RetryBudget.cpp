#include "RetryBudget.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Tokens of one retry: the budget is counted in hundredths of a retry. */
constexpr std::uint64_t kOneRetry = 100;
/** Maximum number of times that the backoff is doubled. It limits the shift
 * that computes the factor; RetryOptions::maxBackoff is reached before. */
constexpr std::uint32_t kMaxDoublings = 20;

/** Multiple of the typical latency that must remain for a second attempt. */
constexpr double kSecondAttemptFactor = 2;

Duration
Scale(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

} // namespace

std::optional<Duration>
AttemptTimeout(const RetryOptions& aOptions,
               Duration aTypical,
               Duration aP99,
               Duration aRemaining)
{
  if (aP99 <= Duration(0)) {
    return std::nullopt;
  }
  const Duration limit = Scale(aP99, aOptions.attemptTimeoutFactor);
  if (limit + Scale(aTypical, kSecondAttemptFactor) > aRemaining) {
    return std::nullopt;
  }
  return limit;
}

RetryBudget::RetryBudget(const RetryOptions& aOptions)
  : options(aOptions)
  , hundredths(aOptions.percent > 0 ? aOptions.burst * kOneRetry : 0)
{
}

void
RetryBudget::OnRequest()
{
  this->hundredths = std::min<std::uint64_t>(
    this->hundredths + this->options.percent, this->options.burst * kOneRetry);
}

bool
RetryBudget::TryTake()
{
  if (this->hundredths < kOneRetry) {
    return false;
  }
  this->hundredths -= kOneRetry;
  return true;
}

void
RetryBudget::Return()
{
  this->hundredths = std::min<std::uint64_t>(this->hundredths + kOneRetry,
                                             this->options.burst * kOneRetry);
}

Duration
RetryBudget::Backoff(std::uint32_t aAttempt, Random& aRandom) const
{
  const std::uint32_t doublings =
    std::min(aAttempt > 0 ? aAttempt - 1 : 0, kMaxDoublings);
  const Duration longest = std::min(
    this->options.firstBackoff * (1U << doublings), this->options.maxBackoff);
  return std::chrono::duration_cast<Duration>(longest * DrawUnit(aRandom));
}

} // namespace sequoiakeel
