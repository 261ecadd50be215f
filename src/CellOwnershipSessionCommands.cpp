#include "CellOwnershipSession.h"

#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Longest time between two planning passes. */
constexpr std::chrono::milliseconds kPlanInterval{ 200 };

/** Delay before a planning pass, so that events within this time share it. */
constexpr std::chrono::milliseconds kPlanDelay{ 2 };

/** How long a report request waits on the worker for the end of a run. This is
 * also the interval at which workers report latencies, which must be short
 * since latency targets may be missed for at most 4 s. */
constexpr std::chrono::milliseconds kReportWait{ 1000 };

/** The same while serving tasks of the worker miss their latency target, so
 * that fillers are slowed down within the time allowed and sped up soon after.
 */
constexpr std::chrono::milliseconds kReportWaitOverTarget{ 500 };

/** The same while a restarted worker waits for its fencing token, which comes
 * with the next request. A write of the roster takes less. */
constexpr std::chrono::milliseconds kReportWaitForToken{ 200 };

/** Shortest time between two report requests to one worker. Each request is
 * billed, and one request returns all run ends that are close together in
 * time. */
constexpr std::chrono::milliseconds kMinReportInterval{ 60 };

/** The same after a report without a new end by a worker that keeps ends, which
 * need not wait for the next end before it answers. */
constexpr std::chrono::milliseconds kKeptEndsReportInterval{ 200 };

/** Time-out of a report request in addition to the requested wait. */
constexpr std::chrono::milliseconds kWorkerTimeout{ 600 };

/** Time-out of commands to workers. A start command that was not answered is
 * sent again after this time. */
constexpr std::chrono::milliseconds kStartTimeout{ 500 };

constexpr std::chrono::milliseconds kWorkerRetry{ 200 };

/** Attempts to send a start command that gets no answer. Further attempts would
 * arrive after the command's validity. */
constexpr int kStartAttempts = 3;

/** Interval at which a start that is to be repeated looks whether the roster
 * names it. */
constexpr std::chrono::milliseconds kRecordedPoll{ 20 };

/** Longest wait for the run ends that a worker reported to become durable.
 * After it, the worker's lease is renewed without acknowledging these ends. */
constexpr std::chrono::milliseconds kAcknowledgeWait{ 500 };

} // namespace

asio::awaitable<void>
CellOwnershipSession::PlanLoop()
{
  while (!this->ended) {
    co_await this->planSignal.Wait(kPlanInterval);
    co_await SleepFor(this->dependencies.strand, kPlanDelay);
    if (!this->CanSendCommands()) {
      continue;
    }
    PlannedCommands orders = this->scheduler.Plan();
    for (PlannedStart& start : orders.starts) {
      this->Spawn([start](CellOwnershipSession& aSelf) mutable {
        return aSelf.SendStart(std::move(start));
      });
    }
    for (PlannedStop& stop : orders.stops) {
      this->Spawn([stop](CellOwnershipSession& aSelf) mutable {
        return aSelf.SendStop(std::move(stop));
      });
    }
    for (PlannedThrottle& throttle : orders.throttles) {
      this->Spawn([throttle](CellOwnershipSession& aSelf) mutable {
        return aSelf.SendThrottle(std::move(throttle));
      });
    }
    if (this->scheduler.HasProgress() || this->scheduler.HasHandOvers()) {
      this->writeSignal.Notify();
    }
    if (orders.awaitsRoster) {
      this->rosterSignal.Notify();
    }
  }
}

void
CellOwnershipSession::StartWorkerLoops()
{
  for (const std::string& id : this->scheduler.WorkersToRenew()) {
    if (this->workerLoops.contains(id)) {
      continue;
    }
    auto loop = std::make_shared<WorkerLoop>(this->dependencies.strand);
    this->workerLoops.emplace(id, loop);
    this->Spawn([id, loop](CellOwnershipSession& aSelf) {
      return aSelf.RenewWorker(id, loop);
    });
  }
}

