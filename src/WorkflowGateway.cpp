#include "WorkflowGateway.h"

#include "Log.h"
#include "PeerCodec.h"
#include "generated/WorkflowJson.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <xxhash.h>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Longest wait for one answer of the store, so that a call on a silent
 * connection leaves time for another one. */
constexpr std::chrono::milliseconds kStoreCallTimeout{ 900 };

/** An owner answers within a few milliseconds; after this time the store is
 * asked instead. */
constexpr std::chrono::milliseconds kOwnerTimeout{ 250 };

constexpr std::chrono::milliseconds kStoreRetry{ 60 };

/** Time before the deadline that is kept for the response. */
constexpr std::chrono::milliseconds kResponseReserve{ 60 };

asio::awaitable<WorkflowReply>
AnswerOnStrand(std::shared_ptr<CellService> aCell, WorkflowQuery aQuery)
{
  co_return aCell->Answer(aQuery);
}

asio::awaitable<std::optional<CellOwnerRecord>>
OwnerOnStrand(std::shared_ptr<CellService> aCell)
{
  co_return aCell->Owner();
}

} // namespace

WorkflowGateway::WorkflowGateway(
  TransactionalStore& aStore,
  PeerClient& aPeers,
  std::vector<std::shared_ptr<CellService>> aCells,
  const Clock& aClock)
  : store(aStore)
  , peers(aPeers)
  , cells(std::move(aCells))
  , clock(aClock)
{
}

std::uint32_t
WorkflowGateway::CellOf(const std::string& aJob) const
{
  const std::uint64_t hash = XXH64(aJob.data(), aJob.size(), 0);
  return static_cast<std::uint32_t>(hash % this->cells.size());
}

Duration
WorkflowGateway::Left(TimePoint aDeadline) const
{
  return aDeadline - kResponseReserve - this->clock.Now();
}

asio::awaitable<SubmissionOutcome>
WorkflowGateway::Submit(WorkflowSubmission aSubmission, TimePoint aDeadline)
{
  const WorkflowKeys keys(this->CellOf(aSubmission.id));
  StoreTransaction change;
  change.expect = { { keys.Job(aSubmission.id), kAbsentVersion },
                    { keys.Progress(aSubmission.id), kAbsentVersion } };
  change.puts = { { keys.Job(aSubmission.id),
                    nlohmann::json(aSubmission).dump() } };
  bool mayBeStored = false;
  int calls = 0;
  SubmissionOutcome outcome = SubmissionOutcome::NotAccepted;
  while (this->Left(aDeadline) > Duration::zero()) {
    ++calls;
    const StoreTransactionReply reply = co_await this->store.Commit(
      change, std::min<Duration>(kStoreCallTimeout, this->Left(aDeadline)));
    if (reply.result == StoreResult::Ok ||
        reply.result == StoreResult::Conflict) {
      outcome = SubmissionOutcome::Accepted;
      break;
    }
    mayBeStored = mayBeStored || reply.result == StoreResult::Unknown;
    outcome =
      mayBeStored ? SubmissionOutcome::Unknown : SubmissionOutcome::NotAccepted;
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
  }
  Event("submission")
    .Add("job", aSubmission.id)
    .Add("queue", aSubmission.queue)
    .Add("outcome",
         outcome == SubmissionOutcome::Accepted      ? "accepted"
         : outcome == SubmissionOutcome::NotAccepted ? "not_accepted"
                                                     : "unknown")
    .Add("store_calls", calls);
  co_return outcome;
}

asio::awaitable<std::optional<WorkflowReply>>
WorkflowGateway::AskOwner(WorkflowQuery aQuery, TimePoint aDeadline)
{
  const std::shared_ptr<CellService> cell = this->cells[aQuery.cell];
  const WorkflowReply own = co_await asio::co_spawn(
    cell->Strand(), AnswerOnStrand(cell, aQuery), asio::use_awaitable);
  if (own.isOwner) {
    co_return own;
  }
  const std::optional<CellOwnerRecord> owner = co_await asio::co_spawn(
    cell->Strand(), OwnerOnStrand(cell), asio::use_awaitable);
  if (!owner || this->Left(aDeadline) <= Duration::zero()) {
    co_return std::nullopt;
  }
  // g++ 12 destroys an aggregate that is made within a co_await expression
  // twice, so such arguments have names.
  const Endpoint endpoint{ owner->address, owner->port };
  const Duration timeout =
    std::min<Duration>(kOwnerTimeout, this->Left(aDeadline));
  const std::optional<std::string> bytes = co_await this->peers.Call(
    endpoint, PeerMessage::QueryWorkflow, EncodeMessage(aQuery), timeout);
  const std::optional<WorkflowReply> reply =
    bytes ? DecodeMessage<WorkflowReply>(*bytes) : std::nullopt;
  if (!reply || !reply->isOwner) {
    co_return std::nullopt;
  }
  co_return reply;
}

