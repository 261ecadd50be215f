#pragma once

#include "CellMachine.h"
#include "ConfiguredPolicies.h"
#include "HostList.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>

namespace sequoiakeel {

/** State of the planner process that a runner polls several times a second. */
struct PlannerConditions
{
  std::uint64_t storeLease = 0;
  TimePoint leaseValidUntil;
  bool majorityReachable = false;
  bool majorityUnreachable = false;
  bool candidate = false;
};

/**
 * Drives one cell's state machine: executes its commands against the store and
 * the workers, and passes it the current time. All code of a cell runs on the
 * cell's strand, so the machine needs no lock, and no lock is held while a call
 * is in progress. Thread safe.
 */
class CellRunner : public std::enable_shared_from_this<CellRunner>
{
public:
  using Surroundings = std::function<PlannerConditions()>;

  /** The references must outlive the runner. */
  CellRunner(boost::asio::io_context& aContext,
             CellOptions aOptions,
             KeyValueStore& aStore,
             WorkerAgent& aAgent,
             const Clock& aClock,
             Surroundings aSurroundings);

  /** Starts the periodic ticks. Call once. */
  void Start();

  /** Sets the rules of the machine and the names of its policies. */
  void Configure(CellRules aRules, Policies aPolicies);

  /** Sets the hosts of the cell. */
  void SetFleet(std::vector<HostRecord> aHosts);

  /** Accepts or cancels a job; responds once the outcome is known. */
  boost::asio::awaitable<SubmitReply> Submit(SubmitJob aRequest);
  boost::asio::awaitable<SubmitReply> Cancel(CancelJob aRequest);

  boost::asio::awaitable<JobStatus> Query(std::string aJob);

  /** Returns the status of the cell, or nullopt if this planner does not own
   * it. */
  boost::asio::awaitable<std::optional<CellStatus>> Status();

  /** Hands the cell over: releases its ownership so that another planner can
   * claim it. Returns when that is done, or when the cell has stopped because
   * of an error. */
  boost::asio::awaitable<void> Drain();

private:
  struct Waiting
  {
    explicit Waiting(const boost::asio::any_io_executor& aExecutor)
      : timer(aExecutor)
    {
    }
    boost::asio::steady_timer timer;
    std::optional<SubmitReply> reply;
  };

  void PollConditions(TimePoint aNow);
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<SubmitReply> AwaitReply(std::uint64_t aToken);
  boost::asio::awaitable<SubmitReply> SubmitOnStrand(SubmitJob aRequest);
  boost::asio::awaitable<SubmitReply> CancelOnStrand(CancelJob aRequest);
  boost::asio::awaitable<JobStatus> QueryOnStrand(std::string aJob);
  boost::asio::awaitable<std::optional<CellStatus>> StatusOnStrand();
  boost::asio::awaitable<void> DrainOnStrand();
  void RunOrStop(const std::function<void()>& aStep);
  void DispatchCommands();
  boost::asio::awaitable<void> Execute(StoreCommand aCommand);
  boost::asio::awaitable<void> Execute(WorkerCommand aCommand);
  boost::asio::awaitable<WorkerReply> Call(const WorkerCommand& aCommand);

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  CellOptions options;
  KeyValueStore& store;
  WorkerAgent& agent;
  const Clock& clock;
  Surroundings surroundings;
  ConfiguredPolicies policies;
  CellMachine machine;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting;
  TimePoint nextPoll;
  std::uint64_t nextToken = 1;
  bool broken = false;
};

} // namespace sequoiakeel
