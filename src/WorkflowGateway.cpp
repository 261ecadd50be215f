#include "WorkflowGateway.h"

#include "CellBalance.h"
#include "Log.h"
#include "PeerCodec.h"
#include "StoreRecords.h"
#include "generated/WorkflowJson.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <set>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Time-out of one call to the store. It is above the latency of 0.3 s while
 * the store is slow, and leaves time to relay the change through another host.
 */
constexpr TransferTimeout kStoreCallTimeout =
  TransferTimeout::Silence(std::chrono::milliseconds(700));

/** Time-out of a peer that stores a change on behalf of this process, beyond
 * the time that a large change takes on its way. */
constexpr std::chrono::milliseconds kRelayTimeout{ 600 };

/** Time limit of retries as long as every attempt is known to have failed
 * without storing the submission. */
constexpr std::chrono::milliseconds kNotStoredRetryLimit{ 300 };

/** Time limit of retries of a submission that may have been stored, so that the
 * caller receives a definite outcome or can still retry at another host. */
constexpr std::chrono::milliseconds kUnknownRetryLimit{ 1500 };

/** Time-out of a query to an owner, after which the store is read instead. An
 * owner normally answers within a few milliseconds. */
constexpr std::chrono::milliseconds kOwnerTimeout{ 250 };

/** Time-out of the query for the load of a candidate cell. An owner that has
 * not answered by then is busy or gone, and the other cell is chosen. */
constexpr std::chrono::milliseconds kLoadTimeout{ 80 };

/** Time for which the load of the only cell is used without reading it again.
 */
constexpr std::chrono::seconds kLoadLifetime{ 1 };

/** Part of the tasks left to the only cell after whose submission its load is
 * read again. */
constexpr std::uint64_t kSubmittedPart = 8;

/** Pause between attempts, since calls that the store rejects are charged too.
 */
constexpr std::chrono::milliseconds kStoreRetryDelay{ 200 };

/** Time before the deadline that is reserved for sending the response. */
constexpr std::chrono::milliseconds kResponseReserve{ 60 };

const char*
OutcomeName(SubmissionOutcome aOutcome)
{
  switch (aOutcome) {
    case SubmissionOutcome::Accepted:
      return "accepted";
    case SubmissionOutcome::NotAccepted:
      return "not_accepted";
    case SubmissionOutcome::TooManyTasks:
      return "too_many_tasks";
    case SubmissionOutcome::IdInUse:
      return "id_in_use";
    case SubmissionOutcome::Unknown:
      break;
  }
  return "unknown";
}

const char*
OutcomeName(CancelOutcome aOutcome)
{
  switch (aOutcome) {
    case CancelOutcome::Cancelled:
      return "cancelled";
    case CancelOutcome::NoSuchJob:
      return "no_such_job";
    case CancelOutcome::Unknown:
      break;
  }
  return "unknown";
}

std::int64_t
ElapsedMs(const Clock& aClock, TimePoint aSince)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aClock.Now() -
                                                               aSince)
    .count();
}

/** Formats the capacity of a cell and its reserved, long-running and filler
 * load for a log line, in cores separated by slashes. */
std::string
LoadText(const std::optional<CellLoad>& aLoad)
{
  if (!aLoad) {
    return "unknown";
  }
  constexpr std::uint64_t kMilli = 1000;
  return std::to_string(aLoad->capacityCpuMilli / kMilli) + "/" +
         std::to_string(aLoad->reservedCpuMilli / kMilli) + "/" +
         std::to_string(aLoad->longRunningCpuMilli / kMilli) + "/" +
         std::to_string(aLoad->fillerCpuMilli / kMilli);
}

asio::awaitable<WorkflowReply>
AnswerOnStrand(std::shared_ptr<CellOwnerElector> aCell, WorkflowQuery aQuery)
{
  co_return aCell->Answer(aQuery);
}

asio::awaitable<std::optional<CellOwnerRecord>>
OwnerOnStrand(std::shared_ptr<CellOwnerElector> aCell)
{
  co_return aCell->Owner();
}

} // namespace

