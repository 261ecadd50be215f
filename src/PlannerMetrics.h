#pragma once

#include "generated/Messages.h"

#include <string>

namespace sequoiakeel {

/**
 * Returns a planner's metrics in Prometheus text format: gauges of its cells
 * and counts of its decisions. Labels are cell names and decision kinds, whose
 * number is bounded. Thread safe.
 */
std::string
ExportPlannerMetrics(const PlannerStatusReply& aStatus);

} // namespace sequoiakeel
