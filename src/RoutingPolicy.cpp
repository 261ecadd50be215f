#include "RoutingPolicy.h"

#include "Error.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace sequoiakeel {

namespace {

/** Number of servers that the naive policy draws at random; if none of them is
 * eligible, it scans all servers. */
constexpr std::size_t kNaiveDraws = 8;
/** Number of random draws per requested candidate before all servers are
 * scanned. */
constexpr std::size_t kDrawsPerCandidate = 2;
/** Maximum number of candidates that are compared. */
constexpr std::size_t kMaxChoices = 64;
/** Lower bound of a latency sample in milliseconds; the logarithm requires a
 * positive value. */
constexpr double kMinLatencySample = 0.001;
/** Lower bound of the typical latency in milliseconds, which is also assumed
 * before the first response. */
constexpr double kMinTypicalLatency = 1;

double
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

bool
WasTried(const RequestView& aRequest, ServerId aServer)
{
  return std::ranges::find(aRequest.tried, aServer) != aRequest.tried.end();
}

/** Returns the reason why none of aServers is eligible. */
RoutingReason
ReasonForNoServer(std::span<const ServerView> aServers)
{
  if (aServers.empty()) {
    return RoutingReason::NoServers;
  }
  bool allLeaving = true;
  bool allUnhealthy = true;
  for (const ServerView& server : aServers) {
    if (server.leaving) {
      continue;
    }
    allLeaving = false;
    allUnhealthy = allUnhealthy && server.health != HealthState::Healthy;
  }
  if (allLeaving) {
    return RoutingReason::AllLeaving;
  }
  return allUnhealthy ? RoutingReason::AllUnhealthy : RoutingReason::AllAtLimit;
}

/** Chooses uniformly at random among the eligible servers. */
class NaivePolicy : public RoutingPolicy
{
public:
  RoutingDecision Choose(const RequestView& aRequest,
                         std::span<const ServerView> aServers,
                         TimePoint aNow,
                         Random& aRandom) override
  {
    RoutingDecision decision;
    if (aRequest.deadline <= aNow) {
      decision.reason = RoutingReason::DeadlinePassed;
      return decision;
    }
    for (std::size_t draw = 0; draw < kNaiveDraws && !aServers.empty();
         ++draw) {
      const std::size_t index = DrawIndex(aRandom, aServers.size());
      if (IsEligible(aServers[index])) {
        decision.index = index;
        decision.reason = RoutingReason::Drawn;
        return decision;
      }
    }
    return this->ChooseByScan(aServers, aRandom);
  }

private:
  static RoutingDecision ChooseByScan(std::span<const ServerView> aServers,
                                      Random& aRandom)
  {
    RoutingDecision decision;
    std::size_t seen = 0;
    for (std::size_t index = 0; index < aServers.size(); ++index) {
      if (!IsEligible(aServers[index])) {
        continue;
      }
      ++seen;
      if (DrawIndex(aRandom, seen) == 0) {
        decision.index = index;
      }
    }
    decision.reason =
      decision.index ? RoutingReason::Drawn : ReasonForNoServer(aServers);
    return decision;
  }
};

/** Chooses the server with the lowest expected latency among a few eligible
 * servers drawn at random. */
class CurrentPolicy : public RoutingPolicy
{
public:
  explicit CurrentPolicy(const RoutingOptions& aOptions)
    : options(aOptions)
  {
    this->options.choices =
      std::clamp<std::size_t>(this->options.choices, 1, kMaxChoices);
  }

  RoutingDecision Choose(const RequestView& aRequest,
                         std::span<const ServerView> aServers,
                         TimePoint aNow,
                         Random& aRandom) override
  {
    RoutingDecision decision;
    if (aRequest.deadline <= aNow) {
      decision.reason = RoutingReason::DeadlinePassed;
      return decision;
    }
    this->Draw(aRequest, aServers, aRandom);
    if (this->drawn.size() < this->options.choices) {
      this->DrawByScan(aRequest, aServers, aRandom);
    }
    if (this->drawn.empty()) {
      return ChooseTried(aServers, aRandom);
    }
    return this->ChooseDrawn(aRequest, aServers, aNow);
  }

