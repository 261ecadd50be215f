#include "support/CellSimulation.h"

#include "Log.h"
#include "StoreLeaseHolder.h"

namespace sequoiakeel {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Shortest time from sending a worker's last lease renewal until the planner
 * treats the tasks on that worker as ended with an unknown result. */
constexpr std::chrono::seconds kShortestUnknownEnd{ 2 * kWorkerLeaseTtl +
                                                    kLeaseMargin };

constexpr milliseconds kStep{ 50 };
/** Timeout of a planner's calls to the store and to workers. */
constexpr milliseconds kCallLimit{ 2000 };

} // namespace

std::vector<PlacementDecision>
FirstFitPolicies::Place(const CellView& aCell,
                        std::span<const TaskView> aQueue,
                        std::size_t aMaxPlacements)
{
  std::vector<PlacementDecision> result;
  std::map<std::string, Resources> taken;
  const std::size_t first = this->rotate ? this->round++ : 0;
  for (const TaskView& task : aQueue) {
    bool fitsSomewhere = false;
    for (std::size_t index = 0; index < aCell.workers.size(); ++index) {
      const WorkerView& worker =
        aCell.workers[(first + index) % aCell.workers.size()];
      fitsSomewhere = fitsSomewhere || Fits(task.resources, worker.capacity);
      const Resources used = Plus(worker.committed, taken[worker.name]);
      const bool fits = Fits(Plus(used, task.resources), worker.capacity);
      if (worker.unreachable || worker.leaving ||
          (!fits && !this->ignoreCapacity)) {
        continue;
      }
      taken[worker.name] = Plus(taken[worker.name], task.resources);
      PlacementDecision decision;
      decision.task = task.task;
      decision.worker = worker.name;
      decision.outcome = PlacementOutcome::Placed;
      result.push_back(decision);
      break;
    }
    if (!fitsSomewhere && !aCell.workers.empty() && !this->ignoreCapacity) {
      PlacementDecision decision;
      decision.task = task.task;
      decision.outcome = PlacementOutcome::Unplaceable;
      decision.reason = "larger than every worker";
      result.push_back(decision);
    }
    if (result.size() >= aMaxPlacements) {
      break;
    }
  }
  return result;
}

CellSimulation::CellSimulation(std::uint64_t aSeed,
                               std::uint32_t aPlannersExpected)
  : random(aSeed)
  , store(this->clock)
  , plannersExpected(aPlannersExpected)
{
  static const bool kQuiet = (StartLogging("test", LogLevel::Error), true);
  static_cast<void>(kQuiet);
}

FakePlanner&
CellSimulation::AddPlanner(const std::string& aName)
{
  auto planner = std::make_unique<FakePlanner>();
  planner->name = aName;
  CellOptions options;
  options.cell = "cell-1";
  options.planner = aName;
  options.writer = aName + "/" + std::to_string(++this->processes);
  planner->machine = std::make_unique<CellMachine>(options, planner->policies);
  this->planners[aName] = std::move(planner);
  return *this->planners[aName];
}

FakeWorker&
CellSimulation::AddWorker(const std::string& aName, Resources aCapacity)
{
  this->workers[aName] = std::make_unique<FakeWorker>(*this, aName, aCapacity);
  return *this->workers[aName];
}

void
CellSimulation::Kill(const std::string& aPlanner)
{
  this->planners.erase(aPlanner);
}

void
CellSimulation::Pause(const std::string& aPlanner)
{
  this->planners.at(aPlanner)->paused = true;
}

void
CellSimulation::Resume(const std::string& aPlanner)
{
  FakePlanner& planner = *this->planners.at(aPlanner);
  planner.paused = false;
  for (const auto& step : std::exchange(planner.backlog, {})) {
    step();
  }
  // Sends the commands that were decided but not sent before the pause.
  this->SendPendingCommands(planner);
}

void
CellSimulation::At(Duration aDelay, std::function<void()> aStep)
{
  this->scheduledEvents.emplace(this->clock.Now() + aDelay, std::move(aStep));
}

