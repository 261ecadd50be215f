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

  /** Returns the new speed in percent. aPercent: the current speed;
   * aLatencyRatio: the highest ratio of tail latency to target among the
   * serving tasks. */
  virtual int NextPercent(int aPercent, double aLatencyRatio) const = 0;
};

/**
 * Additive increase, multiplicative decrease. Latency can rise within seconds
 * while reports are coarse and delayed, so the speed drops by a factor near the
 * target and rises in small steps well below it. Two readings above the target
 * pause the fillers, so that they do not cause a target to be missed for long.
 */
class MultiplicativeThrottle : public FillerThrottle
{
public:
  int NextPercent(int aPercent, double aLatencyRatio) const override;
};

} // namespace sequoiakeel
