#pragma once

#include "Clock.h"
#include "WorkerReport.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

namespace sequoiakeel {

/** Where an order goes and under whose authority. */
struct OrderTarget
{
  std::string worker;
  Endpoint endpoint;
  std::uint64_t fencingToken = 0;
};

struct RenewReply
{
  OrderReply order;
  WorkerReport report;
};

/** Sends orders to workers. Thread safe. Every call ends within aTimeout. */
class TaskRunner
{
public:
  virtual ~TaskRunner() = default;

  /** Starts a run. Repeating an order with the same run number is safe. */
  virtual boost::asio::awaitable<OrderReply> Start(OrderTarget aTarget,
                                                   StartOrder aOrder,
                                                   Duration aTimeout) = 0;

  /** Stops a run; its end is listed in a later report. */
  virtual boost::asio::awaitable<OrderReply> Stop(OrderTarget aTarget,
                                                  std::string aTask,
                                                  std::uint64_t aRun,
                                                  Duration aTimeout) = 0;

  /** Limits the share of its speed at which a run works, in percent. */
  virtual boost::asio::awaitable<OrderReply> Throttle(OrderTarget aTarget,
                                                      std::string aTask,
                                                      std::uint64_t aRun,
                                                      int aPercent,
                                                      Duration aTimeout) = 0;

  /**
   * Extends the lease of everything that runs on the worker to aUntilWorkerMs
   * (0: leaves it), acknowledges ends up to aAcknowledged and waits up to aWait
   * for an end.
   */
  virtual boost::asio::awaitable<RenewReply> Renew(OrderTarget aTarget,
                                                   std::uint64_t aUntilWorkerMs,
                                                   std::uint64_t aAcknowledged,
                                                   Duration aWait,
                                                   Duration aTimeout) = 0;
};

} // namespace sequoiakeel
