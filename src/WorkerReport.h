#pragma once

#include "generated/Settings.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Capacity of a worker. */
struct WorkerRoom
{
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
};

/** A worker as the registry describes it. */
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
  WorkerRoom room;
  /** The worker is about to leave and takes no new work. */
  bool draining = false;
};

/** How a run ended, by the worker's word. */
enum class RunEnd : std::uint8_t
{
  Done,
  /** By the task's own fault or the worker's. */
  Failed,
  /** It was told to stop. */
  Stopped,
  /** The worker's lease expired. */
  LeaseExpired,
  /** Another member of its gang ended. */
  GangBroken,
  /** The other members of its gang did not come in time. */
  GangIncomplete,
};

/** A run in progress on a worker. */
struct RunningRow
{
  std::string task;
  std::uint64_t run = 0;
  std::string checkpoint;
  /** Progress in percent. */
  int percent = 0;
  /** Tail latency in milliseconds of a task that serves requests, thousandths
   * of a core in use for any other. */
  std::int64_t usage = 0;
};

/** A run that ended on a worker. */
struct EndedRow
{
  /** Position in the worker's list of ends, from 1. */
  std::uint64_t sequence = 0;
  std::string task;
  std::uint64_t run = 0;
  RunEnd end = RunEnd::Stopped;
  std::string checkpoint;
};

/** A worker's answer to a lease renewal. */
struct WorkerReport
{
  std::uint64_t incarnation = 0;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
};

/** What became of an order to a worker. */
enum class OrderResult : std::uint8_t
{
  Done,
  /** The worker knows a newer owner. */
  Fenced,
  /** The run number is not above one that the worker has seen end. */
  OldRun,
  /** The order's time was over when it was carried out. */
  Expired,
  /** The worker has no room. */
  NoRoom,
  /** The admission ticket is not valid. */
  TicketInvalid,
  /** The worker is unhealthy and has done nothing. */
  Refused,
  /** The address belongs to another worker or another incarnation. */
  WrongWorker,
  /** The worker does not accept the order's content. */
  Invalid,
  /** The order was not sent. */
  NotSent,
  /** No answer: it may have been carried out, or may be later. */
  Unknown,
};

/** Returns a result's name for logs and metrics. Thread safe. */
const char*
ToString(OrderResult aResult);

/** Returns an end's name for logs. Thread safe. */
const char*
ToString(RunEnd aEnd);

struct OrderReply
{
  OrderResult result = OrderResult::NotSent;
  /** The worker's clock when it answered; 0: unknown. */
  std::uint64_t workerMs = 0;
};

struct StartOrder
{
  std::string task;
  std::uint64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /** The order has no effect later than this, by the worker's clock. */
  std::uint64_t validUntilWorkerMs = 0;
};

} // namespace sequoiakeel