  void OnStart(ServerId aServer, TimePoint aNow) override
  {
    State& state = this->GetState(aServer);
    if (state.inFlight == 0) {
      state.replyDueSince = aNow;
    }
    ++state.inFlight;
  }

  void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow) override
  {
    this->EndRequest(aServer, aNow);
    this->AddSample(aServer, ToMilliseconds(aLatency), aNow);
    State& state = this->GetState(aServer);
    state.refusedShare -= kRefusalWeight * state.refusedShare;
  }

  void OnRefusal(ServerId aServer, TimePoint aNow) override
  {
    this->EndRequest(aServer, aNow);
    State& state = this->GetState(aServer);
    state.refusedShare += kRefusalWeight * (1 - state.refusedShare);
    state.lastRefusal = aNow;
  }

  void OnFailure(ServerId aServer, TimePoint aNow) override
  {
    this->EndRequest(aServer, aNow);
    // A failure counts as at least twice the typical latency. Otherwise a
    // server that fails immediately would appear to be the fastest one.
    const double cost =
      std::max(this->GetState(aServer).latency, this->typicalLatency);
    this->AddSample(aServer, 2 * cost, aNow);
  }

  void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow) override
  {
    State& state = this->GetState(aServer);
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    const double waited = ToMilliseconds(aWaited);
    if (waited > state.latency) {
      this->AddSample(aServer, waited, aNow);
    }
  }

  void OnAbandoned(ServerId aServer, TimePoint) override
  {
    State& state = this->GetState(aServer);
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
  }

  void Forget(ServerId aServer) override { this->GetState(aServer) = State(); }

