#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Slowest rate of a worker's clock that the computation of lease expiry allows
 * for, as a fraction of the rate of the local clock. */
constexpr double kSlowestClockRate = 0.98;

/** Longest time-out of a command. A command that waits for a connection to a
 * worker which is down can be carried out until then. */
constexpr std::chrono::milliseconds kLongestCommandTimeout{ 1600 };

/** Covers rounding and the timer granularity of a worker. */
constexpr std::chrono::milliseconds kLeaseMargin{ 100 };

/** An earlier owner that has not noticed the takeover sends commands for this
 * long at most. */
constexpr std::chrono::milliseconds kEarlierOwnerCommands{ 2500 };

/** Time from the first answer of the registry to a new owner after which a
 * worker that is not listed is gone: entries that expired while the store was
 * down are back within about 2 s of its return. */
constexpr std::chrono::milliseconds kRegistryGrace{ 2500 };

/** Returns the time since a command was sent for the log; -1 if none was. */
std::int64_t
MillisecondsSince(TimePoint aNow, std::optional<TimePoint> aSentAt)
{
  return aSentAt ? std::chrono::duration_cast<std::chrono::milliseconds>(
                     aNow - *aSentAt)
                     .count()
                 : -1;
}

} // namespace

std::uint64_t
CellScheduler::FencingToken(const std::string& aWorker) const
{
  const ScheduledWorker* const worker = this->FindWorker(aWorker);
  return worker == nullptr ? 0 : worker->fencingToken;
}

void
CellScheduler::AssignFencingTokens(std::uint64_t aToken)
{
  for (auto& [id, worker] : this->workers) {
    if (!worker.needsFencingToken && !worker.lostSinceToken) {
      continue;
    }
    worker.fencingToken = aToken;
    worker.needsFencingToken = false;
    worker.lostSinceToken = false;
    worker.tokenAssignedAt = this->clock.Now();
    Event("worker_token")
      .Add("worker", id)
      .Add("incarnation", worker.reportedIncarnation)
      .Add("token", aToken);
  }
}

void
CellScheduler::HandleFencingToken(const std::string& aWorker,
                                  std::uint64_t aIncarnation,
                                  std::uint64_t aToken)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker == nullptr || !worker->takesStaleCommands ||
      worker->needsFencingToken ||
      aIncarnation != worker->reportedIncarnation ||
      aToken < worker->fencingToken) {
    return;
  }
  worker->takesStaleCommands = false;
  worker->staleLeasesExpiredBy = this->LongestLeaseExpiresBy(this->clock.Now());
}

std::uint64_t
CellScheduler::LeaseUntil(const std::string& aWorker) const
{
  const ScheduledWorker* const worker = this->FindWorker(aWorker);
  if (worker == nullptr || worker->clockReadingMs == 0 ||
      worker->unresponsive) {
    return 0;
  }
  return worker->ClockAt(this->clock.Now()) +
         static_cast<std::uint64_t>(this->bounds.workerLease.count());
}

void
CellScheduler::NoteLease(const std::string& aWorker,
                         std::uint64_t aUntilWorkerMs)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker == nullptr || worker->clockReadingMs == 0) {
    return;
  }
  if (aUntilWorkerMs > 0) {
    worker->openRenewalAt = this->clock.Now();
  }
  this->ExtendLease(*worker, aUntilWorkerMs);
}

void
CellScheduler::ExtendLease(ScheduledWorker& aWorker,
                           std::uint64_t aUntilWorkerMs)
{
  const TimePoint now = this->clock.Now();
  if (aUntilWorkerMs > 0) {
    aWorker.lastGrantAt = now;
  }
  const std::uint64_t workerNow = aWorker.ClockAt(now);
  const double left =
    aUntilWorkerMs > workerNow
      ? static_cast<double>(aUntilWorkerMs - workerNow) / kSlowestClockRate
      : 0;
  const TimePoint expiredBy =
    now + std::chrono::milliseconds(static_cast<std::int64_t>(left) + 1) +
    kLeaseMargin;
  aWorker.leasesExpiredBy = std::max(aWorker.leasesExpiredBy, expiredBy);
}

TimePoint
CellScheduler::LongestLeaseExpiresBy(TimePoint aGrantedAt) const
{
  const double longest =
    static_cast<double>(this->bounds.longestWorkerLease.count()) /
    kSlowestClockRate;
  return aGrantedAt +
         std::chrono::milliseconds(static_cast<std::int64_t>(longest) + 1) +
         kLeaseMargin;
}

bool
CellScheduler::MayHaveRestarted(const std::string& aWorker,
                                std::uint64_t aIncarnation) const
{
  if (!this->restoredWorkers.contains(aWorker)) {
    return false;
  }
  const auto settled = this->restoredSettled.find(aWorker);
  return settled == this->restoredSettled.end() ||
         settled->second != aIncarnation;
}

