#include "CrashAttribution.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace sequoiakeel {

namespace {

/** Crashes after which a task is given up that was the only suspect of the last
 * one. */
constexpr std::size_t kCrashesOfSoleSuspect = 2;

/** The same shortly after a worker crashed without a suspect: workers crash by
 * themselves then, which may hit a task twice by chance. */
constexpr std::size_t kCrashesOfSoleSuspectAmongOthers = 3;

/** How long a crash without a suspect is taken into account. */
constexpr std::chrono::seconds kUnexplainedWindow{ 10 };

/** A lost worker that has not returned in another incarnation by then is
 * considered gone for another reason. Crashed workers are back within seconds.
 */
constexpr std::chrono::seconds kConfirmWindow{ 30 };

/** Losses within this time of each other may have a common cause. The loss of a
 * worker that falls silent is dated to the last request to it, which may be 1 s
 * earlier. */
constexpr std::chrono::milliseconds kCommonCauseWindow{ 1200 };

/** Number of workers of one rack whose losses at the same time are attributed
 * to the rack. */
constexpr std::size_t kRackLosses = 3;

/** The same for workers of any rack: a tenth of the cell, but at least this
 * many. */
constexpr std::size_t kMinCellLosses = 4;
constexpr std::size_t kCellPerLosses = 10;

/** The first request after a broken connection has an answer or has failed by
 * then. */
constexpr std::chrono::milliseconds kRetryDone{ 1000 };

/** How long the cause of a crash may still be found out. */
constexpr std::chrono::seconds kUnresolvedWindow{ 60 };

/** Number of these workers on which no run had just been started. */
constexpr std::size_t kLossesWithoutStart = 2;

} // namespace

bool
CrashAttribution::HasRecentStart(const LostWorker& aLoss)
{
  return std::any_of(
    aLoss.runs.begin(), aLoss.runs.end(), [](const RunAtLoss& aRun) {
      return aRun.age < kProvenAfter;
    });
}

std::vector<SuspectedRun>
CrashAttribution::SuspectsOf(const LostWorker& aLoss)
{
  std::vector<SuspectedRun> suspects;
  for (const RunAtLoss& run : aLoss.runs) {
    if (run.age < kProvenAfter) {
      suspects.push_back(SuspectedRun{ run.task, run.run });
    }
  }
  return suspects;
}

void
CrashAttribution::RecordLoss(LostWorker aLoss)
{
  if (this->losses.contains(aLoss.id)) {
    return;
  }
  this->past.push_back(
    PastLoss{ aLoss.lostAt, aLoss.rack, HasRecentStart(aLoss) });
  for (const SuspectedRun& run : SuspectsOf(aLoss)) {
    this->suspected.insert(run.task);
  }
  std::string id = aLoss.id;
  this->losses.emplace(std::move(id), std::move(aLoss));
}

void
CrashAttribution::Restore(TimePoint aNow,
                          std::span<const UnresponsiveWorker> aWorkers)
{
  for (const UnresponsiveWorker& worker : aWorkers) {
    if (worker.suspects.empty()) {
      continue;
    }
    LostWorker loss;
    loss.id = worker.worker;
    loss.incarnation = worker.incarnation;
    loss.endpoint = Endpoint{ worker.address, worker.port };
    loss.lostAt = aNow;
    loss.approximate = true;
    for (const SuspectedRun& run : worker.suspects) {
      loss.runs.push_back(
        RunAtLoss{ run.task, run.run, Duration::zero(), false });
    }
    this->RecordLoss(std::move(loss));
  }
}

void
CrashAttribution::Remove(const std::string& aWorker)
{
  const auto found = this->losses.find(aWorker);
  if (found == this->losses.end()) {
    return;
  }
  for (const SuspectedRun& run : SuspectsOf(found->second)) {
    this->suspected.erase(this->suspected.find(run.task));
  }
  this->losses.erase(found);
}

void
CrashAttribution::RecordFailedRetry(const std::string& aWorker)
{
  const auto found = this->losses.find(aWorker);
  if (found != this->losses.end()) {
    found->second.lastReportAt.reset();
  }
}

void
CrashAttribution::RecordReturn(const std::string& aWorker)
{
  this->Remove(aWorker);
}

const LostWorker*
CrashAttribution::FindLoss(const std::string& aWorker) const
{
  const auto found = this->losses.find(aWorker);
  return found == this->losses.end() ? nullptr : &found->second;
}

std::vector<std::string>
CrashAttribution::ReplacedBy(const WorkerDescription& aWorker) const
{
  std::vector<std::string> replaced;
  for (const auto& [id, loss] : this->losses) {
    const bool sameService =
      loss.service.empty() || loss.service == aWorker.service;
    if (id != aWorker.id && sameService && loss.endpoint == aWorker.endpoint &&
        loss.incarnation != 0 && aWorker.incarnation > loss.incarnation) {
      replaced.push_back(id);
    }
  }
  return replaced;
}

void
CrashAttribution::CheckDate(TimePoint aNow, LostWorker& aLoss)
{
  // A request that was sent after the crash is on a connection that may break
  // only when the next incarnation is up.
  if (!aLoss.lastReportAt || aNow - aLoss.lostAt >= kRetryDone) {
    return;
  }
  const auto past = std::find_if(
    this->past.begin(), this->past.end(), [&aLoss](const PastLoss& aPast) {
      return aPast.lostAt == aLoss.lostAt && aPast.rack == aLoss.rack &&
             aPast.recentStart == HasRecentStart(aLoss);
    });
  for (const SuspectedRun& run : SuspectsOf(aLoss)) {
    this->suspected.erase(this->suspected.find(run.task));
  }
  aLoss.lostAt = *aLoss.lastReportAt;
  aLoss.lastReportAt.reset();
  aLoss.approximate = true;
  for (RunAtLoss& run : aLoss.runs) {
    run.age = run.ageAtReport;
  }
  for (const SuspectedRun& run : SuspectsOf(aLoss)) {
    this->suspected.insert(run.task);
  }
  if (past != this->past.end()) {
    *past = PastLoss{ aLoss.lostAt, aLoss.rack, HasRecentStart(aLoss) };
  }
}

