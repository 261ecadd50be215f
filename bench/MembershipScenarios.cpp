// Measures traffic, processor time and convergence of the membership protocol
// on an in-memory network with a manual clock.
#include "Scenario.h"

#include "support/GossipNetwork.h"

#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

namespace sequoiakeel {

namespace {

using std::chrono::seconds;

struct Variant
{
  std::string name;
  GossipOptions options;
};

GossipOptions
Options(RowChoice aChoice, bool aBeats, bool aPush, bool aPull)
{
  GossipOptions options;
  options.datagram.choice = aChoice;
  options.datagram.beats = aBeats;
  options.push = aPush;
  options.pull = aPull;
  return options;
}

std::vector<Variant>
Variants()
{
  return {
    { "rounds-only", Options(RowChoice::NewestFirst, true, false, false) },
    { "push", Options(RowChoice::NewestFirst, true, true, false) },
    { "push-pull", Options(RowChoice::NewestFirst, true, true, true) },
    { "push-pull-random-rows", Options(RowChoice::Random, true, true, true) },
    { "push-pull-rows-without-beats",
      Options(RowChoice::NewestFirst, false, true, true) },
    { "push-pull-random-rows-without-beats",
      Options(RowChoice::Random, false, true, true) },
  };
}

double
ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

struct Setting
{
  std::size_t members;
  int loss;
  std::uint64_t seed;
  Variant variant;
};

class Reporter
{
public:
  Reporter(const Report& aReport, std::string aScenario, Setting aSetting)
    : report(aReport)
    , scenario(std::move(aScenario))
    , setting(std::move(aSetting))
  {
  }

  void operator()(const std::string& aMeasure,
                  double aValue,
                  const std::string& aUnit) const
  {
    Measurement figure;
    figure.scenario = this->scenario;
    figure.policy = this->setting.variant.name;
    figure.measure = aMeasure;
    figure.value = aValue;
    figure.unit = aUnit;
    figure.seed = this->setting.seed;
    figure.labels = { { "members", std::to_string(this->setting.members) },
                      { "loss_percent", std::to_string(this->setting.loss) } };
    this->report(figure);
  }

private:
  const Report& report;
  std::string scenario;
  Setting setting;
};

GossipNetwork
MakeNetwork(const Setting& aSetting)
{
  NetworkPlan plan;
  plan.members = aSetting.members;
  plan.seed = aSetting.seed;
  plan.lossPercent = aSetting.loss;
  plan.options = aSetting.variant.options;
  return GossipNetwork(plan);
}

double
Percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const double last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last)];
}

/** Reports the quality of all members' views: ages of rows, false suspicions
 * and missing members. */
void
ReportViews(GossipNetwork& aNetwork, const Reporter& aReport)
{
  std::vector<double> ages;
  std::vector<double> plannerAges;
  double suspects = 0;
  double plannerSuspects = 0;
  double plannerPairs = 0;
  double majorities = 0;
  std::size_t planners = 0;
  const double members = static_cast<double>(aNetwork.Count());
  for (std::size_t index = 0; index < aNetwork.Count(); ++index) {
    const MemberRow& own = aNetwork.At(index).Table().Own();
    planners += own.role == MemberRole::Planner ? 1 : 0;
  }
  double missing = 0;
  double pairs = 0;
  for (std::size_t index = 0; index < aNetwork.Count(); ++index) {
    const Membership& table = aNetwork.At(index).Table();
    const std::vector<Member> known = table.Members();
    majorities += table.CountStoreReports(planners).majorityReachable ? 1 : 0;
    missing += static_cast<double>(aNetwork.Count() - known.size());
    pairs += static_cast<double>(aNetwork.Count() - 1);
    for (const Member& member : known) {
      suspects += member.suspect ? 1 : 0;
      if (member.row.name != table.Own().name) {
        ages.push_back(Seconds(member.age));
        if (member.row.role == MemberRole::Planner) {
          plannerAges.push_back(Seconds(member.age));
          plannerSuspects += member.suspect ? 1 : 0;
          plannerPairs += 1;
        }
      }
    }
  }
  aReport("row_age_median", Percentile(ages, 0.5), "s");
  aReport("row_age_p99", Percentile(ages, 0.99), "s");
  aReport("planner_row_age_median", Percentile(plannerAges, 0.5), "s");
  aReport("planner_row_age_p90", Percentile(plannerAges, 0.9), "s");
  aReport("store_majority_seen", 100 * majorities / members, "percent");
  aReport("false_suspects", 100 * suspects / pairs, "percent");
  aReport("false_suspects_among_planners",
          100 * plannerSuspects / plannerPairs,
          "percent");
  aReport("missing", 100 * missing / pairs, "percent");
}

