#pragma once

#include "generated/Platform.h"
#include "generated/Settings.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace sequoiakeel {

/** Outcome of a call to a worker. */
enum class AgentResult : std::uint8_t
{
  Ok,
  /** The worker refused the call and changed nothing. */
  Refused,
  /** The worker does not know the task or the lease. */
  NotFound,
  /** The worker already has a task with this id. */
  Exists,
  /** The call was sent, but no conclusive answer came. It may have taken effect
   * or may still take effect. */
  Unknown,
  /** The call was not sent. */
  NotSent,
};

/** Answer to a status query. */
struct AgentStatusReply
{
  AgentResult result = AgentResult::NotSent;
  WorkerStatus status;
};

/** Answer to a call on one task. */
struct AgentTaskReply
{
  AgentResult result = AgentResult::NotSent;
  /** Reason of a refusal. */
  std::string reason;
  /** Token of a checkpoint. */
  std::string checkpoint;
  /** State after a stop. */
  WorkerTaskState state = WorkerTaskState::Running;
};

/** Client of the agents that run tasks on the workers. In each call, aWorker is
 * the endpoint of the agent. Thread safe. */
class WorkerAgent
{
public:
  virtual ~WorkerAgent() = default;

  /** Reads the worker's report. */
  virtual boost::asio::awaitable<AgentStatusReply> Status(Endpoint aWorker) = 0;

  /** Grants a lease that expires after aTtl by the worker's clock. */
  virtual boost::asio::awaitable<AgentResult> GrantLease(
    Endpoint aWorker,
    std::string aLease,
    std::chrono::milliseconds aTtl) = 0;

  /** Renews a lease; the result is NotFound if the lease has expired. */
  virtual boost::asio::awaitable<AgentResult> RenewLease(
    Endpoint aWorker,
    std::string aLease,
    std::chrono::milliseconds aTtl) = 0;

  /** Starts a task under a lease that was granted to the worker. */
  virtual boost::asio::awaitable<AgentTaskReply> Start(Endpoint aWorker,
                                                       StartTask aTask) = 0;

  /** Moves a running task to another lease. */
  virtual boost::asio::awaitable<AgentTaskReply>
  MoveToLease(Endpoint aWorker, std::string aTask, std::string aLease) = 0;

  /** Takes a checkpoint. */
  virtual boost::asio::awaitable<AgentTaskReply> Checkpoint(
    Endpoint aWorker,
    std::string aTask) = 0;

  /** Limits a task to a share of its processors. */
  virtual boost::asio::awaitable<AgentTaskReply>
  Throttle(Endpoint aWorker, std::string aTask, std::uint32_t aPermille) = 0;

  /** Stops a task; the state in the reply shows whether it had ended before. */
  virtual boost::asio::awaitable<AgentTaskReply> Stop(Endpoint aWorker,
                                                      std::string aTask) = 0;

  /** Confirms the end of a task, after which the worker may forget the task. */
  virtual boost::asio::awaitable<AgentTaskReply> Acknowledge(
    Endpoint aWorker,
    std::string aTask) = 0;
};

} // namespace sequoiakeel
