#include "TransferDeadline.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Bandwidth of the slowest link of a host, in bytes a second. */
constexpr std::size_t kSlowestLink = 10'000'000 / 8;

/** Transfers that may share the link of a host at the same time, and large
 * requests among them. */
constexpr std::size_t kConcurrentTransfers = 16;
constexpr std::size_t kConcurrentRequests = 4;

Duration
TimeFor(std::size_t aBytes, std::size_t aBytesPerSecond)
{
  const std::chrono::duration<double> time(
    static_cast<double>(aBytes) / static_cast<double>(aBytesPerSecond));
  return std::chrono::duration_cast<Duration>(time);
}

TimePoint
After(TimePoint aTime, Duration aDelay)
{
  return aDelay > TimePoint::max() - aTime ? TimePoint::max() : aTime + aDelay;
}

} // namespace

Duration
TimeToSend(std::size_t aBytes)
{
  return TimeFor(aBytes, kSlowestLink / kConcurrentRequests);
}

TransferDeadline::TransferDeadline(TimePoint aBegun, TransferTimeout aTimeout)
  : begun(aBegun)
  , timeout(aTimeout)
  , lastProgress(aBegun)
{
}

void
TransferDeadline::Sent(std::size_t aBytes, TimePoint aNow)
{
  // The first bytes only fill buffers of this host, whether or not the peer
  // still reads.
  this->lastProgress = this->sent > 0 ? aNow : this->lastProgress;
  this->sent += aBytes;
}

void
TransferDeadline::Received(std::size_t aBytes, TimePoint aNow)
{
  this->received += aBytes;
  this->lastProgress = aNow;
}

TimePoint
TransferDeadline::Expiry() const
{
  const TransferTimeout& limits = this->timeout;
  const TimePoint total = After(this->begun, limits.total);
  if (limits.silence == Duration::max()) {
    return total;
  }
  // The request may be held in buffers on the way, so it is known to have
  // arrived only when the response begins.
  const Duration underWay = this->received == 0
                              ? limits.wait + TimeToSend(this->sent)
                              : Duration::zero();
  const Duration carried =
    TimeFor(this->sent + this->received, kSlowestLink / kConcurrentTransfers);
  return std::min(
    { total,
      After(this->lastProgress, limits.silence + underWay),
      After(this->begun, limits.silence + limits.wait + carried) });
}

} // namespace sequoiakeel
