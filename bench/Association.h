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

/** One run of the association's deployment. */
struct AssociationOptions
{
  /** One of AssociationShapes(). */
  std::string shape = "steady";
  std::uint64_t seed = 1;
  /** "naive": naive routing, queue and retries; else the current ones. */
  bool naive = false;
  /** Part of the current policies that is left out, to see what it is worth:
   * "queue" (first in, first out instead), "health" (no ejection) or empty. */
  std::string without;
  RoutingOptions routing;
  RetryOptions retry;
  /** Makes the routing policy; empty: the one of the library. */
  std::function<std::unique_ptr<RoutingPolicy>()> makePolicy;
  /** Probes that ask a worker for its load, for each request. Backend servers
   * do not offer this today. */
  std::uint32_t probesPerRequest = 0;
  /** Quotes per second of all callers. */
  double rate = 5500;
};

/** Figures of a run by name: latencies in milliseconds, shares in percent,
 * counts per thousand quotes. */
using AssociationFigures = std::map<std::string, double>;

/** Returns the names of the shapes of load. */
std::span<const std::string_view>
AssociationShapes();

/** Runs the deployment on a manual clock. The same options give the same
 * figures. Throws UserError for an unknown shape. Thread safe. */
AssociationFigures
RunAssociation(const AssociationOptions& aOptions);

} // namespace sequoiakeel::bench
