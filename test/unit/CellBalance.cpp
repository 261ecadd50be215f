#include "CellBalance.h"

#include "support/SchedulerHarness.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace sequoiakeel;

namespace {

constexpr std::uint32_t kCells = 4;

/** Returns a fleet with racks of twelve workers of unequal size, modelled on a
 * large order-processing deployment. */
std::vector<WorkerDescription>
Fleet(std::size_t aWorkers)
{
  std::vector<WorkerDescription> workers;
  for (std::size_t i = 0; i < aWorkers; ++i) {
    WorkerDescription worker =
      SchedulerHarness::Worker("w" + std::to_string(i));
    worker.rack = "r" + std::to_string(i / 12);
    worker.capacity.cpuMilli = i % 3 == 2 ? 48000 : 32000;
    workers.push_back(worker);
  }
  return workers;
}

NodeRecord
Node(const std::string& aName, double aShare)
{
  NodeRecord node;
  node.node = aName;
  node.processorShare = aShare;
  return node;
}

WorkflowSubmission
LongRunningJob(const std::string& aId)
{
  WorkflowSubmission job;
  job.id = aId;
  WorkflowStep step;
  step.count = 14;
  step.cpuMilli = 6400;
  step.longRunning = true;
  job.steps.push_back(step);
  return job;
}

} // namespace

// Guards against cells that differ so much in size that one is full while
// others have free capacity.
TEST_CASE("cells get about equal capacity")
{
  const auto workers = Fleet(490);
  const CellLayout layout = BalanceCells(workers, kCells);
  std::map<std::string, std::uint32_t> cellOf;
  for (const CellGroup& group : layout.groups) {
    cellOf[group.name] = group.cell;
  }
  std::vector<double> capacity(kCells, 0);
  for (const WorkerDescription& worker : workers) {
    REQUIRE(cellOf.contains(GroupOf(worker)));
    capacity[cellOf[GroupOf(worker)]] +=
      static_cast<double>(worker.capacity.cpuMilli);
  }
  const auto [least, most] =
    std::minmax_element(capacity.begin(), capacity.end());
  CHECK(*most / *least < 1.1);
}

// Guards against a layout that depends on the order in which the registry lists
// the workers.
TEST_CASE("the layout depends on the set of workers alone")
{
  auto workers = Fleet(100);
  const CellLayout layout = BalanceCells(workers, kCells);
  std::reverse(workers.begin(), workers.end());
  CHECK(BalanceCells(workers, kCells) == layout);
}

// Guards against jobs that other processes cannot find: without an index, every
// process has to derive the same two cells from the id.
TEST_CASE("a job has two different candidate cells that depend on its id alone")
{
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "job" + std::to_string(i);
    const auto candidates = CandidateCells(id, kCells);
    REQUIRE(candidates.size() == 2);
    CHECK(candidates[0] != candidates[1]);
    CHECK(candidates[0] < kCells);
    CHECK(candidates[1] < kCells);
    CHECK(CandidateCells(id, kCells) == candidates);
  }
  CHECK(CandidateCells("job", 1) == std::vector<std::uint32_t>{ 0 });
}

// Simulates the start of a large deployment: 163 long-running jobs of 90 cores
// request four fifths of all processors. Guards against cells that are assigned
// more than their capacity, as happens with a single hash of the id.
TEST_CASE("long-running jobs do not exceed the capacity of any cell")
{
  constexpr std::uint64_t kCapacity = 4'570'000;
  constexpr int kSeeds = 20;
  int overfullByHash = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::vector<CellLoad> loads(kCells);
    std::vector<std::uint64_t> byHash(kCells, 0);
    for (CellLoad& load : loads) {
      load.capacityCpuMilli = kCapacity;
    }
    for (int i = 0; i < 163; ++i) {
      const WorkflowSubmission job =
        LongRunningJob(std::to_string(seed) + "-" + std::to_string(i));
      const std::uint64_t cpu = 14 * 6400;
      const auto candidates = CandidateCells(job.id, kCells);
      const std::vector<std::optional<CellLoad>> asked{ loads[candidates[0]],
                                                        loads[candidates[1]] };
      const std::uint32_t cell = candidates[*ChooseCandidate(asked, job)];
      loads[cell].longRunningCpuMilli += cpu;
      byHash[candidates[0]] += cpu;
    }
    for (const CellLoad& load : loads) {
      CHECK(load.longRunningCpuMilli < kCapacity * 9 / 10);
    }
    const bool overfull =
      std::any_of(byHash.begin(), byHash.end(), [](std::uint64_t aCpu) {
        return aCpu > kCapacity * 9 / 10;
      });
    overfullByHash += overfull ? 1 : 0;
  }
  // The baseline, a single hash, overfills a cell for most seeds.
  CHECK(overfullByHash > kSeeds / 2);
}

// Guards against jobs that are sent to a cell whose owner does not answer.
TEST_CASE("a candidate cell whose owner does not answer is not chosen")
{
  CellLoad full;
  full.capacityCpuMilli = 100;
  full.longRunningCpuMilli = 100;
  const std::vector<std::optional<CellLoad>> loads{ std::nullopt, full };
  CHECK(ChooseCandidate(loads, LongRunningJob("j")) == 1);
  const std::vector<std::optional<CellLoad>> none{ std::nullopt, std::nullopt };
  CHECK(!ChooseCandidate(none, LongRunningJob("j")));
}

// Guards against owners on hosts that are too small for a cell.
TEST_CASE("large hosts claim first, in an order that rotates with the cell")
{
  const std::vector<NodeRecord> nodes{ Node("a", 0.5),
                                       Node("b", 0.12),
                                       Node("c", 0.5) };
  CHECK(ClaimDelay(nodes, nodes[0], 0, 0).count() == 0);
  CHECK(ClaimDelay(nodes, nodes[2], 1, 0).count() == 0);
  CHECK(ClaimDelay(nodes, nodes[2], 0, 0).count() > 0);
  const auto smallest = ClaimDelay(nodes, nodes[1], 0, 0);
  CHECK(smallest > ClaimDelay(nodes, nodes[2], 0, 0));
  CHECK(smallest > ClaimDelay(nodes, nodes[0], 0, 1));
}

// Guards against cells that are too large for the hosts of the fleet to
// schedule.
TEST_CASE("the number of cells depends on the size of the largest hosts")
{
  constexpr std::uint32_t kWorkersPerCore = 300;
  const std::vector<NodeRecord> today{ Node("a", 0.25) };
  CHECK(RequiredCellCount(66, today, kWorkersPerCore) == 1);
  const std::vector<NodeRecord> grown{ Node("a", 0.5), Node("b", 0.12) };
  CHECK(RequiredCellCount(490, grown, kWorkersPerCore) == 4);
  const std::vector<NodeRecord> small{ Node("a", 0.12) };
  CHECK(RequiredCellCount(490, small, kWorkersPerCore) == 14);
}
