#include "RoutingAlternatives.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <vector>

namespace sequoiakeel::bench {

namespace {

constexpr std::array<std::string_view, 6> kAlternatives = {
  "round-robin", "least-in-flight", "two-choices",
  "probe-pool",  "two-estimates",   "peer-reports"
};
/** Age below which a probe is used, and the maximum number of probes used. */
constexpr Duration kProbeAge = std::chrono::seconds(1);
constexpr std::size_t kProbePool = 16;

RoutingDecision
Decide(std::optional<std::size_t> aIndex)
{
  RoutingDecision decision;
  decision.index = aIndex;
  decision.reason =
    aIndex ? RoutingReason::LowestScore : RoutingReason::AllAtLimit;
  return decision;
}

/** Chooses the next eligible server in order. */
class RoundRobin : public RoutingPolicy
{
public:
  RoutingDecision Choose(const RequestView&,
                         std::span<const ServerView> aServers,
                         TimePoint,
                         Random&) override
  {
    for (std::size_t step = 0; step < aServers.size(); ++step) {
      this->last = (this->last + 1) % aServers.size();
      if (IsEligible(aServers[this->last])) {
        return Decide(this->last);
      }
    }
    return Decide(std::nullopt);
  }

private:
  std::size_t last = 0;
};

/** Chooses the server with the fewest own requests in progress; ties are broken
 * at random. */
class LeastInFlight : public RoutingPolicy
{
public:
  RoutingDecision Choose(const RequestView&,
                         std::span<const ServerView> aServers,
                         TimePoint,
                         Random& aRandom) override
  {
    std::optional<std::size_t> best;
    std::size_t ties = 0;
    for (std::size_t index = 0; index < aServers.size(); ++index) {
      const ServerView& server = aServers[index];
      if (!IsEligible(server)) {
        continue;
      }
      if (!best || server.inFlight < aServers[*best].inFlight) {
        best = index;
        ties = 1;
        continue;
      }
      if (server.inFlight > aServers[*best].inFlight) {
        continue;
      }
      ++ties;
      if (DrawIndex(aRandom, ties) == 0) {
        best = index;
      }
    }
    return Decide(best);
  }
};

/** Draws two servers at random and chooses the one with fewer own requests in
 * progress. */
class TwoChoices : public RoutingPolicy
{
public:
  TwoChoices()
    : naive(MakeRoutingPolicy("naive"))
  {
  }

  RoutingDecision Choose(const RequestView& aRequest,
                         std::span<const ServerView> aServers,
                         TimePoint aNow,
                         Random& aRandom) override
  {
    const RoutingDecision first =
      this->naive->Choose(aRequest, aServers, aNow, aRandom);
    const RoutingDecision second =
      this->naive->Choose(aRequest, aServers, aNow, aRandom);
    if (!first.index || !second.index) {
      return first;
    }
    const bool secondHasFewer =
      aServers[*second.index].inFlight < aServers[*first.index].inFlight;
    return secondHasFewer ? second : first;
  }

private:
  std::unique_ptr<RoutingPolicy> naive;
};

/** Chooses the least loaded server among the most recent probes, or a random
 * server if there are no recent probes. */
class ProbePool : public RoutingPolicy
{
public:
  ProbePool()
    : naive(MakeRoutingPolicy("naive"))
  {
  }

  RoutingDecision Choose(const RequestView& aRequest,
                         std::span<const ServerView> aServers,
                         TimePoint aNow,
                         Random& aRandom) override
  {
    this->pool.clear();
    for (std::size_t index = 0; index < aServers.size(); ++index) {
      const ServerView& server = aServers[index];
      const bool recent = server.peersReportAge >= Duration(0) &&
                          server.peersReportAge < kProbeAge;
      if (recent && IsEligible(server)) {
        this->pool.push_back(index);
      }
    }
    if (this->pool.empty()) {
      return this->naive->Choose(aRequest, aServers, aNow, aRandom);
    }
    const std::size_t size = std::min(this->pool.size(), kProbePool);
    std::ranges::partial_sort(
      this->pool,
      this->pool.begin() + static_cast<std::ptrdiff_t>(size),
      {},
      [&](std::size_t aIndex) { return aServers[aIndex].peersReportAge; });
    this->pool.resize(size);
    const auto best =
      std::ranges::min_element(this->pool, {}, [&](std::size_t aIndex) {
        const ServerView& server = aServers[aIndex];
        return std::make_tuple(server.peersInFlight + server.inFlight,
                               server.latency);
      });
    return Decide(*best);
  }

private:
  std::unique_ptr<RoutingPolicy> naive;
  std::vector<std::size_t> pool;
};

} // namespace

std::span<const std::string_view>
RoutingAlternatives()
{
  return kAlternatives;
}

std::unique_ptr<RoutingPolicy>
MakeRoutingAlternative(std::string_view aName)
{
  if (aName == "round-robin") {
    return std::make_unique<RoundRobin>();
  }
  if (aName == "least-in-flight") {
    return std::make_unique<LeastInFlight>();
  }
  if (aName == "two-choices") {
    return std::make_unique<TwoChoices>();
  }
  if (aName == "probe-pool") {
    return std::make_unique<ProbePool>();
  }
  RoutingOptions options;
  if (aName == "two-estimates") {
    options.choices = 2;
    return MakeRoutingPolicy("current", options);
  }
  if (aName == "peer-reports") {
    options.peersWeight = 0.2;
    options.peersDecay = std::chrono::seconds(2);
    return MakeRoutingPolicy("current", options);
  }
  return MakeRoutingPolicy(aName);
}

} // namespace sequoiakeel::bench
