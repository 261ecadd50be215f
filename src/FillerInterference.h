#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Fillers of one image beside a serving task. */
struct FillerLoad
{
  std::string image;
  /** Processor time in use as a share of the worker's. */
  double share = 0;
};

/**
 * Learns which fillers disturb which serving tasks from rough and late tail
 * latencies.
 *
 * The tail of a serving task is modelled as base / (1 - pressure), the response
 * time of a queue: pressure is the sum of the task's own load and, for each
 * filler image, its share of the worker times an effect that depends on both
 * images. The effects are a ridge regression of 1 - base / tail for each
 * serving image, with observations that fade, since loads and effects change.
 * Not thread safe.
 */
class FillerInterference
{
public:
  /** Takes in one reading of a serving task. */
  void Observe(const std::string& aServingImage,
               double aTailMs,
               std::span<const FillerLoad> aFillers);

  /** Works the observations in and lets older ones fade. To be called about
   * once a second. */
  void Update();

  /** Returns the pressure on a task of an image whose tail is aTailMs, from 0
   * to 1. */
  double Pressure(const std::string& aServingImage, double aTailMs) const;

  /** Returns the pressure at which a task's tail equals its target. */
  double PressureAtTarget(const std::string& aServingImage,
                          double aTargetMs) const
  {
    return this->Pressure(aServingImage, aTargetMs);
  }

  /** Returns the pressure that a filler image adds for a whole worker's share;
   * kPriorEffect without evidence. */
  double Effect(const std::string& aServingImage,
                const std::string& aFillerImage) const;

  /** Returns the learnt effects on each serving image, as text for a log line.
   */
  std::map<std::string, std::string> Summary() const;

  /** Effect that is assumed without evidence. */
  static constexpr double kPriorEffect = 0.4;

private:
  struct Model
  {
    double baseMs = 0;
    /** Filler images in the order of the coefficients, from 1; 0 is the task's
     * own load. */
    std::map<std::string, std::size_t> columns;
    std::vector<std::vector<double>> normal;
    std::vector<double> right;
    std::vector<double> coefficients;
  };

  std::size_t ColumnOf(Model& aModel, const std::string& aImage);

  std::map<std::string, Model> models;
};

} // namespace sequoiakeel
