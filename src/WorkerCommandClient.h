#pragma once

#include "Clock.h"
#include "WorkerReport.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

namespace sequoiakeel {

/** Worker that a command is sent to, and the fencing token of the sender. */
struct WorkerCommandTarget
{
  std::string worker;
  Endpoint endpoint;
  std::uint64_t fencingToken = 0;
};

/** Acknowledges the ends of runs that one incarnation of a worker reported, up
 * to a sequence number; 0 acknowledges none. */
struct EndsAcknowledgement
{
  std::uint64_t incarnation = 0;
  std::uint64_t upTo = 0;
};

struct RenewReply
{
  WorkerCommandReply outcome;
  WorkerReport report;
};

/** Sends commands to workers. Thread safe. Every call returns within
 * aTimeout. */
class WorkerCommandClient
{
public:
  virtual ~WorkerCommandClient() = default;

  /** Starts a run. Idempotent: a command may be repeated with the same run
   * number. */
  virtual boost::asio::awaitable<WorkerCommandReply> Start(
    WorkerCommandTarget aTarget,
    StartCommand aCommand,
    Duration aTimeout) = 0;

  /** Stops a run. A later report lists its end. */
  virtual boost::asio::awaitable<WorkerCommandReply> Stop(
    WorkerCommandTarget aTarget,
    std::string aTask,
    std::uint64_t aRun,
    Duration aTimeout) = 0;

  /** Limits the speed of a run to a percentage of its full speed. */
  virtual boost::asio::awaitable<WorkerCommandReply> Throttle(
    WorkerCommandTarget aTarget,
    std::string aTask,
    std::uint64_t aRun,
    int aPercent,
    Duration aTimeout) = 0;

  /**
   * Extends the lease of all runs on the worker until aUntilWorkerMs on the
   * worker's clock (0: leaves the lease unchanged), acknowledges ends of runs,
   * and waits up to aWait for the end of a run. Returns a report. The
   * acknowledgement is left out unless it is certain to reach the incarnation
   * that it names: sequence numbers start anew after a restart, and the new
   * incarnation would discard ends that it has not reported.
   */
  virtual boost::asio::awaitable<RenewReply> Renew(WorkerCommandTarget aTarget,
                                                   std::uint64_t aUntilWorkerMs,
                                                   EndsAcknowledgement aEnds,
                                                   Duration aWait,
                                                   Duration aTimeout) = 0;
};

} // namespace sequoiakeel
