#pragma once

#include "Clock.h"
#include "generated/Workflow.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** What proves that a copy of a start command is not running on a worker. */
struct WorkerEvidence
{
  /** When the worker's last report was requested; unset if there is none. */
  std::optional<TimePoint> reportRequestedAt;
  /** When the last read of the registry began if neither it nor the one before
   * listed the worker, otherwise unset. */
  std::optional<TimePoint> missingAt;
};

/** Workers on which a task may be started without the risk of a second run. */
struct StartRestriction
{
  enum class Kind : std::uint8_t
  {
    AnyWorker,
    /** Only on the worker that may carry out an earlier start. It rejects that
     * start once it has a later run of the task. */
    OneWorker,
    NoWorker,
  };
  Kind kind = Kind::AnyWorker;
  /** Set for OneWorker. */
  std::string worker;
};

/**
 * Start commands that may still be carried out, or may be running, although
 * their sender got no answer. A worker can leave a command unanswered and carry
 * it out later; so can its next incarnations under the same id, which know
 * nothing of earlier runs and fencing tokens. A start is open until no copy of
 * it can be carried out any more and it is certain that none is running. Not
 * thread safe.
 */
class OpenStarts
{
public:
  /** Longest time after which a worker carries out a command that it left
   * unanswered, from the time-out of the command on; 0.1 s cover timers. */
  static constexpr std::chrono::milliseconds kLongestDelay{ 12100 };

  /** Longest time after its decision at which a command can be carried out: a
   * start command is sent for up to 1.5 s, and a command without an answer can
   * arrive up to 12 s after it was sent. */
  static constexpr std::chrono::milliseconds kLongestDelayFromDecision{ 13500 };

  /** Longest time after its decision at which the last copy of a start can be
   * carried out: it is sent within 1.6 s and waits for a connection for up to
   * 0.5 s. */
  static constexpr std::chrono::milliseconds kLongestDelayOfLastCopy{
    2100 + kLongestDelay.count()
  };

  /** An incarnation that is up registers within this time. */
  static constexpr std::chrono::milliseconds kRegistrationTime{ 2000 };

  /** A start that is settled, and why, for the log. */
  struct Settled
  {
    OpenStart start;
    const char* reason = "";
    /** The worker had left an earlier start of the task unanswered as well. */
    bool follows = false;
  };

  /** aLongestLease: longest time for which a run can go on without a renewal,
   * by the local clock. */
  explicit OpenStarts(Duration aLongestLease)
    : longestLease(aLongestLease)
  {
  }

  /** Adds a start of which a copy got no answer, or extends a known one.
   * aClosesAt: time after which the copy can no longer be carried out.
   * aLastCopyClosesAt: the same of the copies that may still be sent; unset if
   * none is. Returns whether the start was not known. */
  bool Add(const OpenStart& aStart,
           TimePoint aClosesAt,
           std::optional<TimePoint> aLastCopyClosesAt = {});

  /** Restores a start that an earlier owner recorded. aCommandsOverAt: time
   * after which no command of earlier owners can be carried out. */
  void Restore(const OpenStart& aStart, TimePoint aCommandsOverAt);

  /** Shortens the wait for restored starts to what is left of it since the
   * roster that names them was written, at aWrittenBefore at the latest. */
  void BoundRestored(TimePoint aWrittenBefore);

  /** Records that another copy of a known start is about to be sent. */
  void NoteRepeated(const std::string& aTask,
                    const std::string& aWorker,
                    std::uint64_t aRun);

  /** Records that a worker carried out a start, so that the start is settled if
   * it was sent only once. */
  void NoteCarriedOut(const std::string& aTask,
                      const std::string& aWorker,
                      std::uint64_t aRun);

  bool Contains(const std::string& aTask,
                const std::string& aWorker,
                std::uint64_t aRun) const;

  /** Returns whether the next owner knows of a start: it is open and named in
   * the durable roster. */
  bool IsRecorded(const std::string& aTask,
                  const std::string& aWorker,
                  std::uint64_t aRun) const;

  /** Returns the time after which no command can be carried out that begins a
   * run of a task's open starts on a worker or extends its lease; unset if no
   * start is open there. */
  std::optional<TimePoint> CommandsOverAt(const std::string& aTask,
                                          const std::string& aWorker) const;

  /** Returns where a task may be started. A further start, like a further copy
   * of one, has to wait until the earlier one is recorded. */
  StartRestriction RestrictionOf(const std::string& aTask) const;

  /** Returns whether a further start of a task may be sent, to the worker that
   * RestrictionOf() names. The next owner must not rely on the closing time of
   * the earlier start then, so that this has to be recorded first. */
  bool BeginFurtherStart(const std::string& aTask);

  /** Records that a further start was answered, so that the earlier one alone
   * is open. */
  void EndFurtherStart(const std::string& aTask, const std::string& aWorker);

  /** Returns whether a start of a task, or of another member of its gang, may
   * be carried out after aNow. Then the end of a run of the task must not be
   * acknowledged: it would stand for good, and a run after it is a second one.
   */
  bool MayBeCarriedOut(const std::string& aTask, TimePoint aNow) const;

  /** Removes the starts that are settled. */
  std::vector<Settled> RemoveSettled(
    TimePoint aNow,
    const std::function<WorkerEvidence(const std::string&)>& aEvidence);

  /** Returns all open starts for a roster that is written at aNow. Unset: for
   * one that names the clocks of the loaded roster, to which the closing times
   * of restored starts then still apply; those of other starts are unknown. */
  std::vector<OpenStart> ToRecord(std::optional<TimePoint> aNow) const;

  /** Returns whether a start is open whose closing time is known only relative
   * to the loaded roster. */
  bool AwaitRosterAge() const;

  /** Records which open starts the durable roster names. */
  void Recorded(std::span<const OpenStart> aStarts);

  /** Returns whether the durable roster lacks a start, or names starts although
   * none is open. */
  bool RecordIsStale() const;

private:
  struct Entry
  {
    OpenStart start;
    TimePoint closesAt;
    TimePoint lastCopyClosesAt;
    /** Time after which no command of earlier owners can be carried out. Until
     * then a late renewal can extend the lease of a run of this start. */
    std::optional<TimePoint> earlierCommandsOverAt;
    /** Time from the write of the loaded roster until the start closes. */
    std::optional<std::chrono::milliseconds> closesAfterRoster;
    /** closesAt is not derived from closesAfterRoster yet. */
    bool awaitsRosterAge = false;
    /** Only one copy was sent. A command is carried out at most once. */
    bool single = true;
    /** Another start of the task was open before, so that the worker may be one
     * that leaves all starts unanswered. */
    bool follows = false;
    bool recorded = false;
  };

  static TimePoint CommandsOverAt(const Entry& aEntry);
  const Entry* Find(const std::string& aTask,
                    const std::string& aWorker,
                    std::uint64_t aRun) const;
  Entry* Find(const std::string& aTask,
              const std::string& aWorker,
              std::uint64_t aRun);
  /** Returns why a start is settled; empty if it is not. Precondition: no copy
   * of it can be carried out any more. */
  const char* SettledBy(const Entry& aEntry,
                        TimePoint aNow,
                        const WorkerEvidence& aEvidence) const;

  Duration longestLease;
  /** By task, so that the members of a gang are adjacent. */
  std::map<std::string, std::vector<Entry>> starts;
  bool recordNamesStarts = false;
};

} // namespace sequoiakeel
