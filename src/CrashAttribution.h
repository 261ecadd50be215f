#pragma once

#include "Clock.h"
#include "WorkerReport.h"
#include "generated/Settings.h"
#include "generated/Workflow.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A run that was on a worker when contact with the worker was lost. */
struct RunAtLoss
{
  std::string task;
  std::uint64_t run = 0;
  /** Time between the confirmed start of the run and the loss; zero if the
   * start was not confirmed. */
  Duration age{};
  /** The task is suspected of an earlier crash. */
  bool suspected = false;
  /** The start was not confirmed, so the run may never have begun. */
  bool unconfirmed = false;
  /** Time between the confirmed start and the worker's last report; zero if the
   * report came first. Used if the time of the loss turns out to be wrong. */
  Duration ageAtReport{};
};

/** A worker with which contact was lost. */
struct LostWorker
{
  std::string id;
  std::uint64_t incarnation = 0;
  /** Empty if it is not known. */
  std::string service;
  Endpoint endpoint;
  std::string rack;
  TimePoint lostAt;
  /** The worker may have been up for some time after lostAt. */
  bool approximate = false;
  /** The worker's last report. Set if lostAt is when a connection broke, until
   * a later request shows that the worker is down. */
  std::optional<TimePoint> lastReportAt;
  std::vector<RunAtLoss> runs;
};

/** A confirmed crash of a worker and its probable cause. */
struct WorkerCrash
{
  /** Runs that probably caused the crash. Empty if none had just been started,
   * or if something else caused it, such as the loss of a rack. */
  std::vector<SuspectedRun> suspects;
  /** Tasks of those suspects whose start was not confirmed. */
  std::set<std::string> unconfirmed;
  /** The other runs that were on the worker; empty if something else caused the
   * crash. */
  std::vector<SuspectedRun> bystanders;
  /** Number of runs that were on the worker. */
  std::size_t runs = 0;
  /** Number of times that any of the suspects has to be suspected, with a
   * confirmed start, to be given up because of this crash. */
  std::size_t crashLimit = 0;
};

/**
 * Determines which run probably crashed a worker. A worker counts as crashed
 * only if another incarnation has taken its place; one that is silent, cut off
 * or draining does not.
 *
 * A task that crashes its worker usually does so soon after its start, so the
 * runs that had just been started are suspected. Tasks that are suspected are
 * started again beside runs that have been up for a while, and nothing else is
 * started on that worker meanwhile, so that the next crash has a single
 * suspect. Not thread safe.
 */
class CrashAttribution
{
public:
  /** A run that has been up for this long after its start is not suspected of a
   * crash. */
  static constexpr std::chrono::milliseconds kProvenAfter{ 500 };

  /** A suspected task that has been up for this long is not suspected any more.
   */
  static constexpr std::chrono::seconds kAcquittedAfter{ 10 };

  /** Crashes after which a task is given up although other tasks were suspected
   * of the same crashes, or only other ones, or its starts were not confirmed.
   * A task that crashes its workers must not be started more than twice after
   * three of them have crashed. */
  static constexpr std::size_t kMaxCrashes = 4;

  /** Records that contact with a worker was lost. Does nothing if the loss is
   * recorded already. */
  void RecordLoss(LostWorker aLoss);

  /** Records the workers of a roster that an earlier owner had lost. */
  void Restore(TimePoint aNow, std::span<const UnresponsiveWorker> aWorkers);

  /** Records that a later request to a lost worker had no answer, so the worker
   * did not come back as its connection broke. */
  void RecordFailedRetry(const std::string& aWorker);

  /** Records that a worker is up in the incarnation in which it was lost. */
  void RecordReturn(const std::string& aWorker);

  /** Returns the loss of a worker, or null. The pointer is valid until the next
   * call of a non-const method. */
  const LostWorker* FindLoss(const std::string& aWorker) const;

  /** Returns the lost workers in whose place aWorker is: it is a later
   * incarnation at the same endpoint under another id. */
  std::vector<std::string> ReplacedBy(const WorkerDescription& aWorker) const;

  /** Removes the loss of a worker that is known to have crashed and returns its
   * probable cause; empty if no loss is recorded. aWorkers: number of workers
   * in the cell. */
  std::optional<WorkerCrash> RecordCrash(TimePoint aNow,
                                         const std::string& aWorker,
                                         std::size_t aWorkers);

  /** Records that a task was given up. Returns the runs of other tasks in the
   * recent crashes that it was suspected of, since it is their cause. */
  std::vector<SuspectedRun> RecordCulprit(const std::string& aTask);

  /** Removes losses that are too old to be confirmed as crashes, and crashes
   * that are too old to be explained. */
  void RemoveExpired(TimePoint aNow);

  /** Returns all losses that are not confirmed as crashes, by worker. */
  const std::map<std::string, LostWorker>& Losses() const
  {
    return this->losses;
  }

  /** Returns whether any task was on a worker that is lost and may be found to
   * have crashed it. */
  bool HasSuspects() const { return !this->suspected.empty(); }

  /** Returns whether HasSuspects() holds for this task. */
  bool MayHaveCrashedWorker(const std::string& aTask) const
  {
    return this->suspected.contains(aTask);
  }

  /** Returns the runs that would be suspected if the worker of a loss turned
   * out to have crashed. */
  static std::vector<SuspectedRun> SuspectsOf(const LostWorker& aLoss);

  /** Returns whether a run had just been started on a worker when it was lost.
   */
  static bool HasRecentStart(const LostWorker& aLoss);

private:
  struct PastLoss
  {
    TimePoint lostAt;
    std::string rack;
    /** A run had just been started on the worker. */
    bool recentStart = false;
  };

  struct PastCrash
  {
    TimePoint at;
    std::vector<SuspectedRun> suspects;
    std::vector<SuspectedRun> bystanders;
  };

  /** What the losses of other workers at the same time say about a loss. */
  enum class Coincidence : std::uint8_t
  {
    /** Too few workers were lost. */
    None,
    /** Several tasks that crash their workers may have been started at the same
     * time, or the workers may have failed together. */
    Ambiguous,
    /** The workers failed together, since on some of them no run had just been
     * started. */
    CommonCause,
  };

  /** Dates a loss by the last report if the connection may have broken only
   * when the next incarnation was up. */
  void CheckDate(TimePoint aNow, LostWorker& aLoss);

  Coincidence CoincidenceOf(const LostWorker& aLoss,
                            std::size_t aWorkers) const;
  void Remove(const std::string& aWorker);

  /** Losses that are not confirmed as crashes, by worker. */
  std::map<std::string, LostWorker> losses;
  /** Suspects of the losses. */
  std::multiset<std::string> suspected;
  /** Recent losses, also of workers that have returned or crashed since. */
  std::deque<PastLoss> past;
  /** Recent crashes whose cause is not known. */
  std::deque<PastCrash> unresolved;
  /** When a worker last crashed for which no single run can be the cause. */
  std::optional<TimePoint> unexplainedAt;
};

} // namespace sequoiakeel
