#pragma once

#include "Random.h"
#include "generated/Messages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Why a cell was chosen for a job. */
enum class CellReason : std::uint8_t
{
  /** Drawn at random, weighted by free capacity, among the cells that have a
   * worker with enough free capacity for a task. */
  FreeCapacity,
  /** No cell has free capacity for a task now, so the cell with the shortest
   * queue was chosen. */
  ShortestQueue,
};

/** Returns the reason as it is written in log lines. Thread safe. */
std::string_view
ToText(CellReason aReason);

/** The cell chosen for a job, as an index into the list of cells. */
struct CellChoice
{
  std::size_t index = 0;
  CellReason reason = CellReason::FreeCapacity;
};

/** Chooses one of aCells, except those named in aTried, for a job with tasks of
 * size aTask; returns empty if no cell is left. The choice is random, weighted
 * by the number of tasks that fit: many entry processes choose from the same
 * report at the same time and would otherwise all pick the same cell. Thread
 * safe apart from aRandom. */
std::optional<CellChoice>
ChooseCell(const Resources& aTask,
           std::span<const CellStatus> aCells,
           std::span<const std::string> aTried,
           Random& aRandom);

/** Returns a new job id, <cell>.<16 hex digits>. */
std::string
MakeJobId(std::string_view aCell, Random& aRandom);

/** Returns the name of the cell in a job id; empty if the id is malformed.
 * Thread safe. */
std::optional<std::string>
CellOfJobId(std::string_view aJobId);

} // namespace sequoiakeel