asio::awaitable<void>
CellOwnershipSession::RenewWorker(std::string aWorker,
                                  std::shared_ptr<WorkerLoop> aLoop)
{
  bool reachable = true;
  while (!this->ended) {
    const ScheduledWorker* worker = this->scheduler.FindWorker(aWorker);
    if (worker == nullptr ||
        (!worker->listed && worker->Commitments().empty())) {
      break;
    }
    if (!this->CanSendCommands()) {
      co_await SleepFor(this->dependencies.strand,
                        std::chrono::milliseconds(50));
      continue;
    }
    const Duration longest =
      worker->overTargetSince ? kReportWaitOverTarget : kReportWait;
    Duration wait = worker->NeedsReportNow() ? Duration::zero() : longest;
    if (worker->needsFencingToken) {
      wait = std::min<Duration>(wait, kReportWaitForToken);
    }
    const std::uint64_t until = this->scheduler.LeaseUntil(aWorker);
    this->scheduler.NoteLease(aWorker, until);
    const TimePoint sentAt = this->dependencies.clock.Now();
    const WorkerCommandTarget target =
      this->Target(aWorker, worker->description.endpoint);
    // After a loss of contact another incarnation may answer.
    const EndsAcknowledgement ends{ worker->reportedIncarnation,
                                    worker->unresponsive
                                      ? 0
                                      : worker->EndsToAcknowledge() };
    const std::uint64_t handledBefore = worker->handledEnds;
    const RenewReply reply = co_await this->dependencies.workerCommands.Renew(
      target, until, ends, wait, wait + kWorkerTimeout);
    if (this->ended) {
      co_return;
    }
    if (this->EndIfFenced(target, reply.outcome.result)) {
      co_return;
    }
    const WorkerCommandResult result = reply.outcome.result;
    const bool done = result == WorkerCommandResult::Done;
    if (!reachable && (result == WorkerCommandResult::NotSent ||
                       result == WorkerCommandResult::Unknown)) {
      this->scheduler.HandleFailedRetry(aWorker);
    }
    if (done != reachable) {
      Event(done ? "worker_regained" : "worker_lost", LogLevel::Warning)
        .Add("worker", aWorker)
        .Add("result", ToString(reply.outcome.result));
    }
    reachable = done;
    if (!done) {
      // A connection that breaks before the time-out mostly does so when the
      // worker goes down.
      const TimePoint now = this->dependencies.clock.Now();
      const bool broke = reply.outcome.result == WorkerCommandResult::Unknown &&
                         now - sentAt < wait + kWorkerTimeout;
      this->scheduler.HandleUnresponsive(
        aWorker, broke ? std::optional(now) : std::nullopt);
      // The roster tells the next owner which runs the worker had.
      this->rosterSignal.Notify();
      if (reply.outcome.result == WorkerCommandResult::WrongWorker) {
        this->scheduler.HandleWrongWorker(aWorker);
      }
      co_await SleepFor(this->dependencies.strand, kWorkerRetry);
      continue;
    }
    this->scheduler.HandleReport(
      aWorker, sentAt, reply.outcome.workerMs, reply.report);
    this->scheduler.HandleFencingToken(
      aWorker, reply.report.incarnation, target.fencingToken);
    if (!this->scheduler.IsOnRoster(aWorker) ||
        this->scheduler.NeedsFencingToken(aWorker)) {
      this->rosterSignal.Notify();
    }
    this->planSignal.Notify();
    if (this->scheduler.HasProgress()) {
      this->writeSignal.Notify();
    }
    co_await this->AwaitDurableEnds(aWorker, *aLoop);
    // A worker that keeps ends lists them at once instead of waiting.
    worker = this->scheduler.FindWorker(aWorker);
    const bool nothingNew = worker != nullptr && !worker->endsToKeep.empty() &&
                            worker->handledEnds == handledBefore;
    const Duration interval =
      nothingNew ? kKeptEndsReportInterval : kMinReportInterval;
    const Duration sinceRequest = this->dependencies.clock.Now() - sentAt;
    if (sinceRequest < interval) {
      co_await SleepFor(this->dependencies.strand, interval - sinceRequest);
    }
  }
  this->workerLoops.erase(aWorker);
}

