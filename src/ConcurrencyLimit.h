#pragma once

#include "Clock.h"

#include <cstdint>

namespace sequoiakeel {

/** Returns the number of connections that one entry (a process that serves
 * callers' HTTP requests) may open to a worker. An equal share for each entry
 * keeps the sum within the worker's limit without coordination. Both arguments
 * are positive. Thread safe. */
constexpr std::uint32_t
ConnectionShare(std::uint32_t aConnectionsPerWorker, std::uint32_t aEntriesMax)
{
  return aConnectionsPerWorker / aEntriesMax;
}

struct ConcurrencyOptions
{
  /** Requests that the worker is meant to run concurrently. */
  std::uint32_t slots = 8;
  /** Hard limit on concurrent requests, from ConnectionShare(). */
  std::uint32_t connectionShare = 6;
  std::uint32_t entriesMax = 10;
};

/**
 * Soft limit on the concurrent requests of one entry at one worker (additive
 * increase, multiplicative decrease). The limit grows while it is in use and
 * responses are not slow; it shrinks on slow responses, on explicit refusals,
 * and when the requests that all entries report exceed the worker's slots by
 * half. It stays between 1 and the connection share. Not thread safe: each
 * shard has its own.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const ConcurrencyOptions& aOptions = {});

  /** Records a complete response. aInFlight is the number of requests in
   * progress when it arrived, including this one; aSlowdown is the ratio of the
   * latency to the typical latency. */
  void OnResponse(std::uint32_t aInFlight, double aSlowdown, TimePoint aNow);

  /** Records that the worker explicitly refused a request. */
  void OnRefusal(TimePoint aNow);

  /** Records that all entries together have aInFlight requests in progress at
   * the worker, according to reports that are aAge old. */
  void OnPeerReport(double aInFlight, Duration aAge, TimePoint aNow);

  /** Returns the limit: at least 1 and at most the connection share, or 0 if
   * the connection share is 0. */
  std::uint32_t Limit() const;

private:
  double UpperBound() const;
  void Decrease(double aFactor, TimePoint aNow);

  ConcurrencyOptions options;
  double limit;
  TimePoint lastDecrease;
};

} // namespace sequoiakeel
