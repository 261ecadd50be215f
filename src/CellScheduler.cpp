#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>
#include <utility>

namespace sequoiakeel {

namespace {

/** Returns the kind of a step's tasks, for the log. */
const char*
KindOf(const WorkflowStep& aStep)
{
  if (aStep.longRunning) {
    return "long_running";
  }
  return aStep.filler ? "filler" : "short";
}

} // namespace

CellScheduler::CellScheduler(SchedulerTimings aBounds,
                             SchedulerPolicies aPolicies,
                             const Clock& aClock,
                             const WallClock& aWallClock,
                             TimePoint aEarlierLeasesExpiredBy)
  : bounds(aBounds)
  , policies(aPolicies)
  , clock(aClock)
  , wallClock(aWallClock)
  , earlierLeasesExpiredBy(aEarlierLeasesExpiredBy)
  , createdAt(aClock.Now())
  , openStarts(this->LongestLeaseExpiresBy(TimePoint()) - TimePoint())
  , closedZones(aBounds.zoneClose, SchedulerTimings::kLongestStart)
  , registryFreshness(aBounds.longestRegistryAge)
{
}

void
CellScheduler::AddJob(WorkflowSubmission aSubmission, bool aFromEarlierOwner)
{
  const std::string id = aSubmission.id;
  this->jobs.emplace(
    id,
    Entry{ WorkflowJob(std::move(aSubmission), this->clock.Now()),
           aFromEarlierOwner });
}

void
CellScheduler::Restore(WorkflowSubmission aSubmission,
                       const WorkflowProgress& aProgress)
{
  const std::string id = aSubmission.id;
  if (this->jobs.contains(id) || this->ended.contains(id)) {
    return;
  }
  this->AddJob(std::move(aSubmission), true);
  Entry& entry = this->jobs.at(id);
  entry.job.Restore(aProgress, this->clock.Now());
  if (entry.job.AllDone()) {
    this->EndJob(id, WorkflowState::Completed, "restored");
    return;
  }
  if (entry.job.AttemptsExhausted() ||
      (entry.job.MostCrashes() >= CrashAttribution::kMaxCrashes &&
       !entry.job.IsPart())) {
    this->EndJob(id, WorkflowState::Failed, "restored");
    return;
  }
  for (const TaskAssignment& assignment : aProgress.assignments) {
    if (!assignment.worker.empty()) {
      this->restoredAssignments[assignment.worker].push_back(TaskName{
        id, assignment.occurrence, assignment.step, assignment.index });
    }
  }
}

void
CellScheduler::RestoreEnded(const WorkflowProgress& aProgress)
{
  this->ended[aProgress.id] = EndedJob{ aProgress, true };
}

void
CellScheduler::SetRoster(const WorkerRoster& aRoster)
{
  this->RosterWritten(aRoster);
  this->awaitedWorkers = this->roster;
  this->restoredWorkers = this->roster;
  this->restoredWorkers.insert(this->rosterUnresponsive.begin(),
                               this->rosterUnresponsive.end());
  this->restoredSettled = this->rosterSettled;
  this->restoredRecorded = aRoster.assignmentsRecorded;
  this->assignmentsRecorded = aRoster.assignmentsRecorded;
  for (const UnresponsiveWorker& silent : aRoster.silent) {
    this->tasksOnUnresponsive[silent.worker] = { silent.tasks.begin(),
                                                 silent.tasks.end() };
  }
  this->RestoreLosses(aRoster);
  this->RestoreOpenStarts(aRoster);
  this->CheckRecovered();
}

bool
CellScheduler::Accept(WorkflowSubmission aSubmission)
{
  const std::string id = aSubmission.id;
  if (Entry* const known = this->FindJob(id)) {
    known->job.AddTasks(known->job.IsPart() ? aSubmission.part
                                            : aSubmission.returned,
                        this->clock.Now());
    if (known->job.MostCrashes() >= CrashAttribution::kMaxCrashes &&
        !known->job.IsPart()) {
      this->EndJob(id, WorkflowState::Failed, "a task crashes its workers");
    }
    return false;
  }
  if (this->ended.contains(id)) {
    return false;
  }
  std::uint64_t tasks = 0;
  for (const WorkflowStep& step : aSubmission.steps) {
    tasks += step.count;
  }
  Event("job_accepted")
    .Add("job", id)
    .Add("queue", aSubmission.queue)
    .Add("kind", KindOf(aSubmission.steps.front()))
    .Add("steps", static_cast<std::uint64_t>(aSubmission.steps.size()))
    .Add("tasks", tasks)
    .Add("handed_over", static_cast<std::uint64_t>(aSubmission.part.size()))
    .Add("age_ms", this->wallClock.UnixMs() - aSubmission.acceptedUnixMs);
  this->AddJob(std::move(aSubmission), false);
  return true;
}

bool
CellScheduler::Cancel(const std::string& aJob)
{
  if (!this->jobs.contains(aJob)) {
    return false;
  }
  this->EndJob(aJob, WorkflowState::Cancelled, "cancelled");
  return true;
}

void
CellScheduler::EndJob(const std::string& aJob,
                      WorkflowState aState,
                      const char* aWhy)
{
  const auto found = this->jobs.find(aJob);
  EndedJob end;
  end.progress = found->second.job.Progress(aState);
  // Only the state of an ended job can be queried; its task progress is not
  // needed any more.
  end.progress.steps.clear();
  end.progress.failures.clear();
  end.progress.crashes.clear();
  end.progress.handedOver.clear();
  end.progress.assignments.clear();
  end.progress.endedUnixMs = this->wallClock.UnixMs();
  const std::uint64_t age =
    end.progress.endedUnixMs - found->second.job.Submission().acceptedUnixMs;
  Event("job_ended")
    .Add("job", aJob)
    .Add("state", ToString(aState))
    .Add("why", aWhy)
    .Add("age_ms", age)
    .Add("objective_ms",
         found->second.job.ObjectiveUnixMs() -
           static_cast<double>(found->second.job.Submission().acceptedUnixMs));
  this->policies.observer.JobEnded(aState, std::chrono::milliseconds(age));
  const std::string prefix = aJob + ".";
  for (auto& [id, worker] : this->workers) {
    std::vector<std::string> runs;
    for (const auto& [task, commitment] : worker.Commitments()) {
      if (task.starts_with(prefix)) {
        runs.push_back(task);
      }
    }
    for (const std::string& task : runs) {
      this->StopRun(worker, task, aWhy);
    }
  }
  this->jobs.erase(found);
  this->ended[aJob] = std::move(end);
  this->dirty.erase(aJob);
  this->MarkDirty(aJob);
  ++this->dirtyEndedJobs;
}

void
CellScheduler::StopRun(ScheduledWorker& aWorker,
                       const std::string& aTask,
                       const char* aReason)
{
  Commitment* const commitment = aWorker.Find(aTask);
  if (commitment == nullptr || commitment->phase == CommitmentPhase::Stopping) {
    return;
  }
  if (commitment->held) {
    this->CancelHeldStart(aWorker, aTask, aReason);
    return;
  }
  aWorker.MarkStopping(aTask);
  commitment->stopSentAt = TimePoint();
  Event("task_stop")
    .Add("task", aTask)
    .Add("run", commitment->run)
    .Add("worker", aWorker.description.id)
    .Add("reason", aReason);
}

void
CellScheduler::UpdateWorkers(std::span<const WorkerDescription> aWorkers,
                             std::optional<TimePoint> aReadAt)
{
  this->registryReadAt = aReadAt.value_or(this->clock.Now());
  this->firstRegistryReadAt =
    this->firstRegistryReadAt.value_or(this->registryReadAt);
  this->registryFreshness.Renew(this->registryReadAt);
  for (auto& [id, worker] : this->workers) {
    worker.listedBefore = std::exchange(worker.listed, false);
  }
  for (const WorkerDescription& description : aWorkers) {
    const auto found = this->workers.find(description.id);
    if (found == this->workers.end()) {
      ScheduledWorker worker;
      worker.description = description;
      worker.drainingSince = this->clock.Now();
      // The worker rejects lower tokens, and the owner would take its cell for
      // lost.
      if (const auto dropped = this->droppedTokens.find(description.id);
          dropped != this->droppedTokens.end()) {
        worker.fencingToken = dropped->second;
        this->droppedTokens.erase(dropped);
      }
      const auto added =
        this->workers.emplace(description.id, std::move(worker)).first;
      added->second.leasesExpiredBy =
        this->EarlierOwnersLeasesExpiredBy(description.id);
      Event("worker_listed")
        .Add("worker", description.id)
        .Add("rack", description.rack)
        .Add("cpu_milli", description.capacity.cpuMilli)
        .Add("draining", description.draining);
      continue;
    }
    ScheduledWorker& worker = found->second;
    worker.listed = true;
    if (worker.description.draining != description.draining) {
      Event("worker_draining")
        .Add("worker", description.id)
        .Add("draining", description.draining);
      worker.drainingSince = this->clock.Now();
    }
    if (worker.description.capacity != description.capacity) {
      this->HandleResize(worker, description.capacity);
    }
    if (worker.reported &&
        description.incarnation > worker.reportedIncarnation) {
      // Whether the previous incarnation drained is in its description.
      this->BeginIncarnation(worker, description.incarnation);
    }
    worker.description = description;
    if (!worker.reported) {
      worker.leasesExpiredBy =
        std::max(worker.leasesExpiredBy,
                 this->EarlierOwnersLeasesExpiredBy(description.id));
    }
  }
  for (const WorkerDescription& description : aWorkers) {
    const LostWorker* const loss = this->crashes.FindLoss(description.id);
    if (loss != nullptr && description.draining &&
        description.incarnation <= loss->incarnation) {
      // The worker is up, and its end is planned.
      this->crashes.RecordReturn(description.id);
    }
    for (const std::string& crashed : this->crashes.ReplacedBy(description)) {
      this->HandleCrash(crashed, "replaced at its address");
    }
  }
  this->crashes.RemoveExpired(this->clock.Now());
  this->RemoveUnlistedWorkers();
  this->quarantine.SetFleetSize(this->workers.size());
}

void
CellScheduler::UpdateClosedZones(std::set<std::string> aZones,
                                 TimePoint aReadAt)
{
  const ZoneChanges changes =
    this->closedZones.Update(std::move(aZones), aReadAt);
  this->ApplyClosedZones();
  const auto log = [&](const std::string& aZone, bool aClosed) {
    std::uint64_t workersIn = 0;
    std::uint64_t runs = 0;
    for (const auto& [id, worker] : this->workers) {
      if (worker.description.zone == aZone) {
        ++workersIn;
        runs += worker.Commitments().size();
      }
    }
    // A zone without workers may be a typing error of the operator.
    Event(aClosed ? "zone_closed" : "zone_opened",
          workersIn == 0 ? LogLevel::Warning : LogLevel::Info)
      .Add("zone", aZone)
      .Add("workers", workersIn)
      .Add("runs", runs)
      .Add("read_ms",
           static_cast<std::int64_t>(
             std::chrono::duration_cast<std::chrono::milliseconds>(
               this->clock.Now() - aReadAt)
               .count()));
  };
  for (const std::string& zone : changes.closed) {
    log(zone, true);
  }
  for (const std::string& zone : changes.opened) {
    log(zone, false);
  }
  this->policies.observer.ZonesClosed(this->closedZones.Zones().size());
}

void
CellScheduler::ApplyClosedZones()
{
  const TimePoint now = this->clock.Now();
  for (auto& [id, worker] : this->workers) {
    worker.zoneTakesStarts =
      this->closedZones.MayStart(worker.description.zone, now);
  }
}

void
CellScheduler::HandleResize(ScheduledWorker& aWorker,
                            const WorkerCapacity& aCapacity)
{
  const std::string& id = aWorker.description.id;
  const WorkerCapacity& before = aWorker.description.capacity;
  Event("worker_resized")
    .Add("worker", id)
    .Add("from_cpu_milli", before.cpuMilli)
    .Add("cpu_milli", aCapacity.cpuMilli)
    .Add("from_memory_mb", before.memoryMb)
    .Add("memory_mb", aCapacity.memoryMb)
    .Add("committed_cpu_milli", aWorker.Committed().cpuMilli)
    .Add("committed_memory_mb", aWorker.Committed().memoryMb);
  aWorker.fillerSpare.reset();
  std::erase_if(this->reservations,
                [&id](const auto& aItem) { return aItem.second.worker == id; });
}

void
CellScheduler::RemoveUnlistedWorkers()
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->workers, [&](const auto& aItem) {
    const ScheduledWorker& worker = aItem.second;
    const bool idle =
      worker.Commitments().empty() && now > worker.AllLeasesExpiredBy();
    // A worker that is listed again has to be known as restarted, since it
    // would carry out the commands that were meant for its earlier incarnation.
    if (worker.listed || worker.listedBefore || !idle ||
        this->HasCommandsInFlight(worker)) {
      return false;
    }
    Event("worker_dropped").Add("worker", aItem.first);
    if (worker.fencingToken > 0) {
      this->droppedTokens[aItem.first] = worker.fencingToken;
    }
    return true;
  });
}

