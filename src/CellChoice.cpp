#include "CellChoice.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <vector>

namespace sequoiakeel {

namespace {

constexpr std::size_t kIdDigits = 16;
/** Upper bound of the number of tasks that fit into a cell. A task that
 * requests nothing fits any number of times, but the weight of a cell in the
 * weighted random choice has to be finite. */
constexpr std::int64_t kMaxFitting = 1000000;

std::int64_t
Times(std::int64_t aFree, std::int64_t aNeeded)
{
  return aNeeded <= 0 ? kMaxFitting
                      : std::max<std::int64_t>(aFree, 0) / aNeeded;
}

/** Returns how many tasks of size aTask fit into aFree, at most kMaxFitting. */
std::int64_t
Fitting(const Resources& aFree, const Resources& aTask)
{
  const std::int64_t fitting =
    std::min({ Times(aFree.cpuMillis, aTask.cpuMillis),
               Times(aFree.memoryMb, aTask.memoryMb),
               Times(aFree.accelerators, aTask.accelerators) });
  return std::min(fitting, kMaxFitting);
}

bool
IsTried(const CellStatus& aCell, std::span<const std::string> aTried)
{
  return std::find(aTried.begin(), aTried.end(), aCell.cell) != aTried.end();
}

std::optional<CellChoice>
ShortestQueue(std::span<const CellStatus> aCells,
              std::span<const std::string> aTried)
{
  std::optional<CellChoice> best;
  for (std::size_t index = 0; index < aCells.size(); ++index) {
    if (IsTried(aCells[index], aTried)) {
      continue;
    }
    if (!best || aCells[index].tasksQueued < aCells[best->index].tasksQueued) {
      best = CellChoice{ index, CellReason::ShortestQueue };
    }
  }
  return best;
}

} // namespace

std::string_view
ToText(CellReason aReason)
{
  return aReason == CellReason::FreeCapacity ? "free-capacity"
                                             : "shortest-queue";
}

std::optional<CellChoice>
ChooseCell(const Resources& aTask,
           std::span<const CellStatus> aCells,
           std::span<const std::string> aTried,
           Random& aRandom)
{
  std::vector<std::int64_t> weights(aCells.size(), 0);
  std::int64_t total = 0;
  for (std::size_t index = 0; index < aCells.size(); ++index) {
    const CellStatus& cell = aCells[index];
    if (IsTried(cell, aTried) || Fitting(cell.largestFree, aTask) == 0) {
      continue;
    }
    weights[index] = std::max<std::int64_t>(Fitting(cell.free, aTask), 1);
    total += weights[index];
  }
  if (total == 0) {
    return ShortestQueue(aCells, aTried);
  }
  double drawn = DrawUnit(aRandom) * static_cast<double>(total);
  CellChoice choice;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    if (weights[index] == 0) {
      continue;
    }
    choice.index = index;
    drawn -= static_cast<double>(weights[index]);
    if (drawn < 0) {
      break;
    }
  }
  return choice;
}

std::string
MakeJobId(std::string_view aCell, Random& aRandom)
{
  std::array<char, kIdDigits + 1> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx",
                static_cast<unsigned long long>(aRandom()));
  return std::string(aCell) + "." + digits.data();
}

std::optional<std::string>
CellOfJobId(std::string_view aJobId)
{
  const std::size_t dot = aJobId.rfind('.');
  if (dot == std::string_view::npos || dot == 0 ||
      aJobId.size() - dot - 1 != kIdDigits) {
    return std::nullopt;
  }
  const bool hex =
    std::all_of(aJobId.begin() + static_cast<std::ptrdiff_t>(dot) + 1,
                aJobId.end(),
                [](char aDigit) {
                  return (aDigit >= '0' && aDigit <= '9') ||
                         (aDigit >= 'a' && aDigit <= 'f');
                });
  if (!hex) {
    return std::nullopt;
  }
  return std::string(aJobId.substr(0, dot));
}

} // namespace sequoiakeel