WorkflowGateway::WorkflowGateway(
  TransactionalStore& aStore,
  PeerClient& aPeers,
  NodeDirectory& aNodes,
  std::vector<std::shared_ptr<CellOwnerElector>> aCells,
  const StoreReachability& aReachability,
  SchedulerMetrics& aMetrics,
  const Clock& aClock,
  std::uint64_t aMaxTasks,
  const ActiveQueues* aQueues)
  : store(aStore)
  , peers(aPeers)
  , nodes(aNodes)
  , cells(std::move(aCells))
  , reachability(aReachability)
  , metrics(aMetrics)
  , clock(aClock)
  , queues(aQueues)
{
  this->onlyLoad.maxTasks = aMaxTasks;
}

bool
WorkflowGateway::IsOtherQueue(const std::string& aRecorded,
                              const std::string& aQueue) const
{
  if (this->queues == nullptr || aQueue.empty() || aRecorded == aQueue) {
    return false;
  }
  const std::shared_ptr<const QueueTable> table = this->queues->Get();
  return table && std::any_of(table->queues.begin(),
                              table->queues.end(),
                              [&aRecorded](const QueueRule& aRule) {
                                return aRule.name == aRecorded;
                              });
}

SubmissionOutcome
WorkflowGateway::OutcomeOfConflict(const WorkflowSubmission& aSubmission,
                                   std::span<const StoreItem> aItems) const
{
  for (const StoreItem& item : aItems) {
    // Submissions and progress records both name the queue.
    const auto record = DecodeRecord<WorkflowProgress>(item);
    if (record && this->IsOtherQueue(record->queue, aSubmission.queue)) {
      return SubmissionOutcome::IdInUse;
    }
  }
  return SubmissionOutcome::Accepted;
}

std::vector<std::uint32_t>
WorkflowGateway::CandidateCellsOf(const std::string& aJob) const
{
  return CandidateCells(aJob, static_cast<std::uint32_t>(this->cells.size()));
}

bool
WorkflowGateway::KnownToHaveRoomFor(std::uint64_t aTasks)
{
  const std::lock_guard lock(this->mutex);
  if (this->clock.Now() - this->onlyLoadAt >= kLoadLifetime) {
    return false;
  }
  CellLoad load = this->onlyLoad;
  const std::uint64_t left =
    load.maxTasks - std::min(load.tasks, load.maxTasks);
  const std::uint64_t submitted = this->submittedSince + aTasks;
  if (load.maxTasks > 0 && submitted > left / kSubmittedPart) {
    return false;
  }
  load.tasks += this->submittedSince;
  if (!HasRoomFor(load, aTasks)) {
    return false;
  }
  this->submittedSince = submitted;
  return true;
}

asio::awaitable<bool>
WorkflowGateway::OnlyCellHasRoomFor(std::uint64_t aTasks, TimePoint aDeadline)
{
  if (this->KnownToHaveRoomFor(aTasks)) {
    co_return true;
  }
  const TimePoint limit =
    std::min(aDeadline, this->clock.Now() + kLoadTimeout + kResponseReserve);
  const WorkflowQuery query{ 0, "", "" };
  const std::optional<WorkflowReply> reply =
    co_await this->QueryOwner(query, limit);
  const std::lock_guard lock(this->mutex);
  // While no owner answers, what was submitted here adds up.
  if (reply) {
    this->onlyLoad = reply->load;
    this->submittedSince = 0;
  }
  this->onlyLoadAt = this->clock.Now();
  CellLoad load = this->onlyLoad;
  load.tasks += this->submittedSince;
  const bool room = HasRoomFor(load, aTasks);
  this->submittedSince += room ? aTasks : 0;
  co_return room;
}

asio::awaitable<SubmissionOutcome>
WorkflowGateway::RefuseUnlessStored(const WorkflowSubmission& aSubmission,
                                    TimePoint aDeadline)
{
  const std::optional<WorkflowState> state =
    co_await this->StateInStore(aSubmission.id, aDeadline, aSubmission.queue);
  if (!state) {
    co_return SubmissionOutcome::Unknown;
  }
  co_return *state == WorkflowState::Unknown ? SubmissionOutcome::TooManyTasks
                                             : SubmissionOutcome::Accepted;
}

