#include "CellRunner.h"

#include "Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 50 };
/** Tick interval for a cell that this planner does not own. It is longer
 * because most planners own few of the cells that they know. */
constexpr std::chrono::milliseconds kIdleTickInterval{ 250 };
constexpr std::chrono::milliseconds kLookInterval{ 250 };

/** Maximum time that a caller waits for the outcome of its request. */
constexpr std::chrono::seconds kReplyLimit{ 20 };

} // namespace

CellRunner::CellRunner(asio::io_context& aContext,
                       CellOptions aOptions,
                       KeyValueStore& aStore,
                       WorkerAgent& aAgent,
                       const Clock& aClock,
                       Surroundings aSurroundings)
  : strand(asio::make_strand(aContext))
  , options(aOptions)
  , store(aStore)
  , agent(aAgent)
  , clock(aClock)
  , surroundings(std::move(aSurroundings))
  , policies(std::hash<std::string>()(aOptions.writer))
  , machine(aOptions, this->policies)
{
}

void
CellRunner::Start()
{
  asio::co_spawn(
    this->strand,
    [self = this->shared_from_this()]() { return self->TickLoop(); },
    asio::detached);
}

void
CellRunner::Configure(CellRules aRules, Policies aPolicies)
{
  asio::post(this->strand,
             [self = this->shared_from_this(),
              rules = std::move(aRules),
              policies = std::move(aPolicies)]() mutable {
               self->RunOrStop([&] {
                 self->policies.Choose(policies.placement, policies.eviction);
                 self->machine.SetRules(std::move(rules));
               });
             });
}

void
CellRunner::SetFleet(std::vector<HostRecord> aHosts)
{
  asio::post(this->strand,
             [self = this->shared_from_this(), hosts = std::move(aHosts)]() {
               self->RunOrStop(
                 [&] { self->machine.SetFleet(hosts, self->clock.Now()); });
             });
}

void
CellRunner::RunOrStop(const std::function<void()>& aStep)
{
  if (this->broken) {
    return;
  }
  try {
    aStep();
  } catch (const std::exception& error) {
    // The other cells continue to run. Another planner becomes the owner of
    // this one once the store lease ends or the operator has repaired the
    // stored data.
    this->broken = true;
    Event("cell_stopped", LogLevel::Error)
      .Add("cell", this->options.cell)
      .Add("error", error.what());
  }
}

void
CellRunner::PollConditions(TimePoint aNow)
{
  if (aNow < this->nextPoll) {
    return;
  }
  this->nextPoll = aNow + kLookInterval;
  const PlannerConditions now = this->surroundings();
  this->machine.OnStoreLease(now.storeLease, now.leaseValidUntil);
  this->machine.OnStoreReports(
    aNow, now.majorityReachable, now.majorityUnreachable);
  this->machine.SetCandidate(now.candidate);
}

