#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sequoiakeel {

/** One measured value of a benchmark. */
struct Measurement
{
  std::string scenario;
  /** "naive" or "current"; empty if the scenario compares no policies. */
  std::string policy;
  std::string measure;
  double value = 0;
  std::string unit;
  std::uint64_t seed = 0;
  /** Further keys of the output, such as the shape of the load. */
  std::map<std::string, std::string> labels;
};

/** Options of a scenario from the command line. */
struct ScenarioOptions
{
  std::uint64_t seed = 1;
  /** Values given as `--set key=value`; a scenario documents its keys. */
  std::map<std::string, std::string> parameters;

  /** Value of the parameter aKey, or aDefault if it is not set. */
  std::string Get(const std::string& aKey, const std::string& aDefault) const
  {
    const auto found = this->parameters.find(aKey);
    return found == this->parameters.end() ? aDefault : found->second;
  }
};

/** Callback that receives each measurement as soon as it is available. */
using Report = std::function<void(const Measurement&)>;

/** A named benchmark. */
struct Scenario
{
  std::string name;
  std::string description;
  std::function<void(const ScenarioOptions&, const Report&)> run;
};

/** All registered scenarios, in no particular order. */
inline std::vector<Scenario>&
Scenarios()
{
  static std::vector<Scenario> scenarios;
  return scenarios;
}

/** Registers a scenario before main; define one at namespace scope in the
 * scenario's source file. */
struct RegisterScenario
{
  RegisterScenario(
    std::string aName,
    std::string aDescription,
    std::function<void(const ScenarioOptions&, const Report&)> aRun)
  {
    Scenarios().push_back(
      { std::move(aName), std::move(aDescription), std::move(aRun) });
  }
};

} // namespace sequoiakeel