Duration
CellSimulation::Delay(std::int64_t aMinMs, std::int64_t aMaxMs)
{
  std::uniform_int_distribution<std::int64_t> choice(aMinMs, aMaxMs);
  return milliseconds(choice(this->random));
}

DeliveryFault
CellSimulation::Chance()
{
  std::uniform_int_distribution<int> percent(0, 99);
  if (percent(this->random) >= this->faultPercent) {
    return DeliveryFault::Deliver;
  }
  std::uniform_int_distribution<int> choice(1, 4);
  return static_cast<DeliveryFault>(choice(this->random));
}

void
CellSimulation::DeliverTo(const std::string& aPlanner,
                          const CellMachine* aMachine,
                          std::function<void(CellMachine&)> aStep)
{
  const auto found = this->planners.find(aPlanner);
  if (found == this->planners.end() ||
      found->second->machine.get() != aMachine) {
    return;
  }
  FakePlanner& planner = *found->second;
  if (planner.paused) {
    planner.backlog.push_back([this, aPlanner, aMachine, aStep] {
      this->DeliverTo(aPlanner, aMachine, aStep);
    });
    return;
  }
  aStep(*planner.machine);
  this->SendPendingCommands(planner);
}

template<class Command, class Reply>
void
CellSimulation::Transmit(FakePlanner& aPlanner,
                         const Command& aCommand,
                         DeliveryFault aFate,
                         std::function<Reply()> aEffect,
                         Reply aUnknown)
{
  ++this->messages;
  const std::string name = aPlanner.name;
  const CellMachine* machine = aPlanner.machine.get();
  const auto deliver = [this, name, machine, id = aCommand.id](Reply aReply) {
    aReply.id = id;
    this->DeliverTo(name, machine, [this, aReply](CellMachine& aTarget) {
      if constexpr (std::is_same_v<Reply, StoreReply>) {
        aTarget.OnStoreReply(aReply, this->clock.Now());
      } else {
        aTarget.OnWorkerReply(aReply, this->clock.Now());
      }
    });
  };
  const bool givesUp = aFate == DeliveryFault::LoseRequest ||
                       aFate == DeliveryFault::LoseReply ||
                       aFate == DeliveryFault::DelayRequest;
  if (givesUp) {
    this->At(kCallLimit, [deliver, aUnknown] { deliver(aUnknown); });
  }
  if (aFate == DeliveryFault::LoseRequest) {
    return;
  }
  const Duration there = aFate == DeliveryFault::DelayRequest
                           ? this->Delay(2000, 45000)
                           : this->Delay(1, 300);
  this->At(there, [this, aEffect, deliver, aFate, givesUp] {
    const Reply reply = aEffect();
    if (givesUp) {
      return;
    }
    this->At(this->Delay(1, 300), [deliver, reply] { deliver(reply); });
    if (aFate == DeliveryFault::DuplicateReply) {
      this->At(this->Delay(300, 3000), [deliver, reply] { deliver(reply); });
    }
  });
}

void
CellSimulation::Send(FakePlanner& aPlanner, const StoreCommand& aCommand)
{
  DeliveryFault fate =
    this->storeFate ? this->storeFate(aCommand) : DeliveryFault::Deliver;
  fate = fate == DeliveryFault::Deliver ? this->Chance() : fate;
  if (!aPlanner.reachesStore) {
    fate = DeliveryFault::LoseRequest;
  }
  StoreReply unknown;
  unknown.result = StoreResult::Unknown;
  this->Transmit<StoreCommand, StoreReply>(
    aPlanner,
    aCommand,
    fate,
    [this, aCommand] { return this->store.Apply(aCommand); },
    unknown);
}

