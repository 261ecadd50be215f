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

/** Longest wait for one answer of the store. It is above the 0.3 s of the
 * store's slow spells and leaves time to ask another host. */
constexpr std::chrono::milliseconds kStoreCallTimeout{ 700 };

/** Longest wait for a peer that stores a change in our place. */
constexpr std::chrono::milliseconds kRelayTimeout{ 600 };

/** A submission that the store surely refuses is tried for this long. */
constexpr std::chrono::milliseconds kRefuseAfter{ 300 };

/** A submission that may have been stored is tried for this long, so that the
 * caller learns the outcome or can still turn to another host. */
constexpr std::chrono::milliseconds kSettleTime{ 1500 };

/** An owner answers within a few milliseconds; after this time the store is
 * asked instead. */
constexpr std::chrono::milliseconds kOwnerTimeout{ 250 };

/** Pause between attempts; calls that the store refuses are paid for too. */
constexpr std::chrono::milliseconds kStoreRetry{ 200 };

/** Time before the deadline that is kept for the response. */
constexpr std::chrono::milliseconds kResponseReserve{ 60 };

const char*
OutcomeName(SubmissionOutcome aOutcome)
{
  switch (aOutcome) {
    case SubmissionOutcome::Accepted:
      return "accepted";
    case SubmissionOutcome::NotAccepted:
      return "not_accepted";
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
  NodeDirectory& aNodes,
  std::vector<std::shared_ptr<CellService>> aCells,
  SchedulerMetrics& aMetrics,
  const Clock& aClock)
  : store(aStore)
  , peers(aPeers)
  , nodes(aNodes)
  , cells(std::move(aCells))
  , metrics(aMetrics)
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
WorkflowGateway::StoreOnce(const WorkflowSubmission& aSubmission,
                           Duration aTimeout)
{
  const WorkflowKeys keys(this->CellOf(aSubmission.id));
  StoreTransaction change;
  change.expect.push_back({ keys.Job(aSubmission.id), kAbsentVersion });
  change.expect.push_back({ keys.Progress(aSubmission.id), kAbsentVersion });
  change.puts.push_back(
    { keys.Job(aSubmission.id), nlohmann::json(aSubmission).dump() });
  const StoreTransactionReply reply =
    co_await this->store.Commit(change, aTimeout);
  switch (reply.result) {
    case StoreResult::Ok:
    case StoreResult::Conflict:
      co_return SubmissionOutcome::Accepted;
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
  const std::optional<NodeRecord> peer = this->nodes.AnyOther();
  if (!peer || this->Left(aDeadline) <= Duration::zero()) {
    co_return RelayOutcome::NotStored;
  }
  const Endpoint endpoint{ peer->address, peer->port };
  const Duration timeout =
    std::min<Duration>(kRelayTimeout, this->Left(aDeadline));
  const std::optional<std::string> bytes = co_await this->peers.Call(
    endpoint, aKind, EncodeMessage(aMessage), timeout);
  const auto reply = bytes ? DecodeMessage<RelayReply>(*bytes) : std::nullopt;
  co_return reply ? reply->outcome : RelayOutcome::Unknown;
}

asio::awaitable<RelayOutcome>
WorkflowGateway::StoreForPeer(WorkflowSubmission aSubmission)
{
  const SubmissionOutcome outcome =
    co_await this->StoreOnce(aSubmission, kRelayTimeout);
  switch (outcome) {
    case SubmissionOutcome::Accepted:
      co_return RelayOutcome::Stored;
    case SubmissionOutcome::NotAccepted:
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
  // Every attempt writes the same key under the same condition, so copies that
  // are carried out late do no harm.
  while (this->Left(aDeadline) > Duration::zero()) {
    ++attempts;
    const Duration timeout =
      std::min<Duration>(kStoreCallTimeout, this->Left(aDeadline));
    outcome = co_await this->StoreOnce(aSubmission, timeout);
    if (outcome == SubmissionOutcome::Accepted) {
      break;
    }
    mayBeStored = mayBeStored || outcome == SubmissionOutcome::Unknown;
    // The store may serve other hosts while it turns this one away.
    ++relays;
    const RelayOutcome relayed = co_await this->Relay(
      PeerMessage::RelaySubmission, aSubmission, aDeadline);
    if (relayed == RelayOutcome::Stored) {
      outcome = SubmissionOutcome::Accepted;
      break;
    }
    mayBeStored = mayBeStored || relayed == RelayOutcome::Unknown;
    // A refusal that is known to be one helps the caller most when it comes at
    // once; an unknown outcome is worth settling.
    const Duration limit = mayBeStored ? kSettleTime : kRefuseAfter;
    if (this->clock.Now() - begun > limit) {
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
  }
  if (outcome != SubmissionOutcome::Accepted) {
    outcome =
      mayBeStored ? SubmissionOutcome::Unknown : SubmissionOutcome::NotAccepted;
  }
  const char* const name = OutcomeName(outcome);
  this->metrics.CallerAnswered("submit", name, this->clock.Now() - begun);
  Event("submission")
    .Add("job", aSubmission.id)
    .Add("queue", aSubmission.queue)
    .Add("outcome", name)
    .Add("attempts", attempts)
    .Add("relays", relays)
    .Add("elapsed_ms", ElapsedMs(this->clock, begun));
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
  const TimePoint begun = this->clock.Now();
  const WorkflowQuery query{ this->CellOf(aJob), aJob, "" };
  const std::optional<WorkflowReply> reply =
    co_await this->AskOwner(query, aDeadline);
  std::optional<WorkflowState> state;
  if (reply && reply->state != WorkflowState::Unknown) {
    state = reply->state;
  } else {
    // The owner may not have seen a job that was just accepted.
    state = co_await this->StateInStore(aJob, aDeadline);
  }
  this->metrics.CallerAnswered("state",
                               state ? std::string_view(ToString(*state))
                                     : std::string_view("unreadable"),
                               this->clock.Now() - begun);
  if (!state || *state == WorkflowState::Unknown) {
    Event("state_not_found")
      .Add("job", aJob)
      .Add("owner_answered", reply.has_value())
      .Add("store_answered", state.has_value());
  }
  co_return state;
}

asio::awaitable<CancelOutcome>
WorkflowGateway::CancelOnce(std::string aJob, TimePoint aDeadline)
{
  const WorkflowKeys keys(this->CellOf(aJob));
  const Duration timeout =
    std::min<Duration>(kStoreCallTimeout, this->Left(aDeadline));
  const StoreRangeReply read =
    co_await this->store.Get(keys.Job(aJob), timeout);
  if (read.result != StoreResult::Ok) {
    co_return CancelOutcome::Unknown;
  }
  if (read.items.empty()) {
    const auto state = co_await this->StateInStore(aJob, aDeadline);
    if (!state) {
      co_return CancelOutcome::Unknown;
    }
    // A job that has ended cannot be cancelled any more; its end stands.
    co_return *state == WorkflowState::Unknown ? CancelOutcome::NoSuchJob
                                               : CancelOutcome::Cancelled;
  }
  StoreTransaction change;
  change.expect.push_back({ keys.Job(aJob), read.items.front().revision });
  change.puts.push_back({ keys.Cancellation(aJob), "{}" });
  const StoreTransactionReply reply =
    co_await this->store.Commit(change, timeout);
  co_return reply.result == StoreResult::Ok ? CancelOutcome::Cancelled
                                            : CancelOutcome::Unknown;
}

asio::awaitable<RelayOutcome>
WorkflowGateway::CancelForPeer(std::string aJob)
{
  const TimePoint deadline =
    this->clock.Now() + kRelayTimeout + kResponseReserve;
  const CancelOutcome outcome =
    co_await this->CancelOnce(std::move(aJob), deadline);
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
WorkflowGateway::Cancel(std::string aJob, TimePoint aDeadline)
{
  const TimePoint begun = this->clock.Now();
  CancelOutcome outcome = CancelOutcome::Unknown;
  while (outcome == CancelOutcome::Unknown &&
         this->Left(aDeadline) > Duration::zero()) {
    outcome = co_await this->CancelOnce(aJob, aDeadline);
    if (outcome != CancelOutcome::Unknown) {
      break;
    }
    const RelayCancel message{ aJob };
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
    co_await SleepFor(co_await asio::this_coro::executor, kStoreRetry);
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
ServeWorkflowPeers(PeerServer& aServer,
                   WorkflowGateway& aGateway,
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
  aServer.Handle(
    PeerMessage::RelaySubmission,
    [&aGateway](std::string aBytes) -> asio::awaitable<std::string> {
      auto submission = DecodeMessage<WorkflowSubmission>(aBytes);
      RelayReply reply{ RelayOutcome::NotStored };
      if (submission && CheckSubmission(*submission).empty()) {
        reply.outcome = co_await aGateway.StoreForPeer(std::move(*submission));
      }
      co_return EncodeMessage(reply);
    });
  aServer.Handle(
    PeerMessage::RelayCancellation,
    [&aGateway](std::string aBytes) -> asio::awaitable<std::string> {
      const auto message = DecodeMessage<RelayCancel>(aBytes);
      RelayReply reply{ RelayOutcome::NotStored };
      if (message) {
        reply.outcome = co_await aGateway.CancelForPeer(message->id);
      }
      co_return EncodeMessage(reply);
    });
}

} // namespace sequoiakeel
