#pragma once

#include "CellOwnerElector.h"
#include "NodeDirectory.h"
#include "WorkflowGateway.h"
#include "generated/WorkflowJson.h"
#include "support/FakePlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace sequoiakeel {

/** Longest wait for an expected condition. */
inline constexpr std::chrono::seconds kClusterLimit{ 30 };

/** One process of the system, without its listeners for callers. */
struct Node
{
  Node(boost::asio::io_context& aContext,
       const std::string& aName,
       TransactionalStore& aStore,
       FakeWorkers& aWorkers,
       std::uint32_t aCells)
    : server(aContext, Endpoint{ "127.0.0.1", 0 })
    , peers(aContext.get_executor())
    , nodes(aContext.get_executor(),
            aStore,
            NodeRecord{ aName, "z", "127.0.0.1", server.Port(), 1.0 })
    , owners(aContext.get_executor(), aStore)
    , cells(this->MakeCells(aContext, aName, aStore, aWorkers, aCells))
    , gateway(aStore,
              peers,
              nodes,
              cells,
              reachability,
              metrics,
              clock,
              0,
              &queues)
  {
    RegisterWorkflowHandlers(this->server, this->gateway, this->cells);
    this->server.Start();
    boost::asio::co_spawn(
      aContext, [this]() { return this->owners.Run(); }, boost::asio::detached);
    for (const std::shared_ptr<CellOwnerElector>& cell : this->cells) {
      boost::asio::co_spawn(
        cell->Strand(),
        [cell]() { return cell->Run(); },
        boost::asio::detached);
    }
  }

  /** Assigns the workers to the cells by the last character of their id. */
  std::vector<std::shared_ptr<CellOwnerElector>> MakeCells(
    boost::asio::io_context& aContext,
    const std::string& aName,
    TransactionalStore& aStore,
    FakeWorkers& aWorkers,
    std::uint32_t aCells)
  {
    CandidateIdentity identity;
    identity.node = aName;
    identity.boot = aName + "-boot";
    identity.peer = Endpoint{ "127.0.0.1", this->server.Port() };
    std::vector<std::shared_ptr<CellOwnerElector>> result;
    for (std::uint32_t cell = 0; cell < aCells; ++cell) {
      const auto isOwn = [cell, aCells](const WorkerDescription& aWorker) {
        return static_cast<std::uint32_t>(aWorker.id.back()) % aCells == cell;
      };
      result.push_back(std::make_shared<CellOwnerElector>(
        OwnershipSessionDependencies{
          boost::asio::make_strand(aContext),
          aStore,
          aWorkers,
          aWorkers,
          this->clock,
          this->wallClock,
          SchedulerTimings{},
          { this->order, this->choice, this->throttle, this->metrics },
          this->metrics,
          aCells,
          isOwn },
        cell,
        identity,
        this->peers,
        this->owners));
    }
    return result;
  }

  BootClock clock;
  WallClock wallClock;
  LeastWorkOrder order;
  ColocationChoice choice;
  MultiplicativeThrottle throttle;
  SchedulerMetrics metrics;
  StoreReachability reachability{ clock };
  PeerServer server;
  PeerClient peers;
  /** Has no table by default, so that jobs are not told apart by queues. */
  ActiveQueues queues;
  NodeDirectory nodes;
  OwnerDirectory owners;
  std::vector<std::shared_ptr<CellOwnerElector>> cells;
  WorkflowGateway gateway;
};

/** Several processes with a shared store and shared workers. Runs an io_context
 * on its own threads and lets a test wait for calls and conditions. */
struct TestCluster
{
  explicit TestCluster(std::uint32_t aCells = 1)
    : cellCount(aCells)
    , store(context.get_executor())
    , workers(context.get_executor(),
              aCells < 3 ? std::vector<std::string>{ "w1", "w2" }
                         : std::vector<std::string>{ "w1", "w2", "w3" })
    , work(boost::asio::make_work_guard(context))
  {
    for (int i = 0; i < 2; ++i) {
      this->threads.emplace_back([this] { this->context.run(); });
    }
  }

  ~TestCluster()
  {
    this->context.stop();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  Node& AddNode(const std::string& aName)
  {
    return this->AddNode(aName, this->store);
  }

  /** Adds a process that reaches the store through aStore, which must outlive
   * the cluster. */
  Node& AddNode(const std::string& aName, TransactionalStore& aStore)
  {
    this->nodes.push_back(std::make_unique<Node>(
      this->context, aName, aStore, this->workers, this->cellCount));
    return *this->nodes.back();
  }

  template<class Result>
  Result Await(boost::asio::awaitable<Result> aCall)
  {
    return boost::asio::co_spawn(
             this->context, std::move(aCall), boost::asio::use_future)
      .get();
  }

  template<class Condition>
  bool Until(Condition aCondition)
  {
    const auto deadline = std::chrono::steady_clock::now() + kClusterLimit;
    while (std::chrono::steady_clock::now() < deadline) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  /** Waits until every cell has an owner. */
  bool UntilOwned()
  {
    return this->Until(
      [this] { return this->store.Count(OwnersPrefix()) == this->cellCount; });
  }

  /** Removes the owner of every cell and waits for the next ones. */
  bool ReplaceOwners()
  {
    for (std::uint32_t cell = 0; cell < this->cellCount; ++cell) {
      const std::string owner = WorkflowKeys(cell).Owner();
      this->store.Remove(owner);
      if (!this->Until([&] { return this->store.Count(owner) == 1; })) {
        return false;
      }
    }
    return true;
  }

  /** Writes one key, as another process would. */
  bool Write(const std::string& aKey, const std::string& aValue)
  {
    StoreTransaction change;
    change.puts.push_back({ aKey, aValue });
    return this->Await(this->store.Commit(change, std::chrono::seconds(1)))
             .result == StoreResult::Ok;
  }

  std::optional<WorkflowState> StateAt(Node& aNode, const std::string& aJob)
  {
    return this->Await(
      aNode.gateway.State(aJob, aNode.clock.Now() + std::chrono::seconds(5)));
  }

  std::uint32_t cellCount;
  boost::asio::io_context context;
  FakeTransactionalStore store;
  FakeWorkers workers;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
  std::vector<std::unique_ptr<Node>> nodes;
};

inline WorkflowSubmission
Job(const std::string& aId)
{
  WorkflowSubmission job;
  job.id = aId;
  job.queue = "quotes";
  job.service = "desk";
  job.maxAttempts = 3;
  WorkflowStep step;
  step.count = 2;
  step.cpuMilli = 1000;
  step.memoryMb = 100;
  step.estimateMs = 100;
  job.steps.push_back(step);
  return job;
}

} // namespace sequoiakeel