asio::awaitable<std::optional<std::uint32_t>>
WorkflowGateway::ChooseCell(const WorkflowSubmission& aSubmission,
                            TimePoint aDeadline)
{
  const std::vector<std::uint32_t> candidates =
    this->CandidateCellsOf(aSubmission.id);
  const std::uint64_t tasks = CountTasks(aSubmission);
  std::optional<std::uint32_t> cell;
  if (candidates.size() == 1) {
    if (co_await this->OnlyCellHasRoomFor(tasks, aDeadline)) {
      cell = candidates.front();
    }
    co_return cell;
  }
  std::vector<std::optional<CellLoad>> loads;
  for (const std::uint32_t cell : candidates) {
    const TimePoint limit =
      std::min(aDeadline, this->clock.Now() + kLoadTimeout + kResponseReserve);
    const WorkflowQuery query{ cell, "", "" };
    const std::optional<WorkflowReply> reply =
      co_await this->QueryOwner(query, limit);
    loads.push_back(reply ? std::optional(reply->load) : std::nullopt);
  }
  std::vector<std::uint32_t> full;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    if (loads[i] && !HasRoomFor(*loads[i], tasks)) {
      loads[i].reset();
      full.push_back(candidates[i]);
    }
  }
  if (full.size() == candidates.size()) {
    co_return cell;
  }
  const std::size_t unanswered =
    full == std::vector{ candidates.front() } ? 1 : 0;
  const std::size_t chosen =
    ChooseCandidate(loads, aSubmission).value_or(unanswered);
  Event("cell_chosen")
    .Add("job", aSubmission.id)
    .Add("cell", candidates[chosen])
    .Add("other", candidates[1 - chosen])
    .Add("load", LoadText(loads[chosen]))
    .Add("other_load", LoadText(loads[1 - chosen]));
  cell = candidates[chosen];
  co_return cell;
}

Duration
WorkflowGateway::TimeLeft(TimePoint aDeadline) const
{
  return aDeadline - kResponseReserve - this->clock.Now();
}

asio::awaitable<SubmissionOutcome>
WorkflowGateway::TryStore(const WorkflowSubmission& aSubmission,
                          std::uint32_t aCell,
                          TransferTimeout aTimeout)
{
  StoreTransaction change;
  // The id must be new in every candidate cell, because another entry process
  // may have chosen the other candidate for the same job and stored it there.
  for (const std::uint32_t cell : this->CandidateCellsOf(aSubmission.id)) {
    const WorkflowKeys keys(cell);
    change.expect.push_back({ keys.Job(aSubmission.id), kAbsentVersion });
    change.expect.push_back({ keys.Progress(aSubmission.id), kAbsentVersion });
  }
  change.puts.push_back({ WorkflowKeys(aCell).Job(aSubmission.id),
                          nlohmann::json(aSubmission).dump() });
  const StoreTransactionReply reply =
    co_await this->store.Commit(change, aTimeout);
  switch (reply.result) {
    case StoreResult::Ok:
      co_return SubmissionOutcome::Accepted;
    case StoreResult::Conflict:
      co_return this->OutcomeOfConflict(aSubmission, reply.current);
    case StoreResult::Unavailable:
      co_return SubmissionOutcome::NotAccepted;
    case StoreResult::Unknown:
      break;
  }
  co_return SubmissionOutcome::Unknown;
}

template<class Message>
asio::awaitable<RelayOutcome>
WorkflowGateway::Relay(PeerMessage aKind, Message aMessage, TimePoint aDeadline)
{
  const std::optional<NodeRecord> peer = this->nodes.NextOther();
  if (!peer || this->TimeLeft(aDeadline) <= Duration::zero()) {
    co_return RelayOutcome::NotStored;
  }
  const Endpoint endpoint{ peer->address, peer->port };
  const TransferTimeout timeout =
    TransferTimeout::Silence(kRelayTimeout).Within(this->TimeLeft(aDeadline));
  const PeerReply bytes = co_await this->peers.Call(
    endpoint, aKind, EncodeMessage(aMessage), timeout);
  const auto reply = bytes ? DecodeMessage<RelayReply>(*bytes) : std::nullopt;
  if (reply) {
    co_return reply->outcome;
  }
  co_return bytes.mayHaveArrived ? RelayOutcome::Unknown
                                 : RelayOutcome::NotStored;
}

