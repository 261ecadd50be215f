#pragma once

#include "Clock.h"
#include "generated/Workflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Load of the fillers (best-effort tasks) of one image beside a serving task.
 */
struct FillerLoad
{
  std::string image;
  /** Processor time in use, as a share of the worker's processors. */
  double share = 0;
};

/** Tail latency of the serving tasks of one job on one worker. */
struct InterferenceReading
{
  /** Identifies the tasks that share one load: those of one job on one worker.
   */
  std::string_view group;
  std::string_view servingImage;
  /** Mean over the tasks of the group. */
  double tailMs = 0;
  /** Fillers that run beside the tasks of the group. */
  std::span<const FillerLoad> fillers;
  TimePoint at;
};

/**
 * Estimates from coarse and delayed tail latencies how strongly fillers
 * interfere with serving tasks.
 *
 * The tail latency of a serving task is modelled as base / (1 - load), the
 * response time of a queue, times a factor exp(effect * share) for each filler
 * image beside it, where the effect depends on both images. The effects are
 * estimated by ridge regression of log(tail latency) for each serving image;
 * observations decay exponentially.
 *
 * The tasks' own load oscillates over several seconds and by more than most
 * fillers add. Each reading is therefore regressed on its difference from the
 * previous one of the same group, as for autocorrelated errors (Cochrane and
 * Orcutt, 1949). A change of the latency counts as evidence if the fillers
 * changed at the same time; a level that was reached before does not count.
 *
 * Not thread safe.
 */
class FillerInterference
{
public:
  /** Adds a reading to the regression. Estimates change with the next Update().
   */
  void Observe(const InterferenceReading& aReading);

  /** Recomputes the effects, then decays the weight of all observations. To be
   * called about once a second. */
  void Update(TimePoint aNow);

  /** Returns the estimated effect of each filler image on the tail latency of
   * each serving image, each with the amount of evidence as its weight. Only
   * readings passed to Observe() are used, not the evidence of other cells.
   * Effects with too little evidence are omitted. */
  InterferenceEvidence Evidence() const;

  /** Sets the evidence of another cell, identified by aSource; replaces earlier
   * evidence of that source. Takes effect with the next Update(). */
  void SetPeerEvidence(const std::string& aSource,
                       InterferenceEvidence aEvidence);

  /** Returns the share of their processors that tasks of an image use when
   * their tail latency is aTailMs; 1 without any reading of the image. */
  double Load(const std::string& aServingImage, double aTailMs) const;

  /** Returns the increase of log(tail latency) per unit of a filler image's
   * share of the worker; kPriorEffect without evidence. */
  double Effect(const std::string& aServingImage,
                const std::string& aFillerImage) const;

  /** Returns the estimated effects on each serving image, as text for a log
   * line. */
  std::map<std::string, std::string> Summary() const;

  /** Effect assumed without evidence. Effects are near zero for most pairs of
   * images and 2 to 6 for the others. */
  static constexpr double kPriorEffect = 1.3;

  /** Largest effect of a filler that counts as harmless. */
  static constexpr double kHarmlessEffect = 0.8;

private:
  struct Model
  {
    double baseMs = 0;
    /** Index of each filler image among the coefficients, from 1. Index 0 is
     * the coefficient of the tasks' own load. */
    std::map<std::string, std::size_t> columns;
    std::vector<std::vector<double>> normalMatrix;
    std::vector<double> rightSide;
    std::vector<double> coefficients;
  };

  /** The last reading of a group. */
  struct PreviousReading
  {
    TimePoint at;
    double logTail = 0;
    std::vector<FillerLoad> fillers;
  };

  Model& ModelOf(const std::string& aServingImage);
  std::optional<std::size_t> ColumnOf(Model& aModel, const std::string& aImage);
  void Solve(Model& aModel,
             const std::map<std::string, EffectEvidence>& aPeerEffects);
  std::map<std::string, std::map<std::string, EffectEvidence>>
  CombinedPeerEvidence() const;

  std::map<std::string, Model> models;
  /** By group. */
  std::map<std::string, PreviousReading> previous;
  std::map<std::string, InterferenceEvidence> peerEvidence;
};

} // namespace sequoiakeel