bool
CellScheduler::RosterIsStale() const
{
  for (const auto& [id, worker] : this->workers) {
    // The revision of the write is the new token.
    if (worker.needsFencingToken) {
      return true;
    }
  }
  if (this->SettledIncarnations() != this->rosterSettled ||
      this->openStarts.RecordIsStale()) {
    return true;
  }
  const WorkerRoster wanted = this->RosterToWrite();
  if (wanted.workers.size() != this->roster.size() ||
      wanted.silent.size() != this->rosterUnresponsive.size() ||
      wanted.assignmentsRecorded != this->rosterRecorded) {
    return true;
  }
  for (const std::string& id : wanted.workers) {
    if (!this->roster.contains(id)) {
      return true;
    }
  }
  for (const UnresponsiveWorker& silent : wanted.silent) {
    const auto written = this->rosterSuspects.find(silent.worker);
    if (written == this->rosterSuspects.end() ||
        written->second != silent.suspects) {
      return true;
    }
  }
  return false;
}

WorkerRoster
CellScheduler::RosterToWrite() const
{
  WorkerRoster result;
  std::set<std::string> ids = this->awaitedWorkers;
  for (const auto& [id, worker] : this->workers) {
    const bool awaited = ids.contains(id) || this->AwaitsUnresponsive(id);
    if (awaited || !worker.unresponsive) {
      continue;
    }
    UnresponsiveWorker silent;
    silent.worker = id;
    for (const auto& [task, commitment] : worker.Commitments()) {
      silent.tasks.push_back(task);
    }
    // The worker holds these ends and reports them to the next owner.
    for (const auto& [task, change] : worker.endsToRecord) {
      if (change > this->durableChange &&
          !worker.Commitments().contains(task)) {
        silent.tasks.push_back(task);
      }
    }
    result.silent.push_back(std::move(silent));
  }
  for (const auto& [id, tasks] : this->tasksOnUnresponsive) {
    UnresponsiveWorker silent;
    silent.worker = id;
    silent.tasks = { tasks.begin(), tasks.end() };
    result.silent.push_back(std::move(silent));
  }
  this->AddLosses(result.silent);
  for (const auto& [id, worker] : this->workers) {
    if (!worker.unresponsive && !this->AwaitsUnresponsive(id)) {
      ids.insert(id);
    }
  }
  result.workers = { ids.begin(), ids.end() };
  for (const auto& [id, incarnation] : this->SettledIncarnations()) {
    result.settled.push_back(WorkerIncarnation{ id, incarnation });
  }
  if (this->openStarts.AwaitRosterAge()) {
    // What the loaded roster says must not be lost if the owner changes again.
    result.openStarts = this->openStarts.ToRecord(std::nullopt);
    result.clocks = this->rosterAge.Loaded();
  } else {
    const TimePoint now = this->clock.Now();
    result.openStarts = this->openStarts.ToRecord(now);
    if (!result.openStarts.empty()) {
      result.clocks = RosterAge::ReadClocks(this->workers, now);
    }
  }
  result.assignmentsRecorded = this->assignmentsRecorded;
  return result;
}

