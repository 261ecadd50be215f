#pragma once

#include "Clock.h"
#include "generated/Messages.h"
#include "generated/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel {

/** What a store command does. Put is a compare-and-swap. */
enum class StoreVerb : std::uint8_t
{
  Get,
  Range,
  Put,
  Delete,
};

/** One call to the store. */
struct StoreCommand
{
  std::uint64_t id = 0;
  StoreVerb verb = StoreVerb::Get;
  /** Key, or prefix of a range. */
  std::string key;
  std::string value;
  /** Version that a Put or Delete expects; 0: the key is absent. */
  std::int64_t expectedVersion = 0;
  /** Attach the key to the planner's store lease. */
  bool leased = false;
};

/** How a store call ended. */
enum class StoreStatus : std::uint8_t
{
  Ok,
  /** The comparison failed: another version was there. */
  Conflict,
  /** It may or may not have taken effect, now or later. */
  Unknown,
  /** It has not taken effect and will not. */
  Unavailable,
};

/** A key with its value and version. */
struct StoreRow
{
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

/** Result of one store command. The driver gives exactly one for each command;
 * a command that times out gets Unknown. */
struct StoreResult
{
  std::uint64_t id = 0;
  StoreStatus status = StoreStatus::Ok;
  /** Version after a Put. */
  std::int64_t version = 0;
  /** Rows of a Get (at most one) or Range. */
  std::vector<StoreRow> rows;
};

/** What a worker command does. */
enum class WorkerVerb : std::uint8_t
{
  Status,
  GrantLease,
  RenewLease,
  Start,
  MoveLease,
  Checkpoint,
  Throttle,
  Stop,
  Acknowledge,
};

/** One call to a worker's agent. */
struct WorkerCommand
{
  std::uint64_t id = 0;
  WorkerVerb verb = WorkerVerb::Status;
  std::string worker;
  std::string lease;
  std::string taskId;
  std::uint32_t attempt = 0;
  Resources resources;
  std::string kind;
  std::int64_t runTimeMs = 0;
  std::string checkpoint;
  std::string payload;
  std::uint32_t permille = 0;
  /** The driver compares this with its clock right before it sends; later than
   * this it sends nothing and answers NotSent. */
  TimePoint notAfter = TimePoint::max();
};

/** How a worker call ended. */
enum class WorkerCode : std::uint8_t
{
  Ok,
  /** 404 */
  NotFound,
  /** 409 */
  Conflict,
  /** 412 */
  LeaseExpired,
  /** 503 or another explicit refusal */
  Refused,
  /** It may or may not have taken effect, now or later. */
  Unknown,
  /** Nothing was sent. */
  NotSent,
};

/** State of a task at its worker. */
enum class ReportedState : std::uint8_t
{
  Running,
  Finished,
  Failed,
  Stopped,
};

/** A task in a worker's status. */
struct ReportedTask
{
  std::string taskId;
  std::uint32_t attempt = 0;
  std::string lease;
  ReportedState state = ReportedState::Running;
  std::uint32_t progressPermille = 0;
  std::string checkpoint;
  Resources usage;
  std::uint32_t slowdownPermille = 0;
};

/** A worker's status. */
struct WorkerReport
{
  std::string incarnation;
  Resources capacity;
  bool leaving = false;
  std::vector<std::string> leases;
  std::vector<ReportedTask> tasks;
};

/** Result of one worker command; the driver gives exactly one for each. */
struct WorkerResult
{
  std::uint64_t id = 0;
  WorkerCode code = WorkerCode::Ok;
  /** Of a status query. */
  WorkerReport report;
  /** Of a checkpoint. */
  std::string checkpoint;
  /** Of a stop. */
  ReportedState state = ReportedState::Stopped;
};

/** Answer to a caller's SubmitJob or CancelJob, by the token it came with. */
struct ClientReply
{
  std::uint64_t token = 0;
  SubmitReply reply;
};

/** Commands that decision code has issued and the driver has not yet taken. Not
 * thread safe. */
struct Outbox
{
  std::uint64_t nextId = 1;
  std::vector<StoreCommand> store;
  std::vector<WorkerCommand> workers;
  std::vector<ClientReply> replies;

  /** Adds a store command and returns its id. */
  std::uint64_t Send(StoreCommand aCommand)
  {
    aCommand.id = this->nextId++;
    this->store.push_back(std::move(aCommand));
    return this->store.back().id;
  }

  /** Adds a worker command and returns its id. */
  std::uint64_t Send(WorkerCommand aCommand)
  {
    aCommand.id = this->nextId++;
    this->workers.push_back(std::move(aCommand));
    return this->workers.back().id;
  }
};

} // namespace sequoiakeel
