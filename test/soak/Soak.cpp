/**
 * Randomized fault soak: runs real scheduler processes against simulated
 * platform services on loopback and injects faults from outside the processes.
 * Exits with code 0 if no guarantee was violated. The logs of each seed that
 * failed are kept.
 */
#include "Log.h"
#include "SoakRun.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace sequoiakeel;

/** Reads seeds from a file: one number per line, optionally followed by a
 * comment. Empty lines and lines that start with '#' are skipped. */
std::vector<std::uint64_t>
ReadSeeds(const std::string& aPath)
{
  std::vector<std::uint64_t> seeds;
  std::ifstream file(aPath);
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty() && line.front() != '#') {
      seeds.push_back(std::stoull(line));
    }
  }
  return seeds;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("Soaks the scheduler in faults");
  soak::SoakPlan plan;
  std::uint64_t first = 1;
  int count = 1;
  int faults = 8;
  bool log = false;
  std::string seedFile;
  std::string folder =
    (std::filesystem::temp_directory_path() / "sequoiakeel-soak").string();
  app.add_option("--seed", first, "First seed");
  app.add_option("--count", count, "Number of seeds");
  app.add_option("--seeds-of", seedFile, "File of seeds to play instead");
  app.add_option("--faults-s", faults, "Time of the faults, in seconds");
  app.add_option("--nodes", plan.nodes, "Scheduler processes");
  app.add_option("--workers", plan.workers, "Workers");
  app.add_option("--callers", plan.callers, "Callers");
  app.add_flag("--crashing-tasks", plan.crashingTasks, "Tasks crash workers");
  app.add_flag("--resizes", plan.resizes, "Workers shrink and grow");
  app.add_flag("--restarts", plan.restarts, "Workers restart and are cut off");
  app.add_flag("--log", log, "Log commands, ends and faults of workers");
  app.add_option("--folder", folder, "Folder of the logs");
  CLI11_PARSE(app, aArgumentCount, aArguments);
  StartLogging("soak", log ? LogLevel::Debug : LogLevel::Error);
  plan.faults = std::chrono::seconds(faults);
  std::vector<std::uint64_t> seeds;
  for (int i = 0; i < count; ++i) {
    seeds.push_back(first + static_cast<std::uint64_t>(i));
  }
  if (!seedFile.empty()) {
    seeds = ReadSeeds(seedFile);
  }
  int failed = 0;
  for (const std::uint64_t seed : seeds) {
    plan.seed = seed;
    plan.folder = folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(plan.folder);
    std::filesystem::create_directories(plan.folder);
    const soak::SoakResult result = soak::RunSoak(plan);
    std::cout << "seed " << seed << ": " << result.jobs << " jobs, "
              << result.starts << " starts, " << result.faults.size()
              << " faults, " << result.violations.size() << " broken promises"
              << std::endl;
    if (result.violations.empty()) {
      std::filesystem::remove_all(plan.folder);
      continue;
    }
    ++failed;
    for (const std::string& fault : result.faults) {
      std::cout << "  fault " << fault << "\n";
    }
    for (const std::string& broken : result.violations) {
      std::cout << "  broken " << broken << "\n";
    }
    std::cout << "  logs " << plan.folder << std::endl;
  }
  std::cout << seeds.size() - failed << " passed, " << failed << " failed"
            << std::endl;
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
