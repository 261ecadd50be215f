#include "Scenario.h"
#include "ServerSubset.h"
#include "ServerTable.h"

#include <ctime>
#include <string>
#include <vector>

namespace sequoiakeel::bench {

namespace {

/** Ratio of entry hosts to workers in present deployments. */
constexpr double kEntriesPerWorker = 9.0 / 50;
/** Entries that use one worker: one below the default of entries_max, 10. */
constexpr std::size_t kEntriesPerServer = 9;
constexpr std::size_t kDecisions = 200000;
constexpr Duration kStep = std::chrono::microseconds(200);

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::vector<std::string>
MakeNames(const std::string& aPrefix, std::size_t aCount)
{
  std::vector<std::string> names;
  for (std::size_t index = 0; index < aCount; ++index) {
    names.push_back(aPrefix + std::to_string(index));
  }
  return names;
}

/** Mean processor time of a decision with its feedback, with up to ten requests
 * in progress. */
double
MicrosecondsPerDecision(ServerTable& aTable, std::uint64_t aSeed)
{
  Random random(aSeed);
  TimePoint now{ std::chrono::hours(1) };
  std::vector<ServerId> open;
  const double start = ProcessorSeconds();
  for (std::size_t decision = 0; decision < kDecisions; ++decision) {
    now += kStep;
    RequestView request;
    request.deadline = now + std::chrono::seconds(1);
    const RoutingDecision choice = aTable.Choose(request, now, random);
    const ServerId server = aTable.Views()[choice.index.value()].id;
    aTable.OnStart(server, now);
    open.push_back(server);
    if (open.size() < 10) {
      continue;
    }
    const Duration latency =
      std::chrono::milliseconds(10 + DrawIndex(random, 40));
    aTable.OnResponse(open.front(), latency, now);
    open.erase(open.begin());
  }
  return (ProcessorSeconds() - start) * 1e6 / kDecisions;
}

/** Measures the choice of a subset from a fleet of aServers, and decisions over
 * the subset and over the whole fleet. */
void
RunSize(std::size_t aServers,
        const ScenarioOptions& aOptions,
        const Report& aReport)
{
  const std::vector<std::string> workers = MakeNames("worker-", aServers);
  const std::vector<std::string> entries =
    MakeNames("entry-",
              static_cast<std::size_t>(static_cast<double>(aServers) *
                                       kEntriesPerWorker));
  const std::vector<std::string_view> workerViews(workers.begin(),
                                                  workers.end());
  const std::vector<std::string_view> entryViews(entries.begin(),
                                                 entries.end());
  const auto report = [&](const std::string& aPolicy,
                          const std::string& aMeasure,
                          double aValue,
                          const std::string& aUnit) {
    aReport({ "routing-cost",
              aPolicy,
              aMeasure,
              aValue,
              aUnit,
              aOptions.seed,
              { { "servers", std::to_string(aServers) } } });
  };
  const double start = ProcessorSeconds();
  const std::vector<std::size_t> subset =
    ChooseSubset(entries.front(), entryViews, workerViews, kEntriesPerServer);
  report("", "subset-time", (ProcessorSeconds() - start) * 1e3, "ms");
  report("", "subset-size", static_cast<double>(subset.size()), "servers");
  for (const std::string policy : { "naive", "current" }) {
    ServerTableOptions options;
    options.zone = "zone-0";
    options.policy = policy;
    ServerTable whole(options);
    for (const std::string& worker : workers) {
      whole.Add(worker, "zone-" + std::to_string(worker.back() % 3));
    }
    ServerTable part(options);
    for (const std::size_t index : subset) {
      part.Add(workers[index], "zone-" + std::to_string(index % 3));
    }
    report(policy,
           "decision-subset",
           MicrosecondsPerDecision(part, aOptions.seed),
           "us");
    report(policy,
           "decision-whole-fleet",
           MicrosecondsPerDecision(whole, aOptions.seed),
           "us");
  }
}

void
Run(const ScenarioOptions& aOptions, const Report& aReport)
{
  for (const std::size_t servers : { 50, 500, 5600 }) {
    RunSize(servers, aOptions, aReport);
  }
}

const RegisterScenario kRoutingCost(
  "routing-cost",
  "Processor time of a routing decision with its feedback, by fleet size",
  Run);

} // namespace

} // namespace sequoiakeel::bench
