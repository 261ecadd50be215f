#include "PlannerMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sequoiakeel {

namespace {

struct CellGauge
{
  const char* name;
  const char* help;
  double (*value)(const CellStatus& aCell);
};

constexpr CellGauge kGauges[] = {
  { "sequoiakeel_cell_workers",
    "Workers of an owned cell",
    [](const CellStatus& aCell) { return double(aCell.workers); } },
  { "sequoiakeel_cell_tasks_queued",
    "Tasks that wait",
    [](const CellStatus& aCell) { return double(aCell.tasksQueued); } },
  { "sequoiakeel_cell_tasks_running",
    "Tasks with committed resources",
    [](const CellStatus& aCell) { return double(aCell.tasksRunning); } },
  { "sequoiakeel_cell_free_cpu_millis",
    "Processors that are not committed, in thousandths of a core",
    [](const CellStatus& aCell) { return double(aCell.free.cpuMillis); } },
  { "sequoiakeel_cell_free_memory_mb",
    "Memory that is not committed, in megabytes",
    [](const CellStatus& aCell) { return double(aCell.free.memoryMb); } },
};

} // namespace

std::string
ExportPlannerMetrics(const PlannerStatusReply& aStatus)
{
  prometheus::Registry registry;
  for (const CellGauge& gauge : kGauges) {
    auto& family = prometheus::BuildGauge()
                     .Name(gauge.name)
                     .Help(gauge.help)
                     .Register(registry);
    for (const CellStatus& cell : aStatus.cells) {
      family.Add({ { "cell", cell.cell } }).Set(gauge.value(cell));
    }
  }
  auto& decisions =
    prometheus::BuildCounter()
      .Name("sequoiakeel_cell_decisions_total")
      .Help("Placements, evictions, ends and changes of owner by kind, since "
            "the process started")
      .Register(registry);
  for (const CellStatus& cell : aStatus.cells) {
    for (const auto& [kind, count] : cell.decisionCounts) {
      decisions.Add({ { "cell", cell.cell }, { "kind", kind } })
        .Increment(static_cast<double>(count));
    }
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace sequoiakeel