void
CellSimulation::Send(FakePlanner& aPlanner, const WorkerCommand& aCommand)
{
  DeliveryFault fate =
    this->workerFate ? this->workerFate(aCommand) : DeliveryFault::Deliver;
  fate = fate == DeliveryFault::Deliver ? this->Chance() : fate;
  if (this->unreachable.contains(aCommand.worker) ||
      !this->workers.contains(aCommand.worker)) {
    fate = DeliveryFault::LoseRequest;
  } else if (this->repliesLost.contains(aCommand.worker)) {
    fate = DeliveryFault::LoseReply;
  }
  WorkerReply unknown;
  unknown.result = AgentResult::Unknown;
  if (this->clock.Now() >= aCommand.notAfter) {
    fate = DeliveryFault::Deliver;
  }
  const bool late = this->clock.Now() >= aCommand.notAfter;
  const TimePoint sent = this->clock.Now();
  this->Transmit<WorkerCommand, WorkerReply>(
    aPlanner,
    aCommand,
    fate,
    [this, aCommand, late, sent] {
      WorkerReply reply;
      reply.result = AgentResult::NotSent;
      const auto worker = this->workers.find(aCommand.worker);
      if (late || worker == this->workers.end()) {
        return reply;
      }
      const bool renews = aCommand.verb == WorkerVerb::GrantLease ||
                          aCommand.verb == WorkerVerb::RenewLease ||
                          aCommand.verb == WorkerVerb::MoveLease;
      if (renews) {
        worker->second->lastRenewal =
          std::max(worker->second->lastRenewal, sent);
      }
      return worker->second->Handle(aCommand);
    },
    unknown);
}

void
CellSimulation::SendPendingCommands(FakePlanner& aPlanner)
{
  if (aPlanner.paused) {
    return;
  }
  Outbox& outbox = aPlanner.machine->outbox;
  for (const StoreCommand& command : std::exchange(outbox.store, {})) {
    this->Send(aPlanner, command);
  }
  for (const WorkerCommand& command : std::exchange(outbox.workers, {})) {
    this->Send(aPlanner, command);
  }
  for (const ClientReply& reply : std::exchange(outbox.replies, {})) {
    aPlanner.replies[reply.token] = reply.reply;
  }
}

void
CellSimulation::TickPlanner(FakePlanner& aPlanner)
{
  if (aPlanner.paused) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const bool reaches = aPlanner.reachesStore && !this->store.down;
  if (reaches && aPlanner.renewsLease && now >= aPlanner.nextRenewal) {
    aPlanner.nextRenewal = now + kStoreLeaseRenewal;
    aPlanner.storeLease = this->store.RenewLease(aPlanner.storeLease);
    aPlanner.machine->OnStoreLease(aPlanner.storeLease,
                                   now + kStoreLeaseTtl - kStoreLeaseMargin);
  }
  std::uint32_t reachable = 0;
  std::uint32_t unreachableCount = 0;
  for (const auto& [name, planner] : this->planners) {
    const bool sees = planner->reachesStore && !this->store.down;
    reachable += !planner->paused && sees ? 1 : 0;
    unreachableCount += !planner->paused && !sees ? 1 : 0;
  }
  aPlanner.machine->OnStoreReports(now,
                                   reachable * 2 > this->plannersExpected,
                                   unreachableCount * 2 >
                                     this->plannersExpected);
  aPlanner.machine->SetCandidate(aPlanner.candidate);
  std::vector<HostRecord> hosts;
  for (const auto& [name, worker] : this->workers) {
    HostRecord host;
    host.host = name;
    host.zone = "zone-1";
    host.rack = "rack-1";
    hosts.push_back(host);
  }
  aPlanner.machine->SetFleet(hosts, now);
  aPlanner.machine->Tick(now);
  this->SendPendingCommands(aPlanner);
}

void
CellSimulation::ForgetUnknownEnds()
{
  for (const auto& [name, worker] : this->workers) {
    if (!this->unreachable.contains(name) &&
        !this->repliesLost.contains(name)) {
      continue;
    }
    // After this time the owner may treat the worker's tasks as ended without
    // knowing their results, and may run finished ones again. The time counts
    // from the last renewal sent, because a paused owner renews late and the
    // loss of contact itself can be shorter.
    const Duration quiet = this->clock.Now() - worker->lastRenewal;
    if (quiet >= kShortestUnknownEnd) {
      worker->DiscardUnacknowledgedCompletions();
    }
  }
}