private:
  struct State
  {
    /** Smoothed latency in milliseconds; zero if unknown. */
    double latency = 0;
    /** Smoothed share of requests that were refused. */
    double refusedShare = 0;
    TimePoint lastRefusal;
    std::uint32_t inFlight = 0;
    TimePoint lastSample;
    /** Time of the last response, refusal or failure, or of a later request
     * that was sent while no other was in progress. If requests are in
     * progress, a reply has been due since then. */
    TimePoint replyDueSince;
  };

  State& GetState(ServerId aServer)
  {
    if (aServer >= this->states.size()) {
      this->states.resize(aServer + 1);
    }
    return this->states[aServer];
  }

  void EndRequest(ServerId aServer, TimePoint aNow)
  {
    State& state = this->GetState(aServer);
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    state.replyDueSince = aNow;
  }

  void AddSample(ServerId aServer, double aMilliseconds, TimePoint aNow)
  {
    aMilliseconds = std::max(aMilliseconds, kMinLatencySample);
    State& state = this->GetState(aServer);
    if (state.latency == 0) {
      state.latency = aMilliseconds;
    }
    // The weight of the old estimate decays with the time since the last
    // sample.
    const double pause = ToMilliseconds(aNow - state.lastSample);
    const double decayed =
      1 - std::exp(-pause / ToMilliseconds(this->options.sampleDecay));
    const double weight = std::max(this->options.sampleWeight, decayed);
    // Smoothing the logarithm (a geometric mean) limits the influence of a
    // single large request among small ones, which says little about the
    // server.
    state.latency *= std::pow(aMilliseconds / state.latency, weight);
    state.lastSample = aNow;
    if (this->typicalLatency == 0) {
      this->typicalLatency = aMilliseconds;
    }
    this->typicalLatency *=
      std::pow(aMilliseconds / this->typicalLatency, kTypicalWeight);
  }

  /** Draws distinct eligible servers that did not refuse or fail the request
   * before. */
  void Draw(const RequestView& aRequest,
            std::span<const ServerView> aServers,
            Random& aRandom)
  {
    this->drawn.clear();
    if (aServers.empty()) {
      return;
    }
    const std::size_t draws = kDrawsPerCandidate * this->options.choices;
    for (std::size_t draw = 0; draw < draws; ++draw) {
      const std::size_t index = DrawIndex(aRandom, aServers.size());
      const ServerView& server = aServers[index];
      if (!IsEligible(server) || WasTried(aRequest, server.id) ||
          std::ranges::find(this->drawn, index) != this->drawn.end()) {
        continue;
      }
      this->drawn.push_back(index);
      if (this->drawn.size() == this->options.choices) {
        return;
      }
    }
  }

  /** Like Draw(), but scans all servers (reservoir sampling), so that no
   * eligible server is missed. */
  void DrawByScan(const RequestView& aRequest,
                  std::span<const ServerView> aServers,
                  Random& aRandom)
  {
    this->drawn.clear();
    std::size_t seen = 0;
    for (std::size_t index = 0; index < aServers.size(); ++index) {
      const ServerView& server = aServers[index];
      if (!IsEligible(server) || WasTried(aRequest, server.id)) {
        continue;
      }
      ++seen;
      if (this->drawn.size() < this->options.choices) {
        this->drawn.push_back(index);
        continue;
      }
      const std::size_t place = DrawIndex(aRandom, seen);
      if (place < this->options.choices) {
        this->drawn[place] = index;
      }
    }
  }

  /** Fallback: chooses uniformly among the eligible servers, all of which
   * already refused or failed the request. */
  static RoutingDecision ChooseTried(std::span<const ServerView> aServers,
                                     Random& aRandom)
  {
    RoutingDecision decision;
    std::size_t seen = 0;
    for (std::size_t index = 0; index < aServers.size(); ++index) {
      if (!IsEligible(aServers[index])) {
        continue;
      }
      ++seen;
      if (DrawIndex(aRandom, seen) == 0) {
        decision.index = index;
      }
    }
    decision.reason =
      decision.index ? RoutingReason::TriedBefore : ReasonForNoServer(aServers);
    return decision;
  }

  RoutingDecision ChooseDrawn(const RequestView& aRequest,
                              std::span<const ServerView> aServers,
                              TimePoint aNow)
  {
    std::array<RoutingCandidate, kMaxChoices> candidates;
    std::size_t count = 0;
    RoutingCandidate trial;
    for (const std::size_t index : this->drawn) {
      const ServerView& server = aServers[index];
      candidates[count] = { index, this->Score(aRequest, server, aNow) };
      if (server.health != HealthState::Probation) {
        ++count;
        continue;
      }
      if (this->MayBeTrial(aRequest, aNow)) {
        return { index, RoutingReason::Trial, candidates[count].score, {}, 0 };
      }
      trial = candidates[count];
    }
    if (count == 0) {
      // All candidates are on probation.
      return { trial.index, RoutingReason::Trial, trial.score, {}, 0 };
    }
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(
                                             std::min<std::size_t>(count, 3)),
                      end,
                      [](const auto& aLeft, const auto& aRight) {
                        return aLeft.score < aRight.score;
                      });
    RoutingDecision decision;
    decision.index = candidates[0].index;
    decision.score = candidates[0].score;
    decision.reason =
      count == 1 ? RoutingReason::OnlyCandidate : RoutingReason::LowestScore;
    for (std::size_t place = 1; place < std::min<std::size_t>(count, 3);
         ++place) {
      decision.alternatives[decision.alternativesCount++] = candidates[place];
    }
    return decision;
  }

  /** Returns whether the request may be used as a trial request: it is not
   * urgent, and enough time is left to retry it at another server if the server
   * on probation does not answer. */
  bool MayBeTrial(const RequestView& aRequest, TimePoint aNow) const
  {
    const double left = ToMilliseconds(aRequest.deadline - aNow);
    return !aRequest.urgent && left > kTrialTimeFactor * this->typicalLatency;
  }

  /** Returns the expected latency in milliseconds, increased by the load and
   * the refusals of the server. */
  double Score(const RequestView& aRequest,
               const ServerView& aServer,
               TimePoint aNow)
  {
    const State& state = this->GetState(aServer.id);
    const double distance = aServer.zone == aRequest.zone
                              ? 0
                              : 2 * ToMilliseconds(this->options.zoneDelay);
    double latency = this->Estimate(state, aNow);
    if (state.inFlight > 0) {
      // The latency is at least the time for which a reply has been due.
      latency = std::max(latency, ToMilliseconds(aNow - state.replyDueSince));
    }
    double load = this->options.loadWeight * aServer.inFlight;
    if (aServer.peersReportAge >= Duration(0) &&
        this->options.peersWeight > 0) {
      const double age = ToMilliseconds(aServer.peersReportAge);
      const double trust =
        std::exp(-age / ToMilliseconds(this->options.peersDecay));
      load += this->options.peersWeight * trust * aServer.peersInFlight;
    }
    // Refusals count as load: a full server has few requests of this entry in
    // progress, since it refuses them, and would otherwise appear idle.
    const double since = ToMilliseconds(aNow - state.lastRefusal);
    const double refused =
      state.refusedShare *
      std::exp(-since / ToMilliseconds(this->options.refusalDecay));
    load += this->options.refusalWeight * refused;
    return distance + latency * (1 + load);
  }

  /** Returns the latency estimate in milliseconds. Without new samples it
   * returns to the typical latency over all servers, so that a server that was
   * slow is used again. */
  double Estimate(const State& aState, TimePoint aNow) const
  {
    const double usual = std::max(this->typicalLatency, kMinTypicalLatency);
    if (aState.latency == 0) {
      return usual;
    }
    const double pause = ToMilliseconds(aNow - aState.lastSample);
    const double trust =
      std::exp(-pause / ToMilliseconds(this->options.estimateDecay));
    return usual + trust * (aState.latency - usual);
  }

  /** Smoothing weight of one request in the share of refusals. */
  static constexpr double kRefusalWeight = 0.2;
  /** Multiple of the typical latency that must be left until the deadline of a
   * trial request. */
  static constexpr double kTrialTimeFactor = 12;
  /** Smoothing weight of one sample in the typical latency. */
  static constexpr double kTypicalWeight = 0.01;

  RoutingOptions options;
  std::vector<State> states;
  std::vector<std::size_t> drawn;
  /** Smoothed latency over all servers in milliseconds; zero if unknown. */
  double typicalLatency = 0;
};

} // namespace

