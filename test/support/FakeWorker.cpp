#include "support/CellSimulation.h"

namespace sequoiakeel {

namespace {

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

FakeWorker::FakeWorker(CellSimulation& aWorld,
                       std::string aName,
                       Resources aCapacity)
  : name(std::move(aName))
  , capacity(aCapacity)
  , world(aWorld)
{
}

void
FakeWorker::DiscardUnacknowledgedCompletions()
{
  for (const auto& [id, run] : this->runs) {
    if (run.state == WorkerTaskState::Finished) {
      this->world.finished.erase(id);
    }
  }
}

void
FakeWorker::Restart(Resources aCapacity)
{
  ++this->incarnation;
  this->capacity = aCapacity;
  this->DiscardUnacknowledgedCompletions();
  for (const auto& [id, run] : this->runs) {
    ++this->world.restartsUnder[id];
  }
  this->runs.clear();
  this->leases.clear();
}

void
FakeWorker::Crash()
{
  ++this->world.crashes;
  this->Restart(this->capacity);
  this->world.unreachable.insert(this->name);
  this->world.At(this->world.downTime,
                 [this] { this->world.unreachable.erase(this->name); });
}

void
FakeWorker::Progress()
{
  const TimePoint now = this->world.clock.Now();
  std::erase_if(this->leases,
                [now](const auto& aLease) { return aLease.second <= now; });
  for (auto& [id, run] : this->runs) {
    if (run.state != WorkerTaskState::Running) {
      continue;
    }
    if (!this->leases.contains(run.start.lease)) {
      run.state = WorkerTaskState::Stopped;
      continue;
    }
    const std::int64_t done = run.doneMs + Milliseconds(now - run.began);
    if (run.start.runTimeMs == 0 || done < run.start.runTimeMs) {
      continue;
    }
    run.state =
      this->failTasks ? WorkerTaskState::Failed : WorkerTaskState::Finished;
    if (!this->failTasks && ++this->world.finished[id] > 1) {
      this->world.violations.push_back(id + " finished twice");
    }
  }
  std::erase_if(this->runs, [](const auto& aRun) {
    return aRun.second.state == WorkerTaskState::Stopped;
  });
}

WorkerReply
FakeWorker::Status()
{
  WorkerReply reply;
  reply.status.worker = this->name;
  reply.status.incarnation = this->incarnation;
  reply.status.capacity = this->capacity;
  for (const auto& [id, expiry] : this->leases) {
    reply.status.leases.push_back(WorkerLease{ id, 1 });
  }
  for (const auto& [id, run] : this->runs) {
    WorkerTask task;
    task.taskId = id;
    task.attempt = run.start.attempt;
    task.lease = run.start.lease;
    task.state = run.state;
    task.checkpoint = run.checkpoint;
    if (this->extraMemoryMb > 0) {
      task.usage = run.start.resources;
      task.usage.memoryMb += this->extraMemoryMb;
    }
    reply.status.tasks.push_back(task);
  }
  return reply;
}

WorkerReply
FakeWorker::Start(const StartTask& aStart)
{
  WorkerReply reply;
  if (this->runs.contains(aStart.taskId)) {
    reply.result = AgentResult::Exists;
    return reply;
  }
  if (!this->leases.contains(aStart.lease)) {
    reply.result = AgentResult::Refused;
    return reply;
  }
  Resources used = aStart.resources;
  for (const auto& [id, run] : this->runs) {
    if (run.state == WorkerTaskState::Running) {
      used = Plus(used, run.start.resources);
    }
  }
  if (!Fits(used, this->capacity)) {
    this->world.violations.push_back(this->name + " overcommitted by " +
                                     aStart.taskId);
  }
  for (const auto& [other, worker] : this->world.workers) {
    worker->Progress();
    const auto run = worker->runs.find(aStart.taskId);
    if (run != worker->runs.end() &&
        run->second.state == WorkerTaskState::Running) {
      this->world.violations.push_back(aStart.taskId + " runs on " + other +
                                       " and " + this->name);
    }
  }
  if (this->world.finished.contains(aStart.taskId)) {
    this->world.violations.push_back(aStart.taskId + " started after its end");
  }
  ++this->world.starts[aStart.taskId];
  this->world.resumedFrom[aStart.taskId].push_back(aStart.checkpoint);
  Run run;
  run.start = aStart;
  run.began = this->world.clock.Now();
  run.doneMs = aStart.checkpoint.empty() ? 0 : std::stoll(aStart.checkpoint);
  this->runs[aStart.taskId] = run;
  const auto crash = this->world.crashingTasks.find(aStart.taskId);
  if (crash != this->world.crashingTasks.end() &&
      crash->second == Duration::zero()) {
    this->Crash();
    reply.result = AgentResult::Unknown;
  } else if (crash != this->world.crashingTasks.end()) {
    this->world.At(crash->second, [this, started = this->incarnation] {
      if (this->incarnation == started) {
        this->Crash();
      }
    });
  }
  return reply;
}

WorkerReply
FakeWorker::Act(const WorkerCommand& aCommand, Run& aRun)
{
  WorkerReply reply;
  switch (aCommand.verb) {
    case WorkerVerb::MoveLease:
      if (!this->leases.contains(aCommand.lease)) {
        reply.result = AgentResult::Refused;
      } else {
        aRun.start.lease = aCommand.lease;
      }
      break;
    case WorkerVerb::Checkpoint:
      if (this->failCheckpoints) {
        reply.result = AgentResult::Refused;
        break;
      }
      aRun.checkpoint = std::to_string(
        aRun.doneMs + Milliseconds(this->world.clock.Now() - aRun.began));
      reply.checkpoint = aRun.checkpoint;
      break;
    case WorkerVerb::Stop:
      reply.state = aRun.state == WorkerTaskState::Running
                      ? WorkerTaskState::Stopped
                      : aRun.state;
      if (aRun.state == WorkerTaskState::Running) {
        this->runs.erase(aCommand.taskId);
      }
      break;
    case WorkerVerb::Acknowledge:
      if (aRun.state != WorkerTaskState::Running) {
        this->runs.erase(aCommand.taskId);
      }
      break;
    default:
      break;
  }
  return reply;
}

WorkerReply
FakeWorker::Handle(const WorkerCommand& aCommand)
{
  this->Progress();
  WorkerReply reply;
  const TimePoint expiry = this->world.clock.Now() + kWorkerLeaseTtl;
  switch (aCommand.verb) {
    case WorkerVerb::Status:
      return this->Status();
    case WorkerVerb::GrantLease:
      this->leases[aCommand.lease] = expiry;
      return reply;
    case WorkerVerb::RenewLease:
      if (!this->leases.contains(aCommand.lease)) {
        reply.result = AgentResult::NotFound;
      } else {
        this->leases[aCommand.lease] = expiry;
      }
      return reply;
    case WorkerVerb::Start:
      return this->Start(aCommand.start);
    default:
      break;
  }
  const auto found = this->runs.find(aCommand.taskId);
  if (found == this->runs.end()) {
    reply.result = AgentResult::NotFound;
    return reply;
  }
  return this->Act(aCommand, found->second);
}

} // namespace sequoiakeel