void
CellScheduler::BeginRosterWrite(const WorkerRoster& aRoster)
{
  const std::set<std::string> named(aRoster.workers.begin(),
                                    aRoster.workers.end());
  std::erase_if(this->roster, [&named](const std::string& aWorker) {
    return !named.contains(aWorker);
  });
}

void
CellScheduler::RosterWritten(const WorkerRoster& aRoster)
{
  this->roster = { aRoster.workers.begin(), aRoster.workers.end() };
  this->rosterRecorded = aRoster.assignmentsRecorded;
  this->rosterSettled.clear();
  for (const WorkerIncarnation& settled : aRoster.settled) {
    this->rosterSettled[settled.worker] = settled.incarnation;
  }
  this->openStarts.Recorded(aRoster.openStarts);
  this->rosterUnresponsive.clear();
  this->rosterSuspects.clear();
  for (const UnresponsiveWorker& silent : aRoster.silent) {
    this->rosterUnresponsive.insert(silent.worker);
    this->rosterSuspects[silent.worker] = silent.suspects;
  }
}

bool
CellScheduler::MayRunOnUnresponsive(const std::string& aTask) const
{
  for (const auto& [worker, tasks] : this->tasksOnUnresponsive) {
    if (tasks.contains(aTask)) {
      return true;
    }
  }
  return false;
}