std::string_view
ToText(RoutingReason aReason)
{
  switch (aReason) {
    case RoutingReason::Drawn:
      return "drawn";
    case RoutingReason::LowestScore:
      return "lowest-score";
    case RoutingReason::OnlyCandidate:
      return "only-candidate";
    case RoutingReason::Trial:
      return "trial";
    case RoutingReason::TriedBefore:
      return "tried-before";
    case RoutingReason::NoServers:
      return "no-servers";
    case RoutingReason::AllLeaving:
      return "all-leaving";
    case RoutingReason::AllUnhealthy:
      return "all-unhealthy";
    case RoutingReason::AllAtLimit:
      return "all-at-limit";
    case RoutingReason::DeadlinePassed:
      return "deadline-passed";
  }
  throw InternalError("unknown routing reason");
}

bool
IsEligible(const ServerView& aServer)
{
  if (aServer.leaving || aServer.health == HealthState::Ejected) {
    return false;
  }
  if (aServer.health == HealthState::Probation && !aServer.trialAllowed) {
    return false;
  }
  return aServer.inFlight < aServer.softLimit &&
         aServer.inFlight < aServer.connectionLimit;
}

void
RoutingPolicy::OnStart(ServerId, TimePoint)
{
}

void
RoutingPolicy::OnResponse(ServerId, Duration, TimePoint)
{
}

void
RoutingPolicy::OnRefusal(ServerId, TimePoint)
{
}

void
RoutingPolicy::OnFailure(ServerId, TimePoint)
{
}

void
RoutingPolicy::OnTimeout(ServerId, Duration, TimePoint)
{
}

void
RoutingPolicy::OnAbandoned(ServerId, TimePoint)
{
}

void
RoutingPolicy::Forget(ServerId)
{
}

std::unique_ptr<RoutingPolicy>
MakeRoutingPolicy(std::string_view aName, const RoutingOptions& aOptions)
{
  if (aName == "naive") {
    return std::make_unique<NaivePolicy>();
  }
  if (aName == "current") {
    return std::make_unique<CurrentPolicy>(aOptions);
  }
  throw UserError("unknown routing policy: " + std::string(aName));
}

} // namespace sequoiakeel
