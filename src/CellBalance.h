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

/** Returns the cells that may hold a job, the preferred one first: a single one
 * if there is only one cell, otherwise two that depend on the id alone, so that
 * every process finds the job without an index. Precondition: aCells > 0.
 * Thread safe, as is everything below. */
std::vector<std::uint32_t>
CandidateCells(std::string_view aJob, std::uint32_t aCells);

/** Returns the number of cells that a fleet needs if every owner runs on one of
 * the largest hosts. aWorkersPerCore: workers that an owner can schedule per
 * core of its processor share. Preconditions: aNodes is not empty,
 * aWorkersPerCore > 0. */
std::uint32_t
RequiredCellCount(std::size_t aWorkers,
                  std::span<const NodeRecord> aNodes,
                  std::uint32_t aWorkersPerCore);

/** Returns whether a host is one of the large ones, which are preferred as
 * owners of cells. */
bool
IsLargeHost(std::span<const NodeRecord> aNodes, const NodeRecord& aOwn);

/**
 * Returns how long a process waits before it claims a vacant cell. aNodes are
 * the known processes including aOwn; aOwnedCells is the number of cells that
 * aOwn owns already.
 *
 * The delay keeps cells off small hosts in a fleet of unequal ones: an owner
 * with an eighth of a core starts the tasks of its cell seconds late at peak
 * load, while half a core is idle elsewhere. The order among large hosts
 * rotates with the cell number, and a host that already owns cells waits
 * longer.
 */
std::chrono::milliseconds
ClaimDelay(std::span<const NodeRecord> aNodes,
           const NodeRecord& aOwn,
           std::uint32_t aCell,
           std::size_t aOwnedCells);

/** Returns the name of the group of workers that is assigned to a cell as a
 * whole: the rack, whose workers stay in one cell, or the id of a worker that
 * has no rack. */
const std::string&
GroupOf(const WorkerDescription& aWorker);

/** Partitions the groups of workers into cells of about equal processor
 * capacity. The result depends on the set of workers alone. Precondition:
 * aCells > 0. */
CellLayout
BalanceCells(std::span<const WorkerDescription> aWorkers, std::uint32_t aCells);

/** Returns the cell of a group that joined after the layout was written and is
 * missing from it. Precondition: aCells > 0. */
std::uint32_t
CellOfNewGroup(std::string_view aGroup, std::uint32_t aCells);

/** Returns whether a cell may get a job of aTasks tasks. A job may have a small
 * part of what is left only, so that ordinary jobs are still accepted beside
 * very large ones. */
bool
HasRoomFor(const CellLoad& aLoad, std::uint64_t aTasks);

/**
 * Returns the index of the least loaded candidate cell for a job. A missing
 * load stands for a cell whose owner did not answer. Empty if all loads are
 * missing.
 *
 * Choosing between two candidates keeps cells from running out of capacity
 * while others have some, as happens if each job is hashed to one cell: with as
 * few as 20 long-running jobs per cell, the sum of their sizes varies by a
 * fifth from cell to cell.
 */
std::optional<std::size_t>
ChooseCandidate(std::span<const std::optional<CellLoad>> aLoads,
                const WorkflowSubmission& aSubmission);

} // namespace sequoiakeel
