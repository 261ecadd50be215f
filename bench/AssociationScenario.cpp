#include "Association.h"
#include "RoutingAlternatives.h"
#include "Scenario.h"

#include <algorithm>
#include <string>

namespace sequoiakeel::bench {

namespace {

std::string
UnitOf(const std::string& aMeasure)
{
  if (aMeasure.starts_with("p")) {
    return "ms";
  }
  return aMeasure == "in-time" ? "%" : "per-1000";
}

/** Returns the options of a run with the policy named aPolicy. */
AssociationOptions
OptionsFor(const std::string& aPolicy, const std::string& aProbes)
{
  AssociationOptions options;
  options.naive = aPolicy == "naive";
  const bool weighed = std::ranges::find(RoutingAlternatives(), aPolicy) !=
                       RoutingAlternatives().end();
  if (weighed || aPolicy == "random") {
    // The alternatives replace only the routing policy; the queue, health
    // checks and limits stay the current ones.
    const std::string name = aPolicy == "random" ? "naive" : aPolicy;
    options.makePolicy = [name]() { return MakeRoutingAlternative(name); };
  }
  options.probesPerRequest = static_cast<std::uint32_t>(std::stoul(aProbes));
  return options;
}

void
RunShape(const std::string& aShape,
         const std::string& aPolicy,
         const ScenarioOptions& aOptions,
         const Report& aReport)
{
  const std::string probes =
    aOptions.Get("probes", aPolicy == "probe-pool" ? "3" : "0");
  AssociationOptions options = OptionsFor(aPolicy, probes);
  options.shape = aShape;
  options.seed = aOptions.seed;
  options.disabledPart = aOptions.Get("without", "");
  options.rate = std::stod(aOptions.Get("rate", "5500"));
  for (const auto& [measure, value] : RunAssociation(options)) {
    aReport({ "association",
              aPolicy,
              measure,
              value,
              UnitOf(measure),
              aOptions.seed,
              { { "shape", aShape } } });
  }
}

/** Runs the association scenario. Option keys: shape, policy (naive, current,
 * random or one of the alternatives), rate (quotes per second), probes (per
 * request), without (queue or health: the part of the current policies that is
 * disabled). By default runs all shapes with the naive and the current
 * policies. */
void
Run(const ScenarioOptions& aOptions, const Report& aReport)
{
  const std::string wanted = aOptions.Get("shape", "");
  const std::string policy = aOptions.Get("policy", "");
  for (const std::string_view shape : AssociationShapes()) {
    if (!wanted.empty() && shape != wanted) {
      continue;
    }
    if (!policy.empty()) {
      RunShape(std::string(shape), policy, aOptions, aReport);
      continue;
    }
    RunShape(std::string(shape), "naive", aOptions, aReport);
    RunShape(std::string(shape), "current", aOptions, aReport);
  }
}

const RegisterScenario kAssociation(
  "association",
  "Quotes of the association: 50 workers, 9 entries, 8 shapes of load",
  Run);

} // namespace

} // namespace sequoiakeel::bench
