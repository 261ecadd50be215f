#include "CellBalance.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <xxhash.h>

namespace sequoiakeel {

namespace {

/** Hash seed for a job's second candidate cell. It differs from the seed for
 * the first, so that the two cells are chosen independently. */
constexpr std::uint64_t kSecondSeed = 1;

/** A host counts as large if its processor share is at least this fraction of
 * the largest share in the fleet. */
constexpr double kLargeHostFraction = 0.75;

/** Additional delay before a host that is not large claims a cell. A claim
 * takes two calls to the store: 10 ms normally and 0.6 s while the store is
 * slow. */
constexpr std::chrono::milliseconds kSmallHostDelay{ 700 };

/** Additional delay before a claim for each cell that the host already owns. It
 * is short because no task starts in a cell without an owner. */
constexpr std::chrono::milliseconds kOwnedCellDelay{ 400 };

/** Delay between the claims of consecutive hosts in the claim order, and upper
 * limit of the sum of these delays for one host. A claim is normally visible in
 * the store after 10 ms. */
constexpr std::chrono::milliseconds kTurnDelay{ 40 };
constexpr std::chrono::milliseconds kMaxTurnDelay{ 320 };

/** Part of the tasks left to a cell that one job may have. */
constexpr std::uint64_t kLargestJobPart = 16;

/** Tasks of the largest job that counts as small. */
constexpr std::uint64_t kSmallJobTasks = 100;

/** Part of a cell's tasks that is reserved for small jobs, since an owner
 * learns of several large jobs at once only after they were accepted. */
constexpr std::uint64_t kSmallJobsPart = 4;

struct Group
{
  std::string name;
  std::int64_t cpuMilli = 0;
};

double
LargestShare(std::span<const NodeRecord> aNodes)
{
  double largest = 0;
  for (const NodeRecord& node : aNodes) {
    largest = std::max(largest, node.processorShare);
  }
  return largest;
}

bool
IsLarge(const NodeRecord& aNode, double aLargestShare)
{
  return aNode.processorShare >= kLargeHostFraction * aLargestShare;
}

/** Returns the groups by size, the largest first, so that small groups even out
 * the differences that large groups leave. */
std::vector<Group>
GroupsBySize(std::span<const WorkerDescription> aWorkers)
{
  std::map<std::string, std::int64_t> sizes;
  for (const WorkerDescription& worker : aWorkers) {
    sizes[GroupOf(worker)] += worker.capacity.cpuMilli;
  }
  std::vector<Group> result;
  for (const auto& [name, cpuMilli] : sizes) {
    result.push_back(Group{ name, cpuMilli });
  }
  std::stable_sort(
    result.begin(), result.end(), [](const Group& aLeft, const Group& aRight) {
      return aLeft.cpuMilli > aRight.cpuMilli;
    });
  return result;
}

/** Returns the fraction of a cell's capacity that is in use or reserved, as far
 * as it matters to tasks of the kind in a job's first step (long-running,
 * filler or other). */
double
LoadFraction(const CellLoad& aLoad, const WorkflowStep& aFirst)
{
  const auto capacity =
    static_cast<double>(std::max<std::uint64_t>(aLoad.capacityCpuMilli, 1));
  if (aFirst.longRunning) {
    return static_cast<double>(aLoad.longRunningCpuMilli) / capacity;
  }
  const auto reserved = static_cast<double>(aLoad.reservedCpuMilli) / capacity;
  if (!aFirst.filler) {
    return reserved;
  }
  return reserved + static_cast<double>(aLoad.fillerCpuMilli) / capacity;
}

} // namespace

std::vector<std::uint32_t>
CandidateCells(std::string_view aJob, std::uint32_t aCells)
{
  const auto first =
    static_cast<std::uint32_t>(XXH64(aJob.data(), aJob.size(), 0) % aCells);
  if (aCells == 1) {
    return { first };
  }
  const auto distance = static_cast<std::uint32_t>(
    XXH64(aJob.data(), aJob.size(), kSecondSeed) % (aCells - 1));
  return { first, (first + 1 + distance) % aCells };
}

std::uint32_t
RequiredCellCount(std::size_t aWorkers,
                  std::span<const NodeRecord> aNodes,
                  std::uint32_t aWorkersPerCore)
{
  const double perCell =
    std::max(1.0, LargestShare(aNodes) * static_cast<double>(aWorkersPerCore));
  const double cells = std::ceil(static_cast<double>(aWorkers) / perCell);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(cells));
}