asio::awaitable<RelayOutcome>
WorkflowGateway::StoreForPeer(WorkflowSubmission aSubmission,
                              Duration aTransferTime)
{
  if (this->reachability.StoreUnreachable()) {
    co_return RelayOutcome::NotStored;
  }
  const TimePoint deadline =
    this->clock.Now() + kRelayTimeout + aTransferTime + kResponseReserve;
  const std::optional<std::uint32_t> cell =
    co_await this->ChooseCell(aSubmission, deadline);
  if (!cell) {
    co_return RelayOutcome::NotStored;
  }
  const SubmissionOutcome outcome =
    co_await this->TryStore(aSubmission, *cell, this->TimeLeft(deadline));
  switch (outcome) {
    case SubmissionOutcome::Accepted:
      co_return RelayOutcome::Stored;
    case SubmissionOutcome::NotAccepted:
    case SubmissionOutcome::TooManyTasks:
    case SubmissionOutcome::IdInUse:
      co_return RelayOutcome::NotStored;
    case SubmissionOutcome::Unknown:
      break;
  }
  co_return RelayOutcome::Unknown;
}

asio::awaitable<SubmissionOutcome>
WorkflowGateway::Submit(WorkflowSubmission aSubmission, TimePoint aDeadline)
{
  const TimePoint begun = this->clock.Now();
  bool mayBeStored = false;
  int attempts = 0;
  int relays = 0;
  SubmissionOutcome outcome = SubmissionOutcome::NotAccepted;
  std::uint32_t cell = this->CandidateCellsOf(aSubmission.id).front();
  bool room = true;
  if (!this->reachability.StoreUnreachable()) {
    const std::optional<std::uint32_t> chosen =
      co_await this->ChooseCell(aSubmission, aDeadline);
    room = chosen.has_value();
    cell = chosen.value_or(cell);
  }
  if (!room) {
    outcome = co_await this->RefuseUnlessStored(aSubmission, aDeadline);
  }
  // Every attempt is conditional on the id being new, so a late execution of an
  // earlier attempt cannot store the job twice.
  while (room && this->TimeLeft(aDeadline) > Duration::zero()) {
    const bool lost = this->reachability.StoreUnreachable();
    if (!lost) {
      ++attempts;
      const TransferTimeout timeout =
        kStoreCallTimeout.Within(this->TimeLeft(aDeadline));
      outcome = co_await this->TryStore(aSubmission, cell, timeout);
      if (outcome == SubmissionOutcome::Accepted ||
          outcome == SubmissionOutcome::IdInUse) {
        break;
      }
      mayBeStored = mayBeStored || outcome == SubmissionOutcome::Unknown;
    }
    // Relays the submission through another host, which the store may still
    // serve while it rejects calls of this one.
    ++relays;
    const RelayOutcome relayed = co_await this->Relay(
      PeerMessage::RelaySubmission, aSubmission, aDeadline);
    if (relayed == RelayOutcome::Stored) {
      outcome = SubmissionOutcome::Accepted;
      break;
    }
    mayBeStored = mayBeStored || relayed == RelayOutcome::Unknown;
    // Stops retrying early if the job is known not to be stored, since a prompt
    // refusal serves the caller best. An unknown outcome justifies longer
    // retries.
    Duration limit =
      mayBeStored ? Duration(kUnknownRetryLimit) : kNotStoredRetryLimit;
    if (lost && !mayBeStored) {
      limit = Duration::zero();
    }
    if (this->clock.Now() - begun >= limit) {
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetryDelay);
  }
  if (room && outcome != SubmissionOutcome::Accepted &&
      outcome != SubmissionOutcome::IdInUse) {
    outcome =
      mayBeStored ? SubmissionOutcome::Unknown : SubmissionOutcome::NotAccepted;
  }
  const char* const name = OutcomeName(outcome);
  this->metrics.CallerAnswered("submit", name, this->clock.Now() - begun);
  Event("submission")
    .Add("job", aSubmission.id)
    .Add("queue", aSubmission.queue)
    .Add("cell", cell)
    .Add("outcome", name)
    .Add("attempts", attempts)
    .Add("relays", relays)
    .Add("elapsed_ms", ElapsedMs(this->clock, begun));
  co_return outcome;
}