TimePoint
CellScheduler::EarlierOwnersLeasesExpiredBy(const std::string& aWorker) const
{
  const ScheduledWorker* const worker = this->FindWorker(aWorker);
  const auto settled = this->restoredSettled.find(aWorker);
  const bool unlisted =
    worker == nullptr && settled != this->restoredSettled.end();
  if (unlisted ||
      !this->MayHaveRestarted(
        aWorker, worker == nullptr ? 0 : worker->description.incarnation)) {
    return this->earlierLeasesExpiredBy;
  }
  // A command of the earlier owner that was meant for an earlier incarnation
  // can have granted the longest lease.
  const auto longer =
    this->bounds.longestWorkerLease - this->bounds.workerLease;
  return this->earlierLeasesExpiredBy + kLongestCommandTimeout +
         longer * 103 / 100;
}

std::map<std::string, std::uint64_t>
CellScheduler::SettledIncarnations() const
{
  std::map<std::string, std::uint64_t> settled;
  const TimePoint now = this->clock.Now();
  for (const auto& [id, worker] : this->workers) {
    if (!worker.reported) {
      const auto known = this->restoredSettled.find(id);
      if (known != this->restoredSettled.end()) {
        settled.insert(*known);
      } else if (!this->MayHaveRestarted(id, worker.description.incarnation)) {
        settled[id] = worker.description.incarnation;
      }
      continue;
    }
    if (!worker.takesStaleCommands && now > worker.staleLeasesExpiredBy) {
      settled[id] = worker.reportedIncarnation;
    }
  }
  return settled;
}

TimePoint
CellScheduler::NoCopyRunsAfter(const std::string& aWorker,
                               const std::string& aTask,
                               const Commitment& aCommitment) const
{
  const TimePoint last =
    aCommitment.allCopiesAnswered
      ? aCommitment.confirmedAt
      : aCommitment.startedAt + OpenStarts::kLongestDelayFromDecision;
  // A start of an earlier run of the task can be open as well.
  const std::optional<TimePoint> over =
    this->openStarts.CommandsOverAt(aTask, aWorker);
  return this->LongestLeaseExpiresBy(std::max(last, over.value_or(last)));
}

void
CellScheduler::AddOpenStart(const std::string& aWorker,
                            const std::string& aTask,
                            const Commitment& aCommitment,
                            TimePoint aClosesAt)
{
  OpenStart start;
  start.task = aTask;
  start.run = aCommitment.run;
  start.worker = aWorker;
  start.gang = aCommitment.step.gang;
  const TimePoint lastCopyClosesAt =
    aCommitment.startedAt + OpenStarts::kLongestDelayOfLastCopy;
  if (!this->openStarts.Add(start, aClosesAt, lastCopyClosesAt)) {
    return;
  }
  const TimePoint now = this->clock.Now();
  Event("start_still_open")
    .Add("task", aTask)
    .Add("run", aCommitment.run)
    .Add("worker", aWorker)
    .Add("age_ms", MillisecondsSince(now, aCommitment.startedAt))
    .Add("closes_in_ms", -MillisecondsSince(now, aClosesAt));
}

void
CellScheduler::RestoreOpenStarts(const WorkerRoster& aRoster)
{
  this->rosterAge.Restore(aRoster.clocks);
  // The earlier owner may have sent commands until it noticed the takeover.
  const TimePoint commandsOverAt = this->createdAt + kEarlierOwnerCommands +
                                   OpenStarts::kLongestDelayFromDecision;
  for (const OpenStart& start : aRoster.openStarts) {
    this->openStarts.Restore(start, commandsOverAt);
    if (const auto known = this->FindTask(start.task)) {
      const std::uint64_t last = start.run + (start.followed ? 1 : 0);
      known->task->run = std::max(known->task->run, last);
    }
    Event("start_still_open")
      .Add("task", start.task)
      .Add("run", start.run)
      .Add("worker", start.worker)
      .Add("age_ms", -1)
      .Add("closes_in_ms",
           -MillisecondsSince(this->clock.Now(), commandsOverAt))
      .Add("closes_after_roster_ms", start.closesInMs)
      .Add("followed", start.followed);
  }
}

void
CellScheduler::UpdateRosterAge(const WorkerClock& aReading)
{
  const TimePoint now = this->clock.Now();
  const bool known = this->rosterAge.WrittenBefore().has_value();
  if (!this->rosterAge.HandleReading(aReading, now)) {
    return;
  }
  const TimePoint writtenBefore = *this->rosterAge.WrittenBefore();
  this->openStarts.BoundRestored(writtenBefore);
  if (known) {
    return;
  }
  Event("roster_age")
    .Add("age_ms", MillisecondsSince(now, writtenBefore))
    .Add("worker", aReading.worker)
    .Add("takeover_ms", MillisecondsSince(now, this->createdAt));
}

WorkerEvidence
CellScheduler::EvidenceAbout(const std::string& aWorker) const
{
  const ScheduledWorker* const worker = this->FindWorker(aWorker);
  WorkerEvidence evidence;
  if (worker != nullptr && worker->reported) {
    evidence.reportRequestedAt = worker->clockRequestedAt;
  }
  // The entry of a worker that is up can be unreadable for a short time, and is
  // missing for longer after an outage of the store.
  const bool missing =
    worker == nullptr || (!worker->listed && !worker->listedBefore);
  if (missing && this->firstRegistryReadAt &&
      this->registryReadAt >= *this->firstRegistryReadAt + kRegistryGrace) {
    evidence.missingAt = this->registryReadAt;
  }
  return evidence;
}

