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
  /** Drawn by free capacity among the cells with a worker that fits a task. */
  FreeCapacity,
  /** No cell has room for a task now; the shortest queue. */
  ShortestQueue,
};

/** Returns the reason as log lines have it. Thread safe. */
std::string_view
ToText(CellReason aReason);

/** A cell for a job. */
struct CellChoice
{
  std::size_t index = 0;
  CellReason reason = CellReason::FreeCapacity;
};

/** Chooses among aCells for a job with tasks of size aTask, without those in
 * aTried; empty if none is left. Draws by the number of tasks that fit, since
 * many entries choose from the same report at the same time. Thread safe apart
 * from aRandom. */
std::optional<CellChoice>
ChooseCell(const Resources& aTask,
           std::span<const CellStatus> aCells,
           std::span<const std::string> aTried,
           Random& aRandom);

/** Returns a new job id, <cell>.<16 hex digits>. */
std::string
MakeJobId(std::string_view aCell, Random& aRandom);

/** Returns the cell that a job id names; empty if it is malformed. Thread safe.
 */
std::optional<std::string>
CellOfJobId(std::string_view aJobId);

} // namespace sequoiakeel
