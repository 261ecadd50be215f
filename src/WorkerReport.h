#pragma once

#include "generated/Settings.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Capacity of a worker. */
struct WorkerCapacity
{
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const WorkerCapacity&,
                         const WorkerCapacity&) = default;
};

/** A worker as described by the registry. */
struct WorkerDescription
{
  std::string id;
  /** Start of this incarnation in milliseconds since 1970. */
  std::uint64_t incarnation = 0;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string rack;
  std::set<std::string> labels;
  WorkerCapacity capacity;
  /** The worker is being drained and accepts no new tasks. */
  bool draining = false;
};

/** How a run ended, as reported by its worker. */
enum class RunEnd : std::uint8_t
{
  Done,
  /** By an error of the task or of the worker. */
  Failed,
  /** The run was stopped by a stop command. */
  Stopped,
  /** The worker's lease expired. */
  LeaseExpired,
  /** Another member of its gang ended. */
  GangBroken,
  /** The other members of its gang did not start in time. */
  GangIncomplete,
};

/** A run in progress on a worker. */
struct RunningRun
{
  std::string task;
  std::uint64_t run = 0;
  std::string checkpoint;
  /** Progress in percent. */
  int percent = 0;
  /** Tail latency in milliseconds if the task has a latency target, otherwise
   * processor use in thousandths of a core. */
  std::int64_t usage = 0;
};

/** A run that ended on a worker. */
struct EndedRun
{
  /** Sequence number in the worker's list of run ends, from 1. */
  std::uint64_t sequence = 0;
  std::string task;
  std::uint64_t run = 0;
  RunEnd end = RunEnd::Stopped;
  std::string checkpoint;
};

/** A worker's response to a lease renewal. */
struct WorkerReport
{
  std::uint64_t incarnation = 0;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
  /** The worker may have more ends than it listed. A run that is in neither
   * list may then have ended. */
  bool endsTruncated = false;
};

/** Outcome of a command to a worker. */
enum class WorkerCommandResult : std::uint8_t
{
  Done,
  /** The worker has accepted commands from a newer owner. */
  Fenced,
  /** The worker has already seen the end of a run of the task with this or a
   * higher run number. */
  OldRun,
  /** The validity of the command had expired when it arrived. */
  Expired,
  /** The worker has too little free capacity. */
  NoCapacity,
  /** The admission ticket is not valid. */
  TicketInvalid,
  /** The worker is unhealthy and has not carried out the command. */
  Refused,
  /** The address belongs to another worker or another incarnation. */
  WrongWorker,
  /** The worker rejects the content of the command. */
  Invalid,
  /** The command was not sent. */
  NotSent,
  /** No answer: the command may have been carried out or may still be. */
  Unknown,
};

/** Returns the name of a result for logs and metrics. Thread safe. */
const char*
ToString(WorkerCommandResult aResult);

/** Returns the name of a run end for logs. Thread safe. */
const char*
ToString(RunEnd aEnd);

struct WorkerCommandReply
{
  WorkerCommandResult result = WorkerCommandResult::NotSent;
  /** Reading of the worker's clock when it answered; 0: unknown. */
  std::uint64_t workerMs = 0;
};

struct StartCommand
{
  std::string task;
  std::uint64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /** Time on the worker's clock after which the command has no effect. */
  std::uint64_t validUntilWorkerMs = 0;
};

} // namespace sequoiakeel
