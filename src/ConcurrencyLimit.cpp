#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Multiplies the limit after an explicit refusal. */
constexpr double kRefusalFactor = 0.7;
/** Multiplies the limit after a slow response or a report of overload by the
 * peers. */
constexpr double kOverloadFactor = 0.85;
/** Ratio of latency to typical latency above which a response indicates
 * overload. */
constexpr double kOverloadSlowdown = 3;
/** Ratio of reported requests to slots above which the worker is overloaded. */
constexpr double kPeersOverloadRatio = 1.5;
/** Reports of peers older than this are ignored. */
constexpr Duration kReportAgeLimit = std::chrono::seconds(5);
/** Indications of overload within this time after a decrease are attributed to
 * the same overload and cause no further decrease. */
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(100);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyOptions& aOptions)
  : options(aOptions)
  , limit(std::max(1.0, aOptions.connectionShare / 2.0))
{
}

void
ConcurrencyLimit::OnResponse(std::uint32_t aInFlight,
                             double aSlowdown,
                             TimePoint aNow)
{
  if (aSlowdown > kOverloadSlowdown) {
    this->Decrease(kOverloadFactor, aNow);
    return;
  }
  // The limit grows only if it is nearly reached. Otherwise the response does
  // not show whether the worker can process more requests.
  if (aInFlight + 1 < this->Limit()) {
    return;
  }
  this->limit = std::min(this->limit + 1 / this->limit, this->UpperBound());
}

void
ConcurrencyLimit::OnRefusal(TimePoint aNow)
{
  this->Decrease(kRefusalFactor, aNow);
}

void
ConcurrencyLimit::OnPeerReport(double aInFlight, Duration aAge, TimePoint aNow)
{
  if (aAge > kReportAgeLimit) {
    return;
  }
  if (aInFlight > kPeersOverloadRatio * this->options.slots) {
    this->Decrease(kOverloadFactor, aNow);
  }
}

std::uint32_t
ConcurrencyLimit::Limit() const
{
  const double bounded =
    std::min(std::max(1.0, this->limit), this->UpperBound());
  return static_cast<std::uint32_t>(std::floor(bounded));
}

double
ConcurrencyLimit::UpperBound() const
{
  return static_cast<double>(this->options.connectionShare);
}

void
ConcurrencyLimit::Decrease(double aFactor, TimePoint aNow)
{
  if (aNow - this->lastDecrease < kDecreaseInterval) {
    return;
  }
  this->lastDecrease = aNow;
  this->limit = std::max(1.0, this->limit * aFactor);
}

} // namespace sequoiakeel
