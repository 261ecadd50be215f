#include "ConfigurationCheck.h"
#include "OperatorCommands.h"
#include "SchemaCheck.h"
#include "SettingsFile.h"
#include "generated/ResourcesJson.h"
#include "generated/SchemaText.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>

using namespace sequoiakeel;

namespace {

struct Deployment
{
  const char* name;
  std::int64_t workers;
};

constexpr std::array<Deployment, 2> kDeployments{ Deployment{ "lakeshore", 65 },
                                                  Deployment{ "association",
                                                              50 } };
constexpr Resources kWorker{ 32000, 125000, 0 };

std::string
PathOf(const Deployment& aDeployment, const std::string& aFile)
{
  const char* root = std::getenv("SEQUOIAKEEL_SOURCE");
  REQUIRE(root != nullptr);
  return std::string(root) + "/samples/" + aDeployment.name + "/" + aFile;
}

Configuration
ReadSample(const Deployment& aDeployment)
{
  const std::string path = PathOf(aDeployment, "configuration.json");
  const std::string text = ReadTextFile(path);
  const Findings findings = CheckConfiguration(text);
  CHECK_MESSAGE(findings.Ok(), findings.Format(path));
  return ParseConfiguration(text);
}

std::string
JobSchema()
{
  nlohmann::json schema = nlohmann::json::parse(schema_text::kResources);
  schema["$ref"] = "#/$defs/JobSpec";
  return schema.dump();
}

template<class Item>
std::set<std::string>
NamesOf(const std::vector<Item>& aItems)
{
  std::set<std::string> names;
  for (const Item& item : aItems) {
    names.insert(item.name);
  }
  return names;
}

} // namespace

// Guards against sample configurations that violate the schema or a cross-field
// rule, and against quotas of the teams that add up to more than the capacity
// of the workers.
TEST_CASE("the sample configurations are valid and their quotas fit the fleet")
{
  for (const Deployment& deployment : kDeployments) {
    const Configuration sample = ReadSample(deployment);
    CHECK(sample.cells.size() == 3);
    CHECK(sample.limits.plannersExpected == 9);
    Resources sum;
    for (const Team& team : sample.teams) {
      sum.cpuMillis += team.quota.cpuMillis;
      sum.memoryMb += team.quota.memoryMb;
    }
    CHECK(sum.cpuMillis <= deployment.workers * kWorker.cpuMillis);
    CHECK(sum.memoryMb <= deployment.workers * kWorker.memoryMb);
  }
}

// Guards against sample settings with which a process would not start, or an
// entry and a planner of one host that bind the same port.
TEST_CASE("the sample settings are valid and consistent with each other")
{
  for (const Deployment& deployment : kDeployments) {
    const Settings entry = LoadSettings(PathOf(deployment, "entry.json"));
    const Settings planner = LoadSettings(PathOf(deployment, "planner.json"));
    CHECK(entry.host == planner.host);
    CHECK(entry.peer.port != planner.peer.port);
    CHECK(entry.http.port != entry.peer.port);
    CHECK(entry.store == planner.store);
    CHECK(entry.seeds == planner.seeds);
    std::set<std::string> zones;
    for (const Cell& cell : ReadSample(deployment).cells) {
      zones.insert(cell.zone);
    }
    CHECK(zones.contains(entry.zone));
  }
}

// Guards against sample jobs that an entry would refuse.
TEST_CASE("the sample jobs name teams and task classes of their configuration")
{
  const std::set<std::string> others{ "configuration.json",
                                      "entry.json",
                                      "planner.json" };
  for (const Deployment& deployment : kDeployments) {
    const Configuration sample = ReadSample(deployment);
    int jobs = 0;
    for (const auto& file :
         std::filesystem::directory_iterator(PathOf(deployment, ""))) {
      if (others.contains(file.path().filename().string())) {
        continue;
      }
      ++jobs;
      const std::string text = ReadTextFile(file.path().string());
      const Findings findings = CheckAgainstSchema(text, JobSchema());
      CHECK_MESSAGE(findings.Ok(), findings.Format(file.path().string()));
      const auto spec = nlohmann::json::parse(text).get<JobSpec>();
      CHECK(NamesOf(sample.teams).contains(spec.team));
      CHECK(NamesOf(sample.taskClasses).contains(spec.taskClass));
    }
    CHECK(jobs == 2);
  }
}