asio::awaitable<void>
CellOwnershipSession::AwaitDurableEnds(const std::string& aWorker,
                                       WorkerLoop& aLoop)
{
  const TimePoint deadline = this->dependencies.clock.Now() + kAcknowledgeWait;
  while (!this->ended) {
    const ScheduledWorker* const worker = this->scheduler.FindWorker(aWorker);
    const Duration left = deadline - this->dependencies.clock.Now();
    if (worker == nullptr || worker->handledEnds <= worker->durableEnds ||
        left <= Duration::zero()) {
      co_return;
    }
    co_await aLoop.wake.Wait(left);
  }
}

asio::awaitable<void>
CellOwnershipSession::SendStart(PlannedStart aStart)
{
  // A repetition keeps the token, since it is meant for the same incarnation.
  const WorkerCommandTarget target =
    this->Target(aStart.worker, aStart.endpoint);
  bool mayBeInFlight = false;
  WorkerCommandReply reply;
  for (int attempt = 0; attempt < kStartAttempts; ++attempt) {
    if (!this->CanSendCommands()) {
      reply.result = WorkerCommandResult::NotSent;
      break;
    }
    reply = co_await this->dependencies.workerCommands.Start(
      target, aStart.command, kStartTimeout);
    if (reply.result != WorkerCommandResult::Unknown) {
      break;
    }
    mayBeInFlight = true;
    Event("start_unanswered", LogLevel::Warning)
      .Add("task", aStart.command.task)
      .Add("run", aStart.command.run)
      .Add("worker", aStart.worker)
      .Add("attempt", attempt + 1);
    this->scheduler.HandleUnansweredStart(
      aStart.worker, aStart.command.task, aStart.command.run);
    // The roster tells the next owner of the start.
    this->rosterSignal.Notify();
    if (!co_await this->AwaitRepeatedStart(aStart)) {
      break;
    }
  }
  if (this->ended) {
    co_return;
  }
  if (this->EndIfFenced(target, reply.result)) {
    co_return;
  }
  this->scheduler.HandleStart(aStart.worker,
                              aStart.command.task,
                              aStart.command.run,
                              reply,
                              mayBeInFlight);
  if (reply.result != WorkerCommandResult::Done) {
    this->planSignal.Notify();
  }
}

asio::awaitable<bool>
CellOwnershipSession::AwaitRepeatedStart(const PlannedStart& aStart)
{
  while (!this->ended && this->scheduler.AwaitsStart(aStart.worker,
                                                     aStart.command.task,
                                                     aStart.command.run)) {
    if (this->scheduler.BeginRepeatedStart(
          aStart.worker, aStart.command.task, aStart.command.run)) {
      co_return true;
    }
    co_await SleepFor(this->dependencies.strand, kRecordedPoll);
  }
  co_return false;
}

asio::awaitable<void>
CellOwnershipSession::SendStop(PlannedStop aStop)
{
  if (!this->CanSendCommands()) {
    co_return;
  }
  const WorkerCommandTarget target = this->Target(aStop.worker, aStop.endpoint);
  const WorkerCommandReply reply =
    co_await this->dependencies.workerCommands.Stop(
      target, aStop.task, aStop.run, kStartTimeout);
  if (this->ended) {
    co_return;
  }
  if (this->EndIfFenced(target, reply.result)) {
    co_return;
  }
  this->scheduler.HandleStop(aStop.worker, aStop.task, aStop.run, reply);
}

asio::awaitable<void>
CellOwnershipSession::SendThrottle(PlannedThrottle aThrottle)
{
  const WorkerCommandTarget target =
    this->Target(aThrottle.worker, aThrottle.endpoint);
  WorkerCommandReply reply;
  if (this->CanSendCommands()) {
    reply = co_await this->dependencies.workerCommands.Throttle(
      target, aThrottle.task, aThrottle.run, aThrottle.percent, kStartTimeout);
  }
  if (this->ended) {
    co_return;
  }
  if (this->EndIfFenced(target, reply.result)) {
    co_return;
  }
  if (reply.result != WorkerCommandResult::Done) {
    Event("filler_speed_not_set", LogLevel::Warning)
      .Add("task", aThrottle.task)
      .Add("worker", aThrottle.worker)
      .Add("result", ToString(reply.result));
  }
  this->scheduler.HandleThrottle(aThrottle, reply);
}

} // namespace sequoiakeel