asio::awaitable<void>
CellRunner::TickLoop()
{
  asio::steady_timer timer(this->strand);
  while (this->machine.Phase() != CellPhase::Released && !this->broken) {
    this->RunOrStop([&] {
      const TimePoint now = this->clock.Now();
      this->PollConditions(now);
      this->machine.Tick(now);
    });
    this->DispatchCommands();
    const bool idle = this->machine.Phase() == CellPhase::Idle;
    timer.expires_after(idle ? kIdleTickInterval : kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void
CellRunner::DispatchCommands()
{
  Outbox& outbox = this->machine.outbox;
  for (StoreCommand& command : std::exchange(outbox.store, {})) {
    asio::co_spawn(
      this->strand,
      [self = this->shared_from_this(), moved = std::move(command)]() {
        return self->Execute(moved);
      },
      asio::detached);
  }
  for (WorkerCommand& command : std::exchange(outbox.workers, {})) {
    asio::co_spawn(
      this->strand,
      [self = this->shared_from_this(), moved = std::move(command)]() {
        return self->Execute(moved);
      },
      asio::detached);
  }
  for (ClientReply& reply : std::exchange(outbox.replies, {})) {
    const auto found = this->waiting.find(reply.token);
    if (found != this->waiting.end()) {
      found->second->reply = std::move(reply.reply);
      found->second->timer.cancel();
    }
  }
}

asio::awaitable<void>
CellRunner::Execute(StoreCommand aCommand)
{
  StoreReply reply;
  reply.id = aCommand.id;
  if (aCommand.verb == StoreVerb::Get || aCommand.verb == StoreVerb::Range) {
    StoreReadReply read;
    if (aCommand.verb == StoreVerb::Get) {
      read = co_await this->store.Get(aCommand.key);
    } else {
      read = co_await this->store.Range(aCommand.key);
    }
    reply.result = read.result;
    reply.rows = std::move(read.values);
  } else if (aCommand.verb == StoreVerb::Put) {
    const StoreWriteReply written = co_await this->store.CompareAndSwap(
      aCommand.key, aCommand.expectedVersion, aCommand.value, aCommand.lease);
    reply.result = written.result;
    reply.version = written.version;
  } else {
    const StoreWriteReply written = co_await this->store.CompareAndDelete(
      aCommand.key, aCommand.expectedVersion);
    reply.result = written.result;
  }
  this->RunOrStop(
    [&] { this->machine.OnStoreReply(reply, this->clock.Now()); });
  this->DispatchCommands();
}

asio::awaitable<void>
CellRunner::Execute(WorkerCommand aCommand)
{
  WorkerReply reply;
  if (this->clock.Now() < aCommand.notAfter) {
    reply = co_await this->Call(aCommand);
  } else {
    reply.result = AgentResult::NotSent;
  }
  reply.id = aCommand.id;
  this->RunOrStop(
    [&] { this->machine.OnWorkerReply(reply, this->clock.Now()); });
  this->DispatchCommands();
}

asio::awaitable<WorkerReply>
CellRunner::Call(const WorkerCommand& aCommand)
{
  WorkerReply reply;
  const std::chrono::milliseconds ttl = kWorkerLeaseTtl;
  AgentTaskReply task;
  switch (aCommand.verb) {
    case WorkerVerb::Status: {
      AgentStatusReply status = co_await this->agent.Status(aCommand.endpoint);
      reply.result = status.result;
      reply.status = std::move(status.status);
      co_return reply;
    }
    case WorkerVerb::GrantLease:
      reply.result =
        co_await this->agent.GrantLease(aCommand.endpoint, aCommand.lease, ttl);
      co_return reply;
    case WorkerVerb::RenewLease:
      reply.result =
        co_await this->agent.RenewLease(aCommand.endpoint, aCommand.lease, ttl);
      co_return reply;
    case WorkerVerb::Start:
      task = co_await this->agent.Start(aCommand.endpoint, aCommand.start);
      break;
    case WorkerVerb::MoveLease:
      task = co_await this->agent.MoveToLease(
        aCommand.endpoint, aCommand.taskId, aCommand.lease);
      break;
    case WorkerVerb::Checkpoint:
      task =
        co_await this->agent.Checkpoint(aCommand.endpoint, aCommand.taskId);
      break;
    case WorkerVerb::Throttle:
      task = co_await this->agent.Throttle(
        aCommand.endpoint, aCommand.taskId, aCommand.permille);
      break;
    case WorkerVerb::Stop:
      task = co_await this->agent.Stop(aCommand.endpoint, aCommand.taskId);
      break;
    case WorkerVerb::Acknowledge:
      task =
        co_await this->agent.Acknowledge(aCommand.endpoint, aCommand.taskId);
      break;
  }
  reply.result = task.result;
  reply.checkpoint = std::move(task.checkpoint);
  reply.state = task.state;
  co_return reply;
}

asio::awaitable<SubmitReply>
CellRunner::AwaitReply(std::uint64_t aToken)
{
  const auto entry = std::make_shared<Waiting>(this->strand);
  this->waiting[aToken] = entry;
  this->DispatchCommands();
  if (!entry->reply) {
    entry->timer.expires_after(kReplyLimit);
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  this->waiting.erase(aToken);
  SubmitReply reply;
  reply.outcome = SubmitOutcome::Unknown;
  reply.reason = "timeout";
  if (entry->reply) {
    reply = std::move(*entry->reply);
  }
  co_return reply;
}

asio::awaitable<SubmitReply>
CellRunner::SubmitOnStrand(SubmitJob aRequest)
{
  const std::uint64_t token = this->nextToken++;
  this->RunOrStop(
    [&] { this->machine.Submit(token, aRequest, this->clock.Now()); });
  return this->AwaitReply(token);
}

asio::awaitable<SubmitReply>
CellRunner::CancelOnStrand(CancelJob aRequest)
{
  const std::uint64_t token = this->nextToken++;
  this->RunOrStop(
    [&] { this->machine.Cancel(token, aRequest, this->clock.Now()); });
  return this->AwaitReply(token);
}

asio::awaitable<JobStatus>
CellRunner::QueryOnStrand(std::string aJob)
{
  JobStatus status = this->machine.Query(aJob);
  if (status.found) {
    status.decisions = this->machine.Decisions(aJob, this->clock.Now());
  }
  co_return status;
}

asio::awaitable<std::optional<CellStatus>>
CellRunner::StatusOnStrand()
{
  const CellPhase phase = this->machine.Phase();
  if (phase != CellPhase::Active && phase != CellPhase::Draining) {
    co_return std::nullopt;
  }
  co_return this->machine.Status();
}

asio::awaitable<void>
CellRunner::DrainOnStrand()
{
  this->machine.Drain();
  asio::steady_timer timer(this->strand);
  while (this->machine.Phase() != CellPhase::Released && !this->broken) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<SubmitReply>
CellRunner::Submit(SubmitJob aRequest)
{
  return asio::co_spawn(
    this->strand,
    [self = this->shared_from_this(), request = std::move(aRequest)]() {
      return self->SubmitOnStrand(request);
    },
    asio::use_awaitable);
}

asio::awaitable<SubmitReply>
CellRunner::Cancel(CancelJob aRequest)
{
  return asio::co_spawn(
    this->strand,
    [self = this->shared_from_this(), request = std::move(aRequest)]() {
      return self->CancelOnStrand(request);
    },
    asio::use_awaitable);
}

asio::awaitable<JobStatus>
CellRunner::Query(std::string aJob)
{
  return asio::co_spawn(
    this->strand,
    [self = this->shared_from_this(), job = std::move(aJob)]() {
      return self->QueryOnStrand(job);
    },
    asio::use_awaitable);
}

asio::awaitable<std::optional<CellStatus>>
CellRunner::Status()
{
  return asio::co_spawn(
    this->strand,
    [self = this->shared_from_this()]() { return self->StatusOnStrand(); },
    asio::use_awaitable);
}

asio::awaitable<void>
CellRunner::Drain()
{
  return asio::co_spawn(
    this->strand,
    [self = this->shared_from_this()]() { return self->DrainOnStrand(); },
    asio::use_awaitable);
}

} // namespace sequoiakeel
