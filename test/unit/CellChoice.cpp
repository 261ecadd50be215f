#include "CellChoice.h"

#include <array>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoiakeel;

namespace {

constexpr std::uint64_t kSeed = 17;

CellStatus
MakeCell(const std::string& aName, std::int64_t aFree, std::int64_t aLargest)
{
  CellStatus cell;
  cell.cell = aName;
  cell.free = Resources{ aFree, aFree, 0 };
  cell.largestFree = Resources{ aLargest, aLargest, 0 };
  return cell;
}

} // namespace

// Guards against choosing a cell by its total free capacity, which may be
// spread over workers that each have too little for one task.
TEST_CASE("a cell without a worker that fits a task is not drawn")
{
  const std::vector<CellStatus> cells{ MakeCell("spread", 100000, 100),
                                       MakeCell("fits", 1000, 1000) };
  Random random(kSeed);
  for (int draw = 0; draw < 100; ++draw) {
    const auto choice = ChooseCell({ 500, 500, 0 }, cells, {}, random);
    REQUIRE(choice);
    CHECK(choice->index == 1);
    CHECK(choice->reason == CellReason::FreeCapacity);
  }
}

// Guards against all entries sending their jobs to the cell with the most free
// capacity until its next report.
TEST_CASE("cells are drawn by free capacity")
{
  const std::vector<CellStatus> cells{ MakeCell("small", 1000, 1000),
                                       MakeCell("large", 3000, 1000) };
  Random random(kSeed);
  std::array<int, 2> drawn{};
  for (int draw = 0; draw < 4000; ++draw) {
    ++drawn.at(ChooseCell({ 100, 100, 0 }, cells, {}, random)->index);
  }
  CHECK(drawn[0] > 800);
  CHECK(drawn[0] < 1200);
}

// Guards against rejecting a job because no cell has free capacity at present,
// and against trying a cell twice for one job.
TEST_CASE("without room the shortest queue is chosen")
{
  std::vector<CellStatus> cells{ MakeCell("long", 10, 10),
                                 MakeCell("short", 10, 10) };
  cells[0].tasksQueued = 9;
  cells[1].tasksQueued = 2;
  Random random(kSeed);
  const Resources task{ 100, 100, 0 };
  CHECK(ChooseCell(task, cells, {}, random)->index == 1);
  const std::vector<std::string> one{ "short" };
  CHECK(ChooseCell(task, cells, one, random)->index == 0);
  const std::vector<std::string> both{ "short", "long" };
  CHECK_FALSE(ChooseCell(task, cells, both, random));
  CHECK_FALSE(ChooseCell(task, {}, {}, random));
}

// Guards against division by zero and overflow for tasks that request no
// resources.
TEST_CASE("a task without a size fits everywhere")
{
  const std::vector<CellStatus> cells{ MakeCell("full", 0, 0),
                                       MakeCell("negative", -5, -5) };
  Random random(kSeed);
  CHECK(ChooseCell({ 0, 0, 0 }, cells, {}, random)->reason ==
        CellReason::FreeCapacity);
}

// Guards against accepting job ids from callers that contain no cell name or
// are otherwise malformed.
TEST_CASE("a job id names its cell or is malformed")
{
  Random random(kSeed);
  const std::string id = MakeJobId("cell-a", random);
  CHECK(CellOfJobId(id) == "cell-a");
  for (const char* bad : { "",
                           ".",
                           "cell-a",
                           ".0123456789abcdef",
                           "cell-a.0123456789abcde",
                           "cell-a.0123456789ABCDEF",
                           "cell-a.0123456789abcdefa" }) {
    CHECK_FALSE(CellOfJobId(bad));
  }
}