asio::awaitable<std::optional<WorkflowState>>
WorkflowGateway::StateInStore(std::string aJob, TimePoint aDeadline)
{
  const WorkflowKeys keys(this->CellOf(aJob));
  bool submitted = false;
  // The submission is read first: it goes only when the end is written.
  const std::vector<std::string> order{ keys.Job(aJob), keys.Progress(aJob) };
  for (const std::string& key : order) {
    StoreRangeReply read;
    while (this->Left(aDeadline) > Duration::zero()) {
      read = co_await this->store.Get(
        key, std::min<Duration>(kStoreCallTimeout, this->Left(aDeadline)));
      if (read.result == StoreResult::Ok) {
        break;
      }
      co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
    }
    if (read.result != StoreResult::Ok) {
      co_return std::nullopt;
    }
    if (read.items.empty()) {
      continue;
    }
    if (key == keys.Job(aJob)) {
      submitted = true;
      continue;
    }
    try {
      const auto progress =
        nlohmann::json::parse(read.items.front().value).get<WorkflowProgress>();
      co_return progress.state;
    } catch (const std::exception& error) {
      Event("record_unreadable", LogLevel::Error)
        .Add("key", key)
        .Add("error", error.what());
      co_return std::nullopt;
    }
  }
  co_return submitted ? WorkflowState::Queued : WorkflowState::Unknown;
}

asio::awaitable<std::optional<WorkflowState>>
WorkflowGateway::State(std::string aJob, TimePoint aDeadline)
{
  const WorkflowQuery query{ this->CellOf(aJob), aJob, "" };
  const std::optional<WorkflowReply> reply =
    co_await this->AskOwner(query, aDeadline);
  if (reply && reply->state != WorkflowState::Unknown) {
    co_return reply->state;
  }
  // The owner may not have seen a job that was just accepted.
  co_return co_await this->StateInStore(aJob, aDeadline);
}

asio::awaitable<CancelOutcome>
WorkflowGateway::Cancel(std::string aJob, TimePoint aDeadline)
{
  const WorkflowKeys keys(this->CellOf(aJob));
  CancelOutcome outcome = CancelOutcome::Unknown;
  while (this->Left(aDeadline) > Duration::zero()) {
    const StoreRangeReply read = co_await this->store.Get(
      keys.Job(aJob),
      std::min<Duration>(kStoreCallTimeout, this->Left(aDeadline)));
    if (read.result != StoreResult::Ok) {
      co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
      continue;
    }
    if (read.items.empty()) {
      const auto state = co_await this->StateInStore(aJob, aDeadline);
      if (state) {
        // A job that has ended cannot be cancelled any more; its end stands.
        outcome = *state == WorkflowState::Unknown ? CancelOutcome::NoSuchJob
                                                   : CancelOutcome::Cancelled;
      }
      break;
    }
    StoreTransaction change;
    change.expect = { { keys.Job(aJob), read.items.front().revision } };
    change.puts = { { keys.Cancellation(aJob), "{}" } };
    const StoreTransactionReply reply = co_await this->store.Commit(
      change, std::min<Duration>(kStoreCallTimeout, this->Left(aDeadline)));
    if (reply.result == StoreResult::Ok) {
      outcome = CancelOutcome::Cancelled;
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
  }
  Event("cancellation")
    .Add("job", aJob)
    .Add("outcome",
         outcome == CancelOutcome::Cancelled   ? "cancelled"
         : outcome == CancelOutcome::NoSuchJob ? "no_such_job"
                                               : "unknown");
  co_return outcome;
}

asio::awaitable<std::optional<std::uint64_t>>
WorkflowGateway::Pending(std::string aQueue, TimePoint aDeadline)
{
  std::uint64_t sum = 0;
  for (std::uint32_t cell = 0; cell < this->cells.size(); ++cell) {
    std::optional<WorkflowReply> reply;
    while (!reply && this->Left(aDeadline) > Duration::zero()) {
      const WorkflowQuery query{ cell, "", aQueue };
      reply = co_await this->AskOwner(query, aDeadline);
      if (!reply) {
        co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
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
ServeWorkflowQueries(PeerServer& aServer,
                     std::vector<std::shared_ptr<CellService>> aCells)
{
  aServer.Handle(
    PeerMessage::QueryWorkflow,
    [cells =
       std::move(aCells)](std::string aBytes) -> asio::awaitable<std::string> {
      const auto query = DecodeMessage<WorkflowQuery>(aBytes);
      WorkflowReply reply;
      if (query && query->cell < cells.size()) {
        const std::shared_ptr<CellService> cell = cells[query->cell];
        reply = co_await asio::co_spawn(
          cell->Strand(), AnswerOnStrand(cell, *query), asio::use_awaitable);
      }
      co_return EncodeMessage(reply);
    });
}

} // namespace sequoiakeel
