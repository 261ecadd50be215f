#pragma once

#include "Clock.h"

#include <cstdint>

namespace sequoiakeel {

/** Returns the connections that one entry may open to a worker, so that the
 * entries together stay within the worker's limit without coordination. Both
 * arguments are positive. Thread safe. */
constexpr std::uint32_t
ConnectionShare(std::uint32_t aConnectionsPerWorker, std::uint32_t aEntriesMax)
{
  return aConnectionsPerWorker / aEntriesMax;
}

/** Parameters of the soft limit. */
struct ConcurrencyOptions
{
  std::uint32_t slots = 8;
  /** Hard limit: ConnectionShare. */
  std::uint32_t connectionShare = 6;
  std::uint32_t entriesMax = 10;
};

/**
 * Soft limit of the concurrent requests of one entry at one worker. Additive
 * increase while the limit is in use and the worker keeps up; multiplicative
 * decrease on explicit refusals and when the peers' reports add up to more than
 * the worker's slots. Stays between 1 and the connection share. Not thread
 * safe: the caller shards it.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const ConcurrencyOptions& aOptions = {});

  /** A whole response came while aInFlight requests (with this one) were in
   * progress. aSlowdown is its latency over the usual one. */
  void OnResponse(std::uint32_t aInFlight, double aSlowdown, TimePoint aNow);

  /** The worker explicitly refused a request. */
  void OnRefusal(TimePoint aNow);

  /** The peers together reported aInFlight requests in progress, aAge ago. */
  void OnPeerReport(double aInFlight, Duration aAge, TimePoint aNow);

  /** Returns the limit: at least 1, at most the connection share (0 if that is
   * 0). */
  std::uint32_t Limit() const;

private:
  double UpperBound() const;
  void Decrease(double aFactor, TimePoint aNow);

  ConcurrencyOptions options;
  double limit;
  TimePoint lastDecrease;
};

} // namespace sequoiakeel
