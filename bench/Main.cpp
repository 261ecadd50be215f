#include "Scenario.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <iostream>

namespace {

using sequoiakeel::Measurement;
using sequoiakeel::Scenario;
using sequoiakeel::ScenarioOptions;

void
PrintJson(const Measurement& aMeasurement)
{
  nlohmann::ordered_json line;
  line["scenario"] = aMeasurement.scenario;
  line["policy"] = aMeasurement.policy;
  line["measure"] = aMeasurement.measure;
  line["value"] = aMeasurement.value;
  line["unit"] = aMeasurement.unit;
  line["seed"] = aMeasurement.seed;
  for (const auto& [key, value] : aMeasurement.labels) {
    line[key] = value;
  }
  std::cout << line.dump() << '\n' << std::flush;
}

void
PrintText(const Measurement& aMeasurement)
{
  std::cout << aMeasurement.scenario;
  for (const auto& [key, value] : aMeasurement.labels) {
    std::cout << ' ' << key << '=' << value;
  }
  std::cout << " seed=" << aMeasurement.seed << ' ' << aMeasurement.policy
            << ' ' << aMeasurement.measure << ": " << aMeasurement.value << ' '
            << aMeasurement.unit << '\n'
            << std::flush;
}

void
PrintList()
{
  for (const Scenario& scenario : sequoiakeel::Scenarios()) {
    std::cout << scenario.name << "  " << scenario.description << '\n';
  }
}

std::map<std::string, std::string>
ParseParameters(const std::vector<std::string>& aTexts)
{
  std::map<std::string, std::string> parameters;
  for (const std::string& text : aTexts) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
      throw CLI::ValidationError("--set", "expects key=value: " + text);
    }
    parameters[text.substr(0, equals)] = text.substr(equals + 1);
  }
  return parameters;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Benchmarks of sequoiakeel");
  bool list = false;
  bool json = false;
  std::string name;
  std::vector<std::string> settings;
  ScenarioOptions options;
  app.add_flag("--list", list, "Print the names of the scenarios");
  app.add_option("--scenario", name, "Scenario to run");
  app.add_option("--seed", options.seed, "Seed of the random source");
  app.add_flag("--json", json, "Print one JSON object a line");
  app.add_option("--set", settings, "Parameter of the scenario, key=value");
  try {
    app.parse(aCount, aArguments);
    options.parameters = ParseParameters(settings);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  std::ranges::sort(sequoiakeel::Scenarios(), {}, &Scenario::name);
  if (list) {
    PrintList();
    return 0;
  }
  const auto found =
    std::ranges::find(sequoiakeel::Scenarios(), name, &Scenario::name);
  if (found == sequoiakeel::Scenarios().end()) {
    std::cerr << "unknown scenario: " << name << "; see --list\n";
    return 2;
  }
  try {
    found->run(options, json ? PrintJson : PrintText);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << '\n';
    return 1;
  }
  return 0;
}
