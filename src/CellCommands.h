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
  std::uint64_t expectedVersion = 0;
  /** Store lease that a Put attaches the key to. */
  std::uint64_t lease = kNoLease;
};

/** Reply to one store command. The driver gives exactly one for each command; a
 * command that times out gets Unknown. */
struct StoreReply
{
  std::uint64_t id = 0;
  StoreResult result = StoreResult::Ok;
  /** Version after a Put. */
  std::uint64_t version = 0;
  /** Values of a Get (at most one) or Range. */
  std::vector<StoreValue> rows;
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
  /** Of the worker's agent. */
  Endpoint endpoint;
  std::string lease;
  std::string taskId;
  /** Of a start; names task and lease itself. */
  StartTask start;
  std::uint32_t permille = 0;
  /** The driver compares this with its clock right before it sends; later than
   * this it sends nothing and answers NotSent. */
  TimePoint notAfter = TimePoint::max();
};

/** Reply to one worker command; the driver gives exactly one for each. */
struct WorkerReply
{
  std::uint64_t id = 0;
  AgentResult result = AgentResult::Ok;
  /** Of a status query. */
  WorkerStatus status;
  /** Of a checkpoint. */
  std::string checkpoint;
  /** Of a stop. */
  WorkerTaskState state = WorkerTaskState::Stopped;
};

/** Finds an attempt of a task in a worker's status; null if it is not listed.
 * Thread safe. */
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