CrashAttribution::Coincidence
CrashAttribution::CoincidenceOf(const LostWorker& aLoss,
                                std::size_t aWorkers) const
{
  std::size_t inRack = 0;
  std::size_t inCell = 0;
  std::size_t withoutStart = 0;
  for (const PastLoss& other : this->past) {
    const Duration apart = other.lostAt > aLoss.lostAt
                             ? other.lostAt - aLoss.lostAt
                             : aLoss.lostAt - other.lostAt;
    if (apart > kCommonCauseWindow) {
      continue;
    }
    ++inCell;
    inRack += !aLoss.rack.empty() && other.rack == aLoss.rack ? 1 : 0;
    withoutStart += other.recentStart ? 0 : 1;
  }
  if (inRack < kRackLosses &&
      inCell < std::max(kMinCellLosses, aWorkers / kCellPerLosses)) {
    return Coincidence::None;
  }
  return withoutStart >= kLossesWithoutStart ? Coincidence::CommonCause
                                             : Coincidence::Ambiguous;
}

std::optional<WorkerCrash>
CrashAttribution::RecordCrash(TimePoint aNow,
                              const std::string& aWorker,
                              std::size_t aWorkers)
{
  const auto found = this->losses.find(aWorker);
  if (found == this->losses.end()) {
    return std::nullopt;
  }
  this->CheckDate(aNow, found->second);
  const LostWorker* const loss = &found->second;
  WorkerCrash crash;
  crash.runs = loss->runs.size();
  const auto recent = std::count_if(
    loss->runs.begin(), loss->runs.end(), [](const RunAtLoss& aRun) {
      return aRun.age < kProvenAfter;
    });
  const bool isolated = std::any_of(
    loss->runs.begin(), loss->runs.end(), [recent](const RunAtLoss& aRun) {
      return recent == 1 && aRun.suspected && aRun.age < kProvenAfter;
    });
  const Coincidence coincidence =
    isolated ? Coincidence::None : this->CoincidenceOf(*loss, aWorkers);
  const bool commonCause = coincidence == Coincidence::CommonCause;
  if (commonCause || !HasRecentStart(*loss)) {
    this->unexplainedAt = aNow;
  }
  if (!commonCause) {
    crash.suspects = SuspectsOf(*loss);
    for (const RunAtLoss& run : loss->runs) {
      const SuspectedRun row{ run.task, run.run };
      if (std::find(crash.suspects.begin(), crash.suspects.end(), row) ==
          crash.suspects.end()) {
        crash.bystanders.push_back(row);
      } else if (run.unconfirmed) {
        crash.unconfirmed.insert(run.task);
      }
    }
    this->unresolved.push_back(
      PastCrash{ aNow, crash.suspects, crash.bystanders });
  }
  const bool othersCrash =
    this->unexplainedAt && aNow - *this->unexplainedAt < kUnexplainedWindow;
  // Whether a suspect ran at the time of the crash is not certain if its start
  // was not confirmed or the time of the loss is not known.
  const bool uncertain =
    loss->approximate ||
    std::any_of(loss->runs.begin(),
                loss->runs.end(),
                [](const RunAtLoss& aRun) { return aRun.unconfirmed; });
  const bool ambiguous = crash.suspects.size() > 1 || uncertain ||
                         coincidence == Coincidence::Ambiguous;
  crash.crashLimit = ambiguous     ? kMaxCrashes
                     : othersCrash ? kCrashesOfSoleSuspectAmongOthers
                                   : kCrashesOfSoleSuspect;
  this->Remove(aWorker);
  return crash;
}

std::vector<SuspectedRun>
CrashAttribution::RecordCulprit(const std::string& aTask)
{
  std::vector<SuspectedRun> others;
  std::erase_if(this->unresolved, [&](const PastCrash& aCrash) {
    const auto isCulprit = [&](const SuspectedRun& aRun) {
      return aRun.task == aTask;
    };
    const std::vector<SuspectedRun>& probable =
      aCrash.suspects.empty() ? aCrash.bystanders : aCrash.suspects;
    if (std::none_of(probable.begin(), probable.end(), isCulprit)) {
      return false;
    }
    std::copy_if(aCrash.suspects.begin(),
                 aCrash.suspects.end(),
                 std::back_inserter(others),
                 std::not_fn(isCulprit));
    std::copy_if(aCrash.bystanders.begin(),
                 aCrash.bystanders.end(),
                 std::back_inserter(others),
                 std::not_fn(isCulprit));
    return true;
  });
  return others;
}

void
CrashAttribution::RemoveExpired(TimePoint aNow)
{
  while (!this->unresolved.empty() &&
         aNow - this->unresolved.front().at > kUnresolvedWindow) {
    this->unresolved.pop_front();
  }
  std::vector<std::string> expired;
  for (const auto& [id, loss] : this->losses) {
    if (aNow - loss.lostAt > kConfirmWindow) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    this->Remove(id);
  }
  while (!this->past.empty() &&
         aNow - this->past.front().lostAt > kConfirmWindow) {
    this->past.pop_front();
  }
}

} // namespace sequoiakeel
