#pragma once

#include <cstdint>
#include <memory>

namespace sequoiakeel {

/** What the order of waiting steps may depend on. */
struct WaitingStep
{
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  bool longRunning = false;
  bool filler = false;
  /** By when the job should be completed, in milliseconds since 1970. */
  double objectiveUnixMs = 0;
  /** Time that the job needs at least from here. */
  double remainingMs = 0;
  std::uint64_t acceptedUnixMs = 0;
};

/** Strategy that orders steps with tasks to start. Stateless; thread safe. */
class StepOrder
{
public:
  virtual ~StepOrder() = default;

  /** Tells whether aLeft goes before aRight. A strict weak order. */
  virtual bool Before(const WaitingStep& aLeft,
                      const WaitingStep& aRight,
                      double aNowUnixMs) const = 0;
};

/** First come, first served within a priority. The baseline for differential
 * tests. */
class ArrivalOrder : public StepOrder
{
public:
  bool Before(const WaitingStep& aLeft,
              const WaitingStep& aRight,
              double aNowUnixMs) const override;
};

/**
 * Answers an overload in which not all jobs can be in time: within a priority,
 * jobs that can still meet their objective go first, by the latest time at
 * which they must start; those that are late already follow in order of
 * arrival.
 */
class SlackOrder : public StepOrder
{
public:
  bool Before(const WaitingStep& aLeft,
              const WaitingStep& aRight,
              double aNowUnixMs) const override;
};

} // namespace sequoiakeel
