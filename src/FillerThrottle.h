#pragma once

namespace sequoiakeel {

/**
 * Strategy that sets the speed of fillers on a worker from the latency of the
 * serving tasks beside them. Stateless; thread safe.
 */
class FillerThrottle
{
public:
  virtual ~FillerThrottle() = default;

  /** Returns the new speed in percent.
   * aPercent: the present speed; aLatencyRatio: the worst tail latency against
   * its target. */
  virtual int Next(int aPercent, double aLatencyRatio) const = 0;
};

/**
 * Answers serving tasks whose latency rises within seconds while reports are
 * rough and late: the speed falls by a factor above the target's margin and
 * climbs in small steps below it. Two readings above the target are enough to
 * stand still, so a target is not missed for long because of fillers.
 */
class MultiplicativeThrottle : public FillerThrottle
{
public:
  int Next(int aPercent, double aLatencyRatio) const override;
};

} // namespace sequoiakeel