asio::awaitable<std::optional<WorkflowReply>>
WorkflowGateway::QueryOwner(WorkflowQuery aQuery, TimePoint aDeadline)
{
  const std::shared_ptr<CellOwnerElector> cell = this->cells[aQuery.cell];
  const WorkflowReply own = co_await asio::co_spawn(
    cell->Strand(), AnswerOnStrand(cell, aQuery), asio::use_awaitable);
  if (own.isOwner) {
    co_return own;
  }
  const std::optional<CellOwnerRecord> owner = co_await asio::co_spawn(
    cell->Strand(), OwnerOnStrand(cell), asio::use_awaitable);
  if (!owner || this->TimeLeft(aDeadline) <= Duration::zero()) {
    co_return std::nullopt;
  }
  // Arguments of aggregate type are named variables, because g++ 12 destroys an
  // aggregate that is made within a co_await expression twice.
  const Endpoint endpoint{ owner->address, owner->port };
  const Duration timeout =
    std::min<Duration>(kOwnerTimeout, this->TimeLeft(aDeadline));
  const PeerReply bytes = co_await this->peers.Call(
    endpoint, PeerMessage::QueryWorkflow, EncodeMessage(aQuery), timeout);
  const std::optional<WorkflowReply> reply =
    bytes ? DecodeMessage<WorkflowReply>(*bytes) : std::nullopt;
  if (!reply || !reply->isOwner) {
    co_return std::nullopt;
  }
  co_return reply;
}

asio::awaitable<StoreRangeReply>
WorkflowGateway::GetFromStore(std::string aKey, TimePoint aDeadline)
{
  StoreRangeReply read;
  while (this->TimeLeft(aDeadline) > Duration::zero()) {
    read = co_await this->store.Get(
      aKey, kStoreCallTimeout.Within(this->TimeLeft(aDeadline)));
    if (read.result == StoreResult::Ok) {
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetryDelay);
  }
  co_return read;
}

asio::awaitable<std::optional<WorkflowState>>
WorkflowGateway::StateInStore(std::string aJob,
                              TimePoint aDeadline,
                              std::string aQueue)
{
  for (const std::uint32_t cell : this->CandidateCellsOf(aJob)) {
    const WorkflowKeys keys(cell);
    // The submission is read before the progress. Since the submission is
    // deleted only when the final state is written to the progress, at least
    // one of the two reads finds a job that exists.
    const StoreRangeReply submission =
      co_await this->GetFromStore(keys.Job(aJob), aDeadline);
    if (submission.result != StoreResult::Ok) {
      co_return std::nullopt;
    }
    const StoreRangeReply read =
      co_await this->GetFromStore(keys.Progress(aJob), aDeadline);
    if (read.result != StoreResult::Ok) {
      co_return std::nullopt;
    }
    if (read.items.empty() && submission.items.empty()) {
      continue;
    }
    if (read.items.empty()) {
      const auto job =
        DecodeRecord<WorkflowSubmission>(submission.items.front());
      const bool other = job && (job->partial || !job->part.empty() ||
                                 this->IsOtherQueue(job->queue, aQueue));
      if (other) {
        continue;
      }
      co_return WorkflowState::Queued;
    }
    const auto progress = DecodeRecord<WorkflowProgress>(read.items.front());
    if (!progress) {
      co_return std::nullopt;
    }
    if (progress->partial || this->IsOtherQueue(progress->queue, aQueue)) {
      continue;
    }
    co_return progress->state;
  }
  co_return WorkflowState::Unknown;
}