std::vector<std::string>
CellScheduler::WorkersToRenew() const
{
  std::vector<std::string> result;
  for (const auto& [id, worker] : this->workers) {
    if (worker.listed || !worker.Commitments().empty()) {
      result.push_back(id);
    }
  }
  return result;
}

const ScheduledWorker*
CellScheduler::FindWorker(const std::string& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  return found == this->workers.end() ? nullptr : &found->second;
}

ScheduledWorker*
CellScheduler::Worker(const std::string& aWorker)
{
  const auto found = this->workers.find(aWorker);
  return found == this->workers.end() ? nullptr : &found->second;
}

CellScheduler::Entry*
CellScheduler::FindJob(const std::string& aJob)
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

void
CellScheduler::CheckRecovered()
{
  const TimePoint now = this->clock.Now();
  const auto expired = [&](const std::string& aWorker) {
    return now > this->EarlierOwnersLeasesExpiredBy(aWorker);
  };
  std::erase_if(this->tasksOnUnresponsive,
                [&](const auto& aItem) { return expired(aItem.first); });
  this->silentSinceTakeover += std::erase_if(this->awaitedWorkers, expired);
  if (!this->recovered && this->awaitedWorkers.empty()) {
    this->recovered = true;
    Event("cell_recovered")
      .Add("jobs", static_cast<std::uint64_t>(this->jobs.size()))
      .Add("silent_workers",
           static_cast<std::uint64_t>(this->silentSinceTakeover));
  }
  this->ResolveRestoredAssignments();
  this->CheckAssignmentsRecorded();
}

