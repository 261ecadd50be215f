#include "HandOverTarget.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

/** Returns the capacity of a cell whose workers have the given free cores. */
LongRunningCapacity
Cell(const std::vector<std::uint64_t>& aCpuMilli)
{
  WorkerGroupCapacity group;
  group.service = "desk";
  group.labels = { "ssd" };
  for (const std::uint64_t cpuMilli : aCpuMilli) {
    group.pieces.push_back(FreePiece{ cpuMilli, 64000 });
    group.freeCpuMilli += cpuMilli;
  }
  return LongRunningCapacity{ { group } };
}

HandOverDemand
Demand(std::uint64_t aTasks)
{
  HandOverDemand demand;
  demand.service = "desk";
  demand.size = FreePiece{ 4000, 1000 };
  demand.tasks = aTasks;
  return demand;
}

} // namespace

// Guards against a task that waits although one cell has a piece for it: sums
// of pieces that are all too small do not count, and an only piece does.
TEST_CASE("a task is handed over to the cell with a piece of its size")
{
  const auto target = ChooseHandOverTarget(
    { { 0, Cell({ 3900, 3900, 3900 }) }, { 7, Cell({ 4400 }) } }, Demand(1));
  REQUIRE(target);
  CHECK(target->cell == 7);
  CHECK(!ChooseHandOverTarget({ { 0, Cell({ 3900, 3900 }) } }, Demand(1)));
}

// Guards against more tasks in a cell than it has pieces for.
TEST_CASE("no more tasks are handed over than fit")
{
  LongRunningCapacity cell = Cell({ 9000, 4000, 1000 });
  const auto target = ChooseHandOverTarget({ { 1, cell } }, Demand(5));
  REQUIRE(target);
  CHECK(target->tasks == 3);
  SubtractTasks(cell, Demand(2), 2);
  CHECK(TasksThatFit(cell, Demand(5)) == 1);
  SubtractTasks(cell, Demand(1), 1);
  CHECK(TasksThatFit(cell, Demand(5)) == 0);
}

// Guards against a choice that fills one cell while another is emptier.
TEST_CASE("of several cells the one with most free capacity is chosen")
{
  const auto target = ChooseHandOverTarget(
    { { 1, Cell({ 5000, 1000 }) }, { 2, Cell({ 4500, 3000 }) } }, Demand(1));
  REQUIRE(target);
  CHECK(target->cell == 2);
}

// Guards against tasks that are handed over to workers that cannot run them.
TEST_CASE("only workers of the service and with the label count")
{
  HandOverDemand demand = Demand(1);
  demand.requiredLabel = "ssd";
  CHECK(TasksThatFit(Cell({ 5000 }), demand) == 1);
  demand.requiredLabel = "gpu";
  CHECK(TasksThatFit(Cell({ 5000 }), demand) == 0);
  demand = Demand(1);
  demand.service = "other";
  CHECK(TasksThatFit(Cell({ 5000 }), demand) == 0);
  demand = Demand(1);
  demand.size.memoryMb = 65000;
  CHECK(TasksThatFit(Cell({ 5000 }), demand) == 0);
}

// Guards against more tasks of a step on one worker than its limit allows.
TEST_CASE("a piece counts for no more tasks than one worker may run")
{
  HandOverDemand demand = Demand(3);
  CHECK(TasksThatFit(Cell({ 20000 }), demand) == 3);
  demand.maxPerWorker = 1;
  CHECK(TasksThatFit(Cell({ 20000 }), demand) == 1);
  LongRunningCapacity cell = Cell({ 20000, 5000 });
  CHECK(TasksThatFit(cell, demand) == 2);
  SubtractTasks(cell, demand, 2);
  CHECK(cell.groups[0].pieces[0].cpuMilli == 16000);
  CHECK(cell.groups[0].pieces[1].cpuMilli == 1000);
}

// Guards against tasks with accelerators in a cell that has none.
TEST_CASE("a piece counts for no more tasks than it has accelerators for")
{
  HandOverDemand demand = Demand(3);
  demand.size.accelerators = 1;
  LongRunningCapacity cell = Cell({ 20000 });
  CHECK(TasksThatFit(cell, demand) == 0);
  cell.groups[0].pieces[0].accelerators = 2;
  CHECK(TasksThatFit(cell, demand) == 2);
  SubtractTasks(cell, demand, 2);
  CHECK(TasksThatFit(cell, demand) == 0);
}

// Guards against new capacity that other cells learn of seconds later, and
// against a write to the store for each small change.
TEST_CASE("a capacity counts as larger if its largest piece grew by much")
{
  CHECK(HasLargerPiece(Cell({ 4000 }), LongRunningCapacity{}));
  CHECK(HasLargerPiece(Cell({ 4600 }), Cell({ 4000, 3000 })));
  CHECK(!HasLargerPiece(Cell({ 4100 }), Cell({ 4000 })));
  CHECK(!HasLargerPiece(Cell({ 3000 }), Cell({ 4000 })));
}
