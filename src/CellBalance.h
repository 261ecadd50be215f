#pragma once

#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Returns the cells that may hold a job, most preferred first: one for a
 * single cell, otherwise two that depend on the id alone, so that every process
 * finds the job without an index. Precondition: aCells > 0. Thread safe, as is
 * everything below. */
std::vector<std::uint32_t>
CandidateCells(std::string_view aJob, std::uint32_t aCells);

/** Returns how many cells a fleet needs if every owner runs on one of the
 * largest hosts. Preconditions: aNodes is not empty, aWorkersPerCore > 0. */
std::uint32_t
CellsFor(std::size_t aWorkers,
         std::span<const NodeRecord> aNodes,
         std::uint32_t aWorkersPerCore);

/** Tells whether a host is among the large ones, which own cells while they
 * can. */
bool
IsLargeHost(std::span<const NodeRecord> aNodes, const NodeRecord& aOwn);

/**
 * Returns how long a candidate holds back before it claims a vacant cell.
 * aNodes are the known processes, aOwn among them; aOwnedCells is the number of
 * cells that aOwn has.
 *
 * Answers a fleet of unequal hosts: an owner on an eighth of a core starts the
 * tasks of its cell seconds late at the peak, while half a core is idle
 * elsewhere. The large hosts take turns by cell, and a host that owns cells
 * already lets others go first.
 */
std::chrono::milliseconds
ClaimHandicap(std::span<const NodeRecord> aNodes,
              const NodeRecord& aOwn,
              std::uint32_t aCell,
              std::size_t aOwnedCells);

/** Returns what is dealt to a cell as one: the rack, whose workers are to stay
 * together, or the worker itself without one. */
const std::string&
GroupOf(const WorkerDescription& aWorker);

/** Deals the groups of workers to cells of about equal processor capacity. The
 * result depends on the set of workers alone. Precondition: aCells > 0. */
CellLayout
BalanceCells(std::span<const WorkerDescription> aWorkers, std::uint32_t aCells);

/** Returns the cell of a group that the layout does not name, which joined
 * after it was written. Precondition: aCells > 0. */
std::uint32_t
CellOfNewGroup(std::string_view aGroup, std::uint32_t aCells);

/**
 * Returns the position of the load that suits a job best; loads that are
 * missing belong to cells whose owner did not answer. Empty if all are missing.
 *
 * Answers a fleet in which jobs hashed to one cell would exceed its room while
 * others have some: with as few as 20 long-running jobs a cell, the sum of
 * their sizes varies by a fifth from cell to cell.
 */
std::optional<std::size_t>
ChooseCandidate(std::span<const std::optional<CellLoad>> aLoads,
                const WorkflowSubmission& aSubmission);

} // namespace sequoiakeel