void
CellScheduler::MarkDirty(const std::string& aJob)
{
  ++this->change;
  this->dirty.insert(aJob);
}

ProgressBatch
CellScheduler::TakeProgress()
{
  ProgressBatch batch;
  batch.change = this->change;
  for (const std::string& id : this->dirty) {
    ProgressRecord record;
    if (const Entry* const entry = this->FindJob(id)) {
      record.progress = entry->job.Progress(WorkflowState::Running);
    } else {
      record.progress = this->ended.at(id).progress;
      record.final = true;
    }
    batch.records.push_back(std::move(record));
  }
  this->dirty.clear();
  this->dirtyEndedJobs = 0;
  return batch;
}

void
CellScheduler::ProgressWritten(const ProgressRecord& aRecord)
{
  const auto found = this->ended.find(aRecord.progress.id);
  if (aRecord.final && found != this->ended.end()) {
    found->second.durable = true;
  }
}

void
CellScheduler::ProgressNotWritten(const ProgressRecord& aRecord)
{
  const bool added = this->dirty.insert(aRecord.progress.id).second;
  if (added && !this->jobs.contains(aRecord.progress.id)) {
    ++this->dirtyEndedJobs;
  }
}

void
CellScheduler::BatchWritten(std::uint64_t aChange)
{
  this->durableChange = std::max(this->durableChange, aChange);
  this->CheckAssignmentsRecorded();
  for (auto& [id, worker] : this->workers) {
    std::erase_if(worker.endsToRecord, [aChange](const auto& aItem) {
      return aItem.second <= aChange;
    });
    if (worker.handledEndsChange <= aChange) {
      worker.durableEnds = worker.handledEnds;
    }
  }
}