bool
IsLargeHost(std::span<const NodeRecord> aNodes, const NodeRecord& aOwn)
{
  return IsLarge(aOwn, LargestShare(aNodes));
}

std::chrono::milliseconds
ClaimDelay(std::span<const NodeRecord> aNodes,
           const NodeRecord& aOwn,
           std::uint32_t aCell,
           std::size_t aOwnedCells)
{
  const double largest = LargestShare(aNodes);
  const bool large = IsLarge(aOwn, largest);
  std::size_t alike = 0;
  std::size_t before = 0;
  for (const NodeRecord& node : aNodes) {
    if (IsLarge(node, largest) != large) {
      continue;
    }
    ++alike;
    before += node.node < aOwn.node ? 1 : 0;
  }
  const std::size_t turn =
    (before + alike - aCell % std::max<std::size_t>(alike, 1)) %
    std::max<std::size_t>(alike, 1);
  const auto ownTurn =
    std::min(static_cast<int>(turn) * kTurnDelay, kMaxTurnDelay);
  return ownTurn + (large ? std::chrono::milliseconds(0) : kSmallHostDelay) +
         static_cast<int>(aOwnedCells) * kOwnedCellDelay;
}

const std::string&
GroupOf(const WorkerDescription& aWorker)
{
  return aWorker.rack.empty() ? aWorker.id : aWorker.rack;
}

CellLayout
BalanceCells(std::span<const WorkerDescription> aWorkers, std::uint32_t aCells)
{
  CellLayout layout;
  layout.cells = aCells;
  std::vector<std::int64_t> capacity(aCells, 0);
  for (const Group& group : GroupsBySize(aWorkers)) {
    const auto least = std::min_element(capacity.begin(), capacity.end());
    *least += group.cpuMilli;
    layout.groups.push_back(CellGroup{
      group.name, static_cast<std::uint32_t>(least - capacity.begin()) });
  }
  return layout;
}

std::uint32_t
CellOfNewGroup(std::string_view aGroup, std::uint32_t aCells)
{
  return static_cast<std::uint32_t>(XXH64(aGroup.data(), aGroup.size(), 0) %
                                    aCells);
}

bool
HasRoomFor(const CellLoad& aLoad, std::uint64_t aTasks)
{
  if (aLoad.maxTasks == 0) {
    return true;
  }
  const std::uint64_t reserved =
    aTasks > kSmallJobTasks ? aLoad.maxTasks / kSmallJobsPart : 0;
  const std::uint64_t limit = aLoad.maxTasks - reserved;
  const std::uint64_t left = limit - std::min(aLoad.tasks, limit);
  return aTasks <= left / kLargestJobPart;
}

std::optional<std::size_t>
ChooseCandidate(std::span<const std::optional<CellLoad>> aLoads,
                const WorkflowSubmission& aSubmission)
{
  std::optional<std::size_t> best;
  double leastLoad = 0;
  for (std::size_t i = 0; i < aLoads.size(); ++i) {
    if (!aLoads[i] || aSubmission.steps.empty()) {
      continue;
    }
    const double load = LoadFraction(*aLoads[i], aSubmission.steps.front());
    if (!best || load < leastLoad) {
      best = i;
      leastLoad = load;
    }
  }
  return best;
}

} // namespace sequoiakeel
