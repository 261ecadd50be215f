#include "support/FakePlanner.h"

#include "PeerCodec.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Wraps a function from message to reply in a peer handler that decodes the
 * message and encodes the reply. */
template<class Message, class Function>
PeerHandler
HandlerOf(Function aFunction)
{
  return [aFunction](std::string aBody) -> asio::awaitable<std::string> {
    const auto message = DecodeMessage<Message>(aBody);
    co_return EncodeMessage(aFunction(message.value()));
  };
}

} // namespace

FakePlanner::FakePlanner(asio::io_context& aContext,
                         std::string aName,
                         std::vector<std::string> aCells)
  : name(std::move(aName))
  , reported(aCells)
  , server(aContext, Endpoint{ "127.0.0.1", 0 })
  , owned(std::move(aCells))
{
  this->server.Handle(PeerMessage::SubmitJob,
                      HandlerOf<SubmitJob>([this](const SubmitJob& aJob) {
                        return this->Submit(aJob);
                      }));
  this->server.Handle(PeerMessage::CancelJob,
                      HandlerOf<CancelJob>([this](const CancelJob& aJob) {
                        return this->Cancel(aJob);
                      }));
  this->server.Handle(PeerMessage::QueryJob,
                      HandlerOf<QueryJob>([this](const QueryJob& aJob) {
                        return this->Query(aJob);
                      }));
  this->server.Handle(
    PeerMessage::PlannerStatus,
    HandlerOf<PlannerStatusRequest>(
      [this](const PlannerStatusRequest&) { return this->Status(); }));
  this->server.Start();
}

MemberRow
FakePlanner::Row() const
{
  MemberRow row;
  row.name = this->name;
  row.address = "127.0.0.1";
  row.port = this->server.Port();
  row.role = MemberRole::Planner;
  return row;
}

bool
FakePlanner::Owns(const std::string& aCell) const
{
  return std::find(this->owned.begin(), this->owned.end(), aCell) !=
         this->owned.end();
}

SubmitReply
FakePlanner::Submit(const SubmitJob& aJob)
{
  const std::lock_guard lock(this->mutex);
  SubmitReply reply;
  if (!this->Owns(aJob.cell)) {
    reply.outcome = SubmitOutcome::NotOwner;
    return reply;
  }
  if (!this->jobs.contains(aJob.jobId) && !this->refusal.empty()) {
    reply.outcome = SubmitOutcome::Refused;
    reply.reason = this->refusal;
    return reply;
  }
  this->jobs[aJob.jobId] = aJob.cell;
  if (this->loseReplies > 0) {
    --this->loseReplies;
    throw std::runtime_error("reply lost");
  }
  return reply;
}

SubmitReply
FakePlanner::Cancel(const CancelJob& aJob)
{
  const std::lock_guard lock(this->mutex);
  SubmitReply reply;
  if (!this->Owns(aJob.cell)) {
    reply.outcome = SubmitOutcome::NotOwner;
    return reply;
  }
  this->cancelled.push_back(aJob.jobId);
  return reply;
}

JobStatus
FakePlanner::Query(const QueryJob& aJob)
{
  const std::lock_guard lock(this->mutex);
  JobStatus status;
  if (!this->Owns(aJob.cell)) {
    status.reason = "not-owner";
    return status;
  }
  const auto move = this->moved.find(aJob.jobId);
  if (move != this->moved.end() && move->second != aJob.cell) {
    status.found = true;
    status.state = "moved";
    status.movedTo = move->second;
    return status;
  }
  status.found = this->jobs.contains(aJob.jobId) || move != this->moved.end();
  status.state = "running";
  return status;
}

PlannerStatusReply
FakePlanner::Status() const
{
  PlannerStatusReply reply;
  reply.planner = this->name;
  for (const std::string& cell : this->reported) {
    CellStatus& status = reply.cells.emplace_back();
    status.cell = cell;
    status.epoch = 1;
    status.free = Resources{ 8000, 8000, 0 };
    status.largestFree = Resources{ 4000, 4000, 0 };
  }
  return reply;
}

void
FakePlanner::LoseReplies(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->loseReplies = aCount;
}

void
FakePlanner::Refuse(const std::string& aReason)
{
  const std::lock_guard lock(this->mutex);
  this->refusal = aReason;
}

void
FakePlanner::SetOwned(std::vector<std::string> aCells)
{
  const std::lock_guard lock(this->mutex);
  this->owned = std::move(aCells);
}

void
FakePlanner::MoveJob(const std::string& aJobId, const std::string& aCell)
{
  const std::lock_guard lock(this->mutex);
  this->moved[aJobId] = aCell;
}

std::map<std::string, std::string>
FakePlanner::Jobs()
{
  const std::lock_guard lock(this->mutex);
  return this->jobs;
}

std::vector<std::string>
FakePlanner::Cancelled()
{
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

FixedMembership::FixedMembership(std::vector<MemberRow> aRows)
  : rows(std::move(aRows))
{
}

MemberRow
FixedMembership::OwnRow() const
{
  return this->rows.front();
}

std::vector<Member>
FixedMembership::Members() const
{
  std::vector<Member> members;
  for (const MemberRow& row : this->rows) {
    members.emplace_back().row = row;
  }
  return members;
}

StoreReports
FixedMembership::CountStoreReports(std::size_t) const
{
  return {};
}

void
FixedMembership::AnnounceGeneration(std::uint64_t)
{
}

} // namespace sequoiakeel