void
CellSimulation::Step()
{
  this->clock.Advance(kStep);
  for (const auto& [name, worker] : this->workers) {
    worker->Progress();
  }
  while (!this->scheduledEvents.empty() &&
         this->scheduledEvents.begin()->first <= this->clock.Now()) {
    const auto step = std::move(this->scheduledEvents.begin()->second);
    this->scheduledEvents.erase(this->scheduledEvents.begin());
    step();
  }
  this->ForgetUnknownEnds();
  for (const auto& [name, planner] : this->planners) {
    this->TickPlanner(*planner);
  }
  this->CheckLedgers();
}

void
CellSimulation::Run(Duration aTime)
{
  const TimePoint end = this->clock.Now() + aTime;
  while (this->clock.Now() < end) {
    this->Step();
  }
}

bool
CellSimulation::RunUntil(const std::function<bool()>& aCondition,
                         Duration aLimit)
{
  const TimePoint end = this->clock.Now() + aLimit;
  while (!aCondition()) {
    if (this->clock.Now() >= end) {
      return false;
    }
    this->Step();
  }
  return true;
}

std::uint64_t
CellSimulation::Submit(FakePlanner& aPlanner,
                       const std::string& aJob,
                       std::int64_t aTasks,
                       Resources aSize,
                       std::int64_t aRunTimeMs)
{
  const std::uint64_t token = this->nextToken++;
  SubmitJob request;
  request.jobId = aJob;
  request.cell = "cell-1";
  request.spec.team = "planning";
  request.spec.taskClass = "batch-order";
  request.spec.resources = aSize;
  request.spec.taskCount = aTasks;
  request.spec.runTimeMs = aRunTimeMs;
  aPlanner.machine->Submit(token, request, this->clock.Now());
  this->SendPendingCommands(aPlanner);
  return token;
}

std::uint64_t
CellSimulation::Cancel(FakePlanner& aPlanner, const std::string& aJob)
{
  const std::uint64_t token = this->nextToken++;
  CancelJob request;
  request.jobId = aJob;
  request.cell = "cell-1";
  aPlanner.machine->Cancel(token, request, this->clock.Now());
  this->SendPendingCommands(aPlanner);
  return token;
}

FakePlanner*
CellSimulation::Owner()
{
  for (const auto& [name, planner] : this->planners) {
    if (!planner->paused &&
        planner->machine->OwnsWithValidLease(this->clock.Now())) {
      return planner.get();
    }
  }
  return nullptr;
}

std::string
CellSimulation::StateOf(const std::string& aJob)
{
  FakePlanner* owner = this->Owner();
  return owner == nullptr ? "" : owner->machine->Query(aJob).state;
}

std::size_t
CellSimulation::RunningOn(const std::string& aWorker) const
{
  const FakeWorker& worker = *this->workers.at(aWorker);
  return static_cast<std::size_t>(
    std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto& aRun) {
      return aRun.second.state == WorkerTaskState::Running;
    }));
}

std::size_t
CellSimulation::Running() const
{
  std::size_t result = 0;
  for (const auto& [name, worker] : this->workers) {
    result += this->RunningOn(name);
  }
  return result;
}

void
CellSimulation::CheckLedgers()
{
  for (const auto& [name, planner] : this->planners) {
    const CellState& state = planner->machine->Working();
    std::map<std::string, Resources> sums;
    for (const auto& [id, job] : state.Jobs()) {
      for (const auto& [index, task] : job.tasks) {
        if (task.phase != TaskPhase::Queued) {
          sums[task.worker] = Plus(sums[task.worker], job.row.spec.resources);
        }
      }
    }
    for (const auto& [worker, row] : state.Workers()) {
      const Resources counted = state.Commitments().Committed(worker);
      if (!Fits(sums[worker], counted)) {
        this->violations.push_back("the ledger counts too little on " + worker);
      }
    }
  }
}

} // namespace sequoiakeel
