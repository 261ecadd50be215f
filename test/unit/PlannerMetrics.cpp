#include "PlannerMetrics.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against a metric that is missing or has the value of another cell.
TEST_CASE("each owned cell has its gauges and decision counts")
{
  PlannerStatusReply status;
  for (const char* name : { "a", "b" }) {
    CellStatus cell;
    cell.cell = name;
    status.cells.push_back(cell);
  }
  status.cells[1].tasksRunning = 7;
  status.cells[1].decisionCounts["task_evicted"] = 3;
  const std::string text = ExportPlannerMetrics(status);
  const auto has = [&](std::string_view aLine) {
    return text.find(aLine) != std::string::npos;
  };
  CHECK(has("sequoiakeel_cell_tasks_running{cell=\"a\"} 0"));
  CHECK(has("sequoiakeel_cell_tasks_running{cell=\"b\"} 7"));
  CHECK(has(
    "sequoiakeel_cell_decisions_total{cell=\"b\",kind=\"task_evicted\"} 3"));
}
