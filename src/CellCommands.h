#pragma once

#include "Clock.h"
#include "KeyValueStore.h"
#include "WorkerAgent.h"
#include "generated/Messages.h"
#include "generated/Platform.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Operation of a store command. Put is a compare-and-swap. */
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
  /** Key; for a Range, the common prefix of the keys. */
  std::string key;
  std::string value;
  /** Version that the key must have for a Put or Delete to apply; 0 means that
   * the key must be absent. */
  std::uint64_t expectedVersion = 0;
  /** Store lease that a Put attaches the key to. */
  std::uint64_t lease = kNoLease;
};

/** Reply to one store command. The driver delivers exactly one per command; for
 * a command that timed out, its result is Unknown. */
struct StoreReply
{
  std::uint64_t id = 0;
  StoreResult result = StoreResult::Ok;
  /** Version after a Put. */
  std::uint64_t version = 0;
  /** Values read by a Get (at most one) or a Range. */
  std::vector<StoreValue> rows;
};

/** Operation of a worker command. */
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
  /** Endpoint of the worker's agent. */
  Endpoint endpoint;
  std::string lease;
  std::string taskId;
  /** Arguments of a Start, including its task and lease; the agent is sent
   * these, not the fields lease and taskId above. */
  StartTask start;
  std::uint32_t permille = 0;
  /** Deadline for sending. The driver compares it with its clock right before
   * it sends; past the deadline it sends nothing and replies NotSent. */
  TimePoint notAfter = TimePoint::max();
};

/** Reply to one worker command; the driver delivers exactly one per command. */
struct WorkerReply
{
  std::uint64_t id = 0;
  AgentResult result = AgentResult::Ok;
  /** Set in the reply to a Status. */
  WorkerStatus status;
  /** Set in the reply to a Checkpoint. */
  std::string checkpoint;
  /** State of the task; set in the reply to a Stop. */
  WorkerTaskState state = WorkerTaskState::Stopped;
};

/** Finds an attempt of a task in a worker's status. Returns null if it is not
 * listed; otherwise the result points into aStatus. Thread safe. */
inline const WorkerTask*
FindListed(const WorkerStatus& aStatus,
           const std::string& aTaskId,
           std::uint64_t aAttempt)
{
  const auto found =
    std::ranges::find_if(aStatus.tasks, [&](const WorkerTask& aTask) {
      return aTask.taskId == aTaskId && aTask.attempt == aAttempt;
    });
  return found == aStatus.tasks.end() ? nullptr : &*found;
}

/** Reply to a caller's SubmitJob or CancelJob; the token is the one that was
 * passed with the request. */
struct ClientReply
{
  std::uint64_t token = 0;
  SubmitReply reply;
};

/** Queue of commands and replies that the cell's decision code has issued and
 * the driver has not sent yet. Not thread safe. */
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
