#pragma once

#include "RetryBudget.h"
#include "RoutingPolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace sequoiakeel::bench {

/** Options of one simulated run of the association's deployment. */
struct AssociationOptions
{
  /** One of AssociationShapes(). */
  std::string shape = "steady";
  std::uint64_t seed = 1;
  /** Uses the naive routing, queue and retry policies instead of the current
   * ones. */
  bool naive = false;
  /** Part of the current policies that is disabled, to measure its effect:
   * "queue" (uses a first-in, first-out queue), "health" (does not eject
   * workers) or empty. */
  std::string disabledPart;
  RoutingOptions routing;
  RetryOptions retry;
  /** Creates the routing policy. If empty, the library's policy is used. */
  std::function<std::unique_ptr<RoutingPolicy>()> makePolicy;
  /** Number of load probes sent to workers for each request. Backend servers
   * do not support such probes at present. */
  std::uint32_t probesPerRequest = 0;
  /** Quotes per second, summed over all callers. */
  double rate = 5500;
};

/** Measured values of a run by name: latencies in milliseconds, shares in
 * percent, counts per thousand quotes. */
using AssociationFigures = std::map<std::string, double>;

/** Returns the names of the load shapes. */
std::span<const std::string_view>
AssociationShapes();

/** Simulates the deployment on a manual clock. The result is deterministic for
 * given options. Throws UserError for an unknown shape. Thread safe. */
AssociationFigures
RunAssociation(const AssociationOptions& aOptions);

} // namespace sequoiakeel::bench