void
CellScheduler::RemoveSettledStarts()
{
  const TimePoint now = this->clock.Now();
  const auto settled =
    this->openStarts.RemoveSettled(now, [this](const std::string& aWorker) {
      return this->EvidenceAbout(aWorker);
    });
  for (const OpenStarts::Settled& one : settled) {
    Event("start_settled")
      .Add("task", one.start.task)
      .Add("run", one.start.run)
      .Add("worker", one.start.worker)
      .Add("reason", one.reason);
    ScheduledWorker* const worker = this->Worker(one.start.worker);
    if (worker != nullptr && one.follows) {
      // It left two starts unanswered, so another worker is tried next.
      worker->backoffUntil = now + ScheduledWorker::kStartRejectedBackoff;
    }
  }
  for (auto& [id, worker] : this->workers) {
    std::erase_if(worker.endsToKeep, [&](const auto& aItem) {
      return !this->openStarts.MayBeCarriedOut(aItem.second, now);
    });
  }
}

std::optional<TimePoint>
CellScheduler::LastOpenGrant(const ScheduledWorker& aWorker) const
{
  std::optional<TimePoint> last =
    std::max(aWorker.openRenewalAt, aWorker.unansweredGrantAt);
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.held && commitment.confirmedAt == TimePoint()) {
      last = std::max(last, std::optional(commitment.startedAt));
    }
  }
  return last;
}

bool
CellScheduler::HasCommandsInFlight(const ScheduledWorker& aWorker) const
{
  const std::optional<TimePoint> open = this->LastOpenGrant(aWorker);
  return open &&
         this->clock.Now() <= *open + OpenStarts::kLongestDelayFromDecision;
}

void
CellScheduler::BoundStaleLeases(ScheduledWorker& aWorker) const
{
  // Renewals of an unresponsive worker grant no lease, so a token that was
  // assigned after the last grant is newer than every stale command.
  aWorker.needsFencingToken =
    !aWorker.tokenAssignedAt || aWorker.lastGrantAt >= aWorker.tokenAssignedAt;
  aWorker.takesStaleCommands = true;
  aWorker.staleGrantAt = aWorker.lastGrantAt;
  if (!aWorker.lastGrantAt) {
    return;
  }
  // The end of the lease that such a command names is a time of the earlier
  // incarnation's clock. On the new clock it can lie beyond the longest lease,
  // which the worker then grants when the command arrives.
  const TimePoint now = this->clock.Now();
  const std::optional<TimePoint> open = this->LastOpenGrant(aWorker);
  aWorker.staleLeasesExpiredBy = this->LongestLeaseExpiresBy(
    open ? std::max(now, *open + OpenStarts::kLongestDelayFromDecision) : now);
}

void
CellScheduler::CheckClock(ScheduledWorker& aWorker,
                          TimePoint aSentAt,
                          std::uint64_t aReadingMs)
{
  if (aReadingMs == 0 || aWorker.clockReadingMs == 0) {
    return;
  }
  const auto milliseconds = [](Duration aTime) {
    return std::chrono::duration<double, std::milli>(aTime).count();
  };
  const auto known = static_cast<double>(aWorker.clockReadingMs);
  const auto reading = static_cast<double>(aReadingMs);
  const double margin = milliseconds(kLeaseMargin);
  const double earliest =
    known + kSlowestClockRate * milliseconds(aSentAt - aWorker.clockReadAt);
  const double latest =
    known + milliseconds(this->clock.Now() - aWorker.clockRequestedAt);
  if (reading >= earliest - margin && reading <= latest + margin) {
    return;
  }
  Event("worker_clock_differs", LogLevel::Warning)
    .Add("worker", aWorker.description.id)
    .Add("incarnation", aWorker.reportedIncarnation)
    .Add("clock_ms", aReadingMs)
    .Add("earliest_ms", earliest)
    .Add("latest_ms", latest);
  this->BoundStaleLeases(aWorker);
  aWorker.clockReadingMs = 0;
}

void
CellScheduler::ExpireLeases()
{
  const TimePoint now = this->clock.Now();
  this->RemoveSettledStarts();
  for (auto& [id, worker] : this->workers) {
    if (now <= worker.AllLeasesExpiredBy()) {
      continue;
    }
    const std::size_t runs = this->RunsThatMayBeLost(worker).size();
    if (runs == 0) {
      continue;
    }
    Event("leases_expired")
      .Add("worker", id)
      .Add("incarnation", worker.reportedIncarnation)
      .Add("runs", static_cast<std::uint64_t>(runs))
      .Add("report_age_ms", MillisecondsSince(now, worker.lastReportAt))
      .Add("grant_age_ms", MillisecondsSince(now, worker.lastGrantAt))
      .Add("earlier_grant_age_ms", MillisecondsSince(now, worker.staleGrantAt));
    this->MarkAllRunsLost(worker, "lease expired");
  }
  this->CheckRecovered();
}

} // namespace sequoiakeel