WorkflowState
CellScheduler::StateOf(const std::string& aJob) const
{
  if (const auto job = this->jobs.find(aJob); job != this->jobs.end()) {
    if (job->second.job.IsPart()) {
      return WorkflowState::Unknown;
    }
    return job->second.job.Started() ? WorkflowState::Running
                                     : WorkflowState::Queued;
  }
  const auto end = this->ended.find(aJob);
  if (end == this->ended.end() || end->second.progress.partial) {
    return WorkflowState::Unknown;
  }
  const WorkflowState state = end->second.progress.state;
  // A final state is returned only once it is durable, so that a restart of the
  // system cannot revert it. A cancellation is durable before Cancel() is
  // called.
  if (end->second.durable || state == WorkflowState::Cancelled) {
    return state;
  }
  return WorkflowState::Running;
}

std::string
CellScheduler::QueueOf(const std::string& aJob) const
{
  if (const auto job = this->jobs.find(aJob); job != this->jobs.end()) {
    return job->second.job.Submission().queue;
  }
  const auto end = this->ended.find(aJob);
  return end == this->ended.end() ? "" : end->second.progress.queue;
}

std::uint64_t
CellScheduler::CountPendingJobs(const std::string& aQueue) const
{
  std::uint64_t pending = 0;
  for (const auto& [id, entry] : this->jobs) {
    if (entry.job.Submission().queue == aQueue && !entry.job.Started() &&
        !entry.job.IsPart()) {
      ++pending;
    }
  }
  return pending;
}

CellLoad
CellScheduler::Load() const
{
  CellLoad load;
  for (const auto& [id, worker] : this->workers) {
    if (worker.listed && worker.reported && !worker.unresponsive &&
        !worker.description.draining &&
        !this->closedZones.IsClosed(worker.description.zone)) {
      load.capacityCpuMilli += worker.description.capacity.cpuMilli;
    }
  }
  for (const auto& [id, entry] : this->jobs) {
    entry.job.AddLoad(load);
    load.tasks += entry.job.TaskCount();
  }
  return load;
}

std::vector<std::string>
CellScheduler::TakeExpired(std::size_t aMost,
                           const std::set<std::string>& aKept)
{
  const std::uint64_t now = this->wallClock.UnixMs();
  const auto retention =
    static_cast<std::uint64_t>(this->bounds.stateRetention.count());
  std::vector<std::string> result;
  for (const auto& [id, end] : this->ended) {
    const bool over = end.progress.endedUnixMs + retention < now;
    if (over && end.durable && result.size() < aMost && !aKept.contains(id)) {
      result.push_back(id);
    }
  }
  for (const std::string& id : result) {
    this->ended.erase(id);
  }
  return result;
}

} // namespace sequoiakeel
