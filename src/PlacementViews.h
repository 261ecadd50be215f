#pragma once

#include "Clock.h"
#include "generated/Resources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** State of a worker according to the evidence from failed tasks. */
enum class QuarantineState : std::uint8_t
{
  Healthy,
  /** Receives one evictable task at a time, to find out whether the worker has
   * recovered. */
  Probation,
  /** Receives no new task. */
  Quarantined,
};

/** Returns the name of a state. Thread safe. */
constexpr std::string_view
ToString(QuarantineState aState)
{
  constexpr std::string_view kTexts[] = { "healthy",
                                          "probation",
                                          "quarantined" };
  return kTexts[static_cast<std::size_t>(aState)];
}

/** A task that holds resources on a worker. */
struct RunningTaskView
{
  std::string task;
  std::string job;
  std::string team;
  std::string taskClass;
  std::string kind;
  /** Resources that the cell's ledger has committed to the task. */
  Resources committed;
  /** Last reported usage; zero until the first report. */
  Resources usage;
  std::int64_t priority = 50;
  bool urgent = false;
  bool latencyCritical = false;
  bool longRunning = false;
  bool evictable = true;
  /** An eviction has begun; the task still holds its resources. */
  bool evicting = false;
  std::optional<TimePoint> deadline;
  TimePoint startedAt;
  /** Declared run time at full speed; zero: unknown. */
  Duration runTime{};
  std::int64_t progressPermille = 0;
  /** Time of the last checkpoint; none: the task has none. */
  std::optional<TimePoint> lastCheckpoint;
  /** Progress saved in the last checkpoint; 1000: complete. */
  std::int64_t checkpointPermille = 0;
  /** Last reported run time relative to running alone; 1000: undisturbed. */
  std::int64_t slowdownPermille = 1000;
  /** Processor share that the task is limited to; 1000: not throttled. */
  std::int64_t throttlePermille = 1000;
  std::int64_t evictions = 0;
};

/** State of a worker as known to its cell. */
struct WorkerView
{
  std::string name;
  std::string zone;
  std::string rack;
  Resources capacity;
  /** Resources that the cell's ledger has committed on the worker, in total. */
  Resources committed;
  /** Last reported usage of the whole worker. */
  Resources observed;
  /** Age of the last report. */
  Duration observedAge{};
  std::vector<RunningTaskView> tasks;
  /** The worker receives no new tasks, and its tasks are to be moved. */
  bool leaving = false;
  /** No report has arrived within the time limit, or the worker's lease can't
   * be renewed. */
  bool unreachable = false;
  QuarantineState quarantine = QuarantineState::Healthy;
};

/** A task that waits for a worker. */
struct TaskView
{
  std::string task;
  std::string job;
  std::string team;
  std::string taskClass;
  std::string kind;
  /** Declared sizes. */
  Resources resources;
  std::int64_t priority = 50;
  bool urgent = false;
  bool latencyCritical = false;
  bool longRunning = false;
  bool evictable = true;
  std::optional<TimePoint> deadline;
  TimePoint queuedSince;
  /** Declared run time at full speed; zero: unknown. */
  Duration runTime{};
  /** Progress of the checkpoint that the task resumes from; 1000: complete. */
  std::int64_t checkpointPermille = 0;
  std::int64_t evictions = 0;
  /** Workers on which an attempt of the task has failed. */
  std::vector<std::string> failedOn;
};

/** The part of a team's quota that is assigned to the cell. */
struct TeamView
{
  std::string team;
  Resources quota;
  Resources committed;
};

/** State of a cell that placement and eviction decisions are based on. */
struct CellView
{
  TimePoint now;
  std::span<const WorkerView> workers;
  /** A team that is not listed is not limited. */
  std::span<const TeamView> teams;
};

/** Returns the sum of two amounts. Thread safe. */
Resources
Sum(const Resources& aLeft, const Resources& aRight);

/** Returns the difference of two amounts; it may be negative. Thread safe. */
Resources
Difference(const Resources& aLeft, const Resources& aRight);

/** Returns the larger of two amounts for each resource. Thread safe. */
Resources
Larger(const Resources& aLeft, const Resources& aRight);

/** Returns whether aPart is within aWhole for every resource. Thread safe. */
bool
Within(const Resources& aPart, const Resources& aWhole);

/** Returns the resources that count as used on a worker: the larger of the
 * total committed by the ledger and the sum over the worker's tasks, where each
 * task counts with the larger of its committed and its reported usage. Thread
 * safe. */
Resources
CountedOn(const WorkerView& aWorker);

/** Returns whether a worker accepts new tasks at all: reachable, not leaving,
 * not quarantined. Thread safe. */
bool
AcceptsTasks(const WorkerView& aWorker);

/** Returns the name of the first resource of which aNeeded exceeds aFree; empty
 * if it fits. Thread safe. */
std::string
LimitingResource(const Resources& aNeeded, const Resources& aFree);

/** Formats an amount for reasons, for example "cpu=500m,memory=2048MB".
 * Thread safe. */
std::string
Format(const Resources& aAmount);

} // namespace sequoiakeel