void
RunTraffic(const Setting& aSetting, const Report& aReport)
{
  constexpr seconds kWarmUp{ 60 };
  constexpr seconds kMeasured{ 60 };
  const Reporter report(aReport, "membership-traffic", aSetting);
  GossipNetwork network = MakeNetwork(aSetting);
  network.Run(kWarmUp);
  const auto total = [&network] {
    GossipCounters sum;
    for (std::size_t index = 0; index < network.Count(); ++index) {
      const GossipCounters& counters = network.At(index).Counters();
      sum.bytesSent += counters.bytesSent;
      sum.bytesReceived += counters.bytesReceived;
    }
    return sum;
  };
  const GossipCounters before = total();
  const double cpu = ProcessorSeconds();
  network.Run(kMeasured);
  const double used = ProcessorSeconds() - cpu;
  const GossipCounters after = total();
  const double scale =
    static_cast<double>(aSetting.members) * Seconds(kMeasured);
  report("sent",
         static_cast<double>(after.bytesSent - before.bytesSent) / scale,
         "B/s per process");
  report("received",
         static_cast<double>(after.bytesReceived - before.bytesReceived) /
           scale,
         "B/s per process");
  report("processor", 1e6 * used / scale, "us/s per process");
  ReportViews(network, report);
}

void
RunConvergence(const Setting& aSetting, const Report& aReport)
{
  constexpr int kChanges = 20;
  constexpr seconds kWarmUp{ 60 };
  constexpr seconds kLimit{ 60 };
  const Reporter report(aReport, "membership-convergence", aSetting);
  GossipNetwork network = MakeNetwork(aSetting);
  // Simulates a fetch over TCP, which takes less than a step: the member has
  // the announcer's generation at once.
  network.onGeneration = [&network](std::size_t aMember,
                                    const MemberRow& aAnnouncer) {
    Gossip& gossip = network.At(aMember);
    gossip.AnnounceGeneration(aAnnouncer.configurationGeneration);
    network.Send(aMember, gossip.Flush());
  };
  network.Run(kWarmUp);
  std::vector<double> everywhere;
  std::vector<double> mostly;
  for (std::uint64_t generation = 1; generation <= kChanges; ++generation) {
    const auto reached = [&network, generation] {
      std::size_t count = 0;
      for (std::size_t index = 0; index < network.Count(); ++index) {
        const MemberRow& own = network.At(index).Table().Own();
        count += own.configurationGeneration >= generation ? 1 : 0;
      }
      return count;
    };
    const std::size_t author = generation * 7 % network.Count();
    network.At(author).AnnounceGeneration(generation);
    network.Send(author, network.At(author).Flush());
    const Duration most = network.RunUntil(
      [&] { return reached() * 10 >= network.Count() * 9; }, kLimit);
    const Duration rest =
      network.RunUntil([&] { return reached() == network.Count(); }, kLimit);
    mostly.push_back(Seconds(most));
    everywhere.push_back(Seconds(most + rest));
    network.Run(seconds(5));
  }
  report("nine_tenths_median", Percentile(mostly, 0.5), "s");
  report("everywhere_median", Percentile(everywhere, 0.5), "s");
  report("everywhere_max", Percentile(everywhere, 1.0), "s");
}

using Runner = void (*)(const Setting&, const Report&);

/** Runs all variants. Keys: members (default 0: 9, 50 and 200 in turn) and loss
 * in percent (default -1: 0, 10 and 30 in turn). */
void
RunAll(Runner aRunner, const ScenarioOptions& aOptions, const Report& aReport)
{
  std::vector<std::size_t> sizes{ 9, 50, 200 };
  std::vector<int> losses{ 0, 10, 30 };
  const std::size_t members = std::stoul(aOptions.Get("members", "0"));
  const int loss = std::stoi(aOptions.Get("loss", "-1"));
  if (members > 0) {
    sizes = { members };
  }
  if (loss >= 0) {
    losses = { loss };
  }
  for (const std::size_t size : sizes) {
    for (const int percent : losses) {
      for (const Variant& variant : Variants()) {
        aRunner({ size, percent, aOptions.seed, variant }, aReport);
      }
    }
  }
}

const RegisterScenario kTraffic(
  "membership-traffic",
  "Bytes, processor time and freshness of the membership for each process",
  [](const ScenarioOptions& aOptions, const Report& aReport) {
    RunAll(RunTraffic, aOptions, aReport);
  });

const RegisterScenario kConvergence(
  "membership-convergence",
  "Time until a new configuration generation is known everywhere",
  [](const ScenarioOptions& aOptions, const Report& aReport) {
    RunAll(RunConvergence, aOptions, aReport);
  });

} // namespace

} // namespace sequoiakeel
