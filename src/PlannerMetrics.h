#pragma once

#include "generated/Messages.h"

#include <string>

namespace sequoiakeel {

/**
 * Returns the metrics of a planner in the Prometheus text format: gauges of its
 * cells and counters of its decisions. The labels are cell names and decision
 * kinds, whose number is bounded. Thread safe.
 */
std::string
ExportPlannerMetrics(const PlannerStatusReply& aStatus);

} // namespace sequoiakeel
