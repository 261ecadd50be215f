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

/** Fillers of one image beside a serving task. */
struct FillerLoad
{
  std::string image;
  /** Processor time in use as a share of the worker's. */
  double share = 0;
};

/** Tail latency of the serving tasks of one job on one worker. */
struct InterferenceReading
{
  /** Names the tasks whose load is the same: those of one job on one worker. */
  std::string_view group;
  std::string_view servingImage;
  /** Mean over the tasks of the group. */
  double tailMs = 0;
  /** What works beside them. */
  std::span<const FillerLoad> fillers;
  TimePoint at;
};

/**
 * Learns which fillers disturb which serving tasks from rough and late tail
 * latencies.
 *
 * The tail of a serving task is modelled as base / (1 - load), the response
 * time of a queue, times a factor exp(effect * share) for each filler image
 * beside it, where the effect depends on both images. The effects are a ridge
 * regression of log(tail) for each serving image, with observations that fade.
 *
 * The tasks' own load swings over several seconds and by more than most fillers
 * add. So a reading is compared with the one before it on the same worker, as
 * in a regression with autocorrelated errors (Cochrane and Orcutt, 1949): what
 * changed along with the fillers counts, what was there before does not.
 *
 * Not thread safe.
 */
class FillerInterference
{
public:
  /** Takes in one reading. */
  void Observe(const InterferenceReading& aReading);

  /** Works the observations in and lets older ones fade. To be called about
   * once a second. */
  void Update(TimePoint aNow);

  /** Returns what this object has learnt by itself. */
  InterferenceEvidence Evidence() const;

  /** Takes over what another one has learnt, named by aSource; replaces what
   * that source said before. It counts from the next Update() on. */
  void SetOutsideEvidence(const std::string& aSource,
                          InterferenceEvidence aEvidence);

  /** Returns the share of their processors that tasks of an image use when
   * their tail is aTailMs; 1 without any reading of the image. */
  double Load(const std::string& aServingImage, double aTailMs) const;

  /** Returns by how much log(tail) grows for a whole worker's share of a filler
   * image; kPriorEffect without evidence. */
  double Effect(const std::string& aServingImage,
                const std::string& aFillerImage) const;

  /** Returns the learnt effects on each serving image, as text for a log line.
   */
  std::map<std::string, std::string> Summary() const;

  /** Effect that is assumed without evidence. Effects are near zero for most
   * pairs of images and 2 to 6 for the others. */
  static constexpr double kPriorEffect = 1.3;

  /** A filler with a smaller effect counts as harmless. */
  static constexpr double kHarmlessEffect = 0.8;

private:
  struct Model
  {
    double baseMs = 0;
    /** Filler images in the order of the coefficients, from 1; 0 is the tasks'
     * own load. */
    std::map<std::string, std::size_t> columns;
    std::vector<std::vector<double>> normal;
    std::vector<double> right;
    std::vector<double> coefficients;
  };

  /** The last reading of a group. */
  struct Previous
  {
    TimePoint at;
    double logTail = 0;
    std::vector<FillerLoad> fillers;
  };

  Model& ModelOf(const std::string& aServingImage);
  std::optional<std::size_t> ColumnOf(Model& aModel, const std::string& aImage);
  void Solve(Model& aModel, const std::map<std::string, EffectEvidence>& aMore);
  std::map<std::string, std::map<std::string, EffectEvidence>> Outside() const;

  std::map<std::string, Model> models;
  /** By group. */
  std::map<std::string, Previous> previous;
  std::map<std::string, InterferenceEvidence> outside;
};

} // namespace sequoiakeel