asio::awaitable<std::optional<WorkflowState>>
WorkflowGateway::State(std::string aJob,
                       TimePoint aDeadline,
                       std::string aQueue)
{
  const TimePoint begun = this->clock.Now();
  std::optional<WorkflowState> state;
  int answers = 0;
  for (const std::uint32_t cell : this->CandidateCellsOf(aJob)) {
    const WorkflowQuery query{ cell, aJob, "" };
    const std::optional<WorkflowReply> reply =
      co_await this->QueryOwner(query, aDeadline);
    answers += reply ? 1 : 0;
    if (reply && reply->state != WorkflowState::Unknown &&
        !this->IsOtherQueue(reply->queue, aQueue)) {
      state = reply->state;
      break;
    }
  }
  if (!state) {
    // The owner may not have received a job that was just accepted.
    state = co_await this->StateInStore(aJob, aDeadline, aQueue);
  }
  this->metrics.CallerAnswered("state",
                               state ? std::string_view(ToString(*state))
                                     : std::string_view("unreadable"),
                               this->clock.Now() - begun);
  if (!state || *state == WorkflowState::Unknown) {
    Event("state_not_found")
      .Add("job", aJob)
      .Add("owners_answered", answers)
      .Add("store_answered", state.has_value());
  }
  co_return state;
}

asio::awaitable<CancelOutcome>
WorkflowGateway::TryCancel(std::string aJob,
                           TimePoint aDeadline,
                           std::string aQueue)
{
  const TransferTimeout timeout =
    kStoreCallTimeout.Within(this->TimeLeft(aDeadline));
  // Other cells may have a part of the job. The record of the job's own cell
  // lists them, and is rewritten before another cell gets a part. The
  // cancellation is written for all of them in one transaction, which expects
  // the record as it was read.
  StoreTransaction change;
  std::set<std::uint32_t> cancelled;
  for (const std::uint32_t cell : this->CandidateCellsOf(aJob)) {
    const WorkflowKeys keys(cell);
    const StoreRangeReply read =
      co_await this->store.Get(keys.Job(aJob), timeout);
    if (read.result != StoreResult::Ok) {
      co_return CancelOutcome::Unknown;
    }
    if (read.items.empty()) {
      change.expect.push_back({ keys.Job(aJob), kAbsentVersion });
      continue;
    }
    change.expect.push_back({ keys.Job(aJob), read.items.front().revision });
    const auto job = DecodeRecord<WorkflowSubmission>(read.items.front());
    if (job && this->IsOtherQueue(job->queue, aQueue)) {
      continue;
    }
    cancelled.insert(cell);
    if (job) {
      cancelled.insert(job->partCells.begin(), job->partCells.end());
    }
  }
  for (const std::uint32_t cell : cancelled) {
    change.puts.push_back({ WorkflowKeys(cell).Cancellation(aJob), "{}" });
  }
  if (!change.puts.empty()) {
    const StoreTransactionReply reply =
      co_await this->store.Commit(change, timeout);
    co_return reply.result == StoreResult::Ok ? CancelOutcome::Cancelled
                                              : CancelOutcome::Unknown;
  }
  const auto state = co_await this->StateInStore(aJob, aDeadline, aQueue);
  if (!state) {
    co_return CancelOutcome::Unknown;
  }
  // A job that has ended cannot be cancelled any more and keeps its final
  // state.
  co_return *state == WorkflowState::Unknown ? CancelOutcome::NoSuchJob
                                             : CancelOutcome::Cancelled;
}

asio::awaitable<RelayOutcome>
WorkflowGateway::CancelForPeer(std::string aJob, std::string aQueue)
{
  const TimePoint deadline =
    this->clock.Now() + kRelayTimeout + kResponseReserve;
  const CancelOutcome outcome =
    co_await this->TryCancel(std::move(aJob), deadline, std::move(aQueue));
  switch (outcome) {
    case CancelOutcome::Cancelled:
      co_return RelayOutcome::Stored;
    case CancelOutcome::NoSuchJob:
      co_return RelayOutcome::NoSuchJob;
    case CancelOutcome::Unknown:
      break;
  }
  co_return RelayOutcome::Unknown;
}

asio::awaitable<CancelOutcome>
WorkflowGateway::Cancel(std::string aJob,
                        TimePoint aDeadline,
                        std::string aQueue)
{
  const TimePoint begun = this->clock.Now();
  CancelOutcome outcome = CancelOutcome::Unknown;
  while (outcome == CancelOutcome::Unknown &&
         this->TimeLeft(aDeadline) > Duration::zero()) {
    outcome = co_await this->TryCancel(aJob, aDeadline, aQueue);
    if (outcome != CancelOutcome::Unknown) {
      break;
    }
    const RelayCancel message{ aJob, aQueue };
    const RelayOutcome relayed =
      co_await this->Relay(PeerMessage::RelayCancellation, message, aDeadline);
    if (relayed == RelayOutcome::Stored) {
      outcome = CancelOutcome::Cancelled;
      break;
    }
    if (relayed == RelayOutcome::NoSuchJob) {
      outcome = CancelOutcome::NoSuchJob;
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetryDelay);
  }
  const char* const name = OutcomeName(outcome);
  this->metrics.CallerAnswered("cancel", name, this->clock.Now() - begun);
  Event("cancellation")
    .Add("job", aJob)
    .Add("outcome", name)
    .Add("elapsed_ms", ElapsedMs(this->clock, begun));
  co_return outcome;
}

asio::awaitable<std::optional<std::uint64_t>>
WorkflowGateway::PendingJobCount(std::string aQueue, TimePoint aDeadline)
{
  std::uint64_t sum = 0;
  for (std::uint32_t cell = 0; cell < this->cells.size(); ++cell) {
    std::optional<WorkflowReply> reply;
    while (!reply && this->TimeLeft(aDeadline) > Duration::zero()) {
      const WorkflowQuery query{ cell, "", aQueue };
      reply = co_await this->QueryOwner(query, aDeadline);
      if (!reply) {
        co_await SleepFor(co_await asio::this_coro::executor, kStoreRetryDelay);
      }
    }
    if (!reply) {
      co_return std::nullopt;
    }
    sum += reply->pending;
  }
  co_return sum;
}

void
RegisterWorkflowHandlers(PeerServer& aServer,
                         WorkflowGateway& aGateway,
                         std::vector<std::shared_ptr<CellOwnerElector>> aCells)
{
  aServer.Handle(
    PeerMessage::QueryWorkflow,
    [cells =
       std::move(aCells)](std::string aBytes) -> asio::awaitable<std::string> {
      const auto query = DecodeMessage<WorkflowQuery>(aBytes);
      WorkflowReply reply;
      if (query && query->cell < cells.size()) {
        const std::shared_ptr<CellOwnerElector> cell = cells[query->cell];
        reply = co_await asio::co_spawn(
          cell->Strand(), AnswerOnStrand(cell, *query), asio::use_awaitable);
      }
      co_return EncodeMessage(reply);
    });
  aServer.Handle(
    PeerMessage::RelaySubmission,
    [&aGateway](std::string aBytes) -> asio::awaitable<std::string> {
      auto submission = DecodeMessage<WorkflowSubmission>(aBytes);
      RelayReply reply{ RelayOutcome::NotStored };
      if (submission && CheckSubmission(*submission).empty()) {
        reply.outcome = co_await aGateway.StoreForPeer(
          std::move(*submission), TimeToSend(aBytes.size()));
      }
      co_return EncodeMessage(reply);
    });
  aServer.Handle(
    PeerMessage::RelayCancellation,
    [&aGateway](std::string aBytes) -> asio::awaitable<std::string> {
      const auto message = DecodeMessage<RelayCancel>(aBytes);
      RelayReply reply{ RelayOutcome::NotStored };
      if (message) {
        reply.outcome =
          co_await aGateway.CancelForPeer(message->id, message->queue);
      }
      co_return EncodeMessage(reply);
    });
}

} // namespace sequoiakeel
