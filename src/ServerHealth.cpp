#include "ServerHealth.h"

#include "Error.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiakeel {

namespace {

/** Weight of one response in a server's smoothed latency. */
constexpr double kLatencyWeight = 0.15;
/** Decay of the counts of responses and failures at each request, for an
 * effective window of about 30 requests. */
constexpr double kDecay = 0.967;
/** Number of servers with known latency required for a median. */
constexpr std::size_t kMinimumForMedian = 4;
/** Maximum number of concurrent trial requests at a server. */
constexpr std::uint32_t kTrialsAtATime = 1;
/** A server counts as a black hole after this multiple of the 99th percentile
 * of the latency without a reply. */
constexpr double kUnresponsiveRatio = 1.5;
/** Like kUnresponsiveRatio, for a healthy server with a single unanswered
 * request. It is higher because that request may merely take long. */
constexpr double kSingleRequestRatio = 4;
/** A zone counts as unresponsive after this multiple of the 99th percentile of
 * the latency without a reply from any of its servers. */
constexpr double kZoneUnresponsiveRatio = 0.5;
/** Number of healthy servers in the zone whose replies must be overdue. */
constexpr std::size_t kZoneOverdueServers = 4;
/** Shortest time without a reply after which a zone counts as unresponsive. */
constexpr Duration kZoneUnresponsiveAfter = std::chrono::milliseconds(50);
/** Quantile that P99Latency() estimates. */
constexpr double kP99Quantile = 0.99;
/** Step of the quantile estimate, relative to its value. */
constexpr double kP99Step = 0.02;
/** Number of responses before the quantile estimate is used. */
constexpr std::uint64_t kP99MinimumSamples = 100;
/** Number of unanswered requests from which kUnresponsiveRatio applies. */
constexpr std::uint32_t kUnresponsiveRequests = 2;
/** Maximum number of times that the ejection time is doubled. It limits the
 * shift that computes the factor; HealthOptions::maxEjection is reached before.
 */
constexpr std::uint32_t kMaxDoublings = 10;
/** After a server was healthy for this time, its next ejection has the initial
 * length again. */
constexpr Duration kEjectionResetTime = std::chrono::seconds(60);
/** Maximum jitter of an ejection, relative to its length. It prevents that all
 * entries readmit a server at the same time. */
constexpr double kJitter = 0.3;

/** Ranks ejection reasons. The most severe ones are those of servers that
 * answer no requests. */
int
Severity(EjectionReason aReason)
{
  switch (aReason) {
    case EjectionReason::None:
      return 0;
    case EjectionReason::Slow:
      return 1;
    case EjectionReason::Failing:
      return 2;
    case EjectionReason::HalfDead:
    case EjectionReason::BlackHole:
    case EjectionReason::ZoneSilent:
      return 3;
  }
  throw InternalError("unknown ejection reason");
}

} // namespace

std::string_view
ToText(EjectionReason aReason)
{
  switch (aReason) {
    case EjectionReason::None:
      return "none";
    case EjectionReason::Failing:
      return "failing";
    case EjectionReason::HalfDead:
      return "half-dead";
    case EjectionReason::BlackHole:
      return "black-hole";
    case EjectionReason::ZoneSilent:
      return "zone-silent";
    case EjectionReason::Slow:
      return "slow";
  }
  throw InternalError("unknown ejection reason");
}

bool
IsUnresponsive(EjectionReason aReason)
{
  return aReason == EjectionReason::BlackHole ||
         aReason == EjectionReason::ZoneSilent;
}

ServerHealth::ServerHealth(const HealthOptions& aOptions)
  : options(aOptions)
{
}

void
ServerHealth::Add(ServerId aServer, std::uint32_t aZone)
{
  if (aServer >= this->servers.size()) {
    this->servers.resize(aServer + 1);
  }
  InternalAssert(!this->servers[aServer].known,
                 "server added twice to the health check");
  this->servers[aServer].known = true;
  this->servers[aServer].zone = aZone;
  if (aZone >= this->zones.size()) {
    this->zones.resize(aZone + 1);
  }
  ++this->count;
}

void
ServerHealth::Remove(ServerId aServer)
{
  Server* server = this->Find(aServer);
  if (server == nullptr) {
    return;
  }
  this->ejected -= server->state == HealthState::Ejected ? 1 : 0;
  *server = Server();
  --this->count;
}

void
ServerHealth::OnStart(ServerId aServer, TimePoint aNow)
{
  Server* server = this->Find(aServer);
  if (server == nullptr) {
    return;
  }
  if (server->inFlight == 0) {
    server->replyDueSince = aNow;
  }
  ++server->inFlight;
}

void
ServerHealth::OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow)
{
  Server* server = this->EndRequest(aServer, aNow);
  if (server == nullptr) {
    return;
  }
  const auto sample = static_cast<double>(aLatency.count());
  server->latency +=
    server->latency == 0 ? sample : kLatencyWeight * (sample - server->latency);
  this->UpdateP99Latency(sample);
  server->answered = server->answered * kDecay + 1;
  server->failed *= kDecay;
  server->failuresInRow = 0;
  this->RecordSuccess(aServer, aNow);
}

void
ServerHealth::OnRefusal(ServerId aServer, TimePoint aNow)
{
  this->EndRequest(aServer, aNow);
}

void
ServerHealth::OnFailure(ServerId aServer, TimePoint aNow)
{
  if (this->EndRequest(aServer, aNow) != nullptr) {
    this->RecordFailure(aServer, false, aNow);
  }
}

void
ServerHealth::OnTimeout(ServerId aServer, Duration, TimePoint aNow)
{
  Server* server = this->Find(aServer);
  if (server == nullptr) {
    return;
  }
  server->inFlight -= server->inFlight > 0 ? 1 : 0;
  this->RecordFailure(aServer, true, aNow);
}

void
ServerHealth::OnAbandoned(ServerId aServer)
{
  Server* server = this->Find(aServer);
  if (server != nullptr) {
    server->inFlight -= server->inFlight > 0 ? 1 : 0;
  }
}

void
ServerHealth::Tick(TimePoint aNow, Random& aRandom)
{
  const double median = this->MedianLatency();
  this->CheckZones(aNow);
  for (ServerId id = 0; id < this->servers.size(); ++id) {
    Server& server = this->servers[id];
    if (!server.known) {
      continue;
    }
    if (server.state == HealthState::Ejected) {
      if (server.ejectedUntil <= aNow) {
        this->StartProbation(id);
      }
      continue;
    }
    this->jitter = DrawUnit(aRandom);
    if (this->zones[server.zone].unresponsive &&
        server.state == HealthState::Healthy) {
      this->Eject(id, EjectionReason::ZoneSilent, aNow);
      continue;
    }
    this->CheckUnresponsive(id, aNow);
    this->CheckSlow(id, median, aNow);
  }
}

HealthState
ServerHealth::State(ServerId aServer) const
{
  return this->Known(aServer) ? this->servers[aServer].state
                              : HealthState::Ejected;
}

bool
ServerHealth::TrialAllowed(ServerId aServer) const
{
  return this->Known(aServer) &&
         this->servers[aServer].state == HealthState::Probation &&
         this->servers[aServer].inFlight < kTrialsAtATime;
}

Duration
ServerHealth::Latency(ServerId aServer) const
{
  if (!this->Known(aServer)) {
    return Duration(0);
  }
  return Duration(static_cast<Duration::rep>(this->servers[aServer].latency));
}

std::vector<HealthChange>
ServerHealth::TakeChanges()
{
  return std::exchange(this->changes, {});
}

bool
ServerHealth::Known(ServerId aServer) const
{
  return aServer < this->servers.size() && this->servers[aServer].known;
}

ServerHealth::Server*
ServerHealth::Find(ServerId aServer)
{
  return this->Known(aServer) ? &this->servers[aServer] : nullptr;
}

ServerHealth::Server*
ServerHealth::EndRequest(ServerId aServer, TimePoint aNow)
{
  Server* server = this->Find(aServer);
  if (server == nullptr) {
    return nullptr;
  }
  server->inFlight -= server->inFlight > 0 ? 1 : 0;
  server->replyDueSince = aNow;
  server->lastOutcome = aNow;
  return server;
}

void
ServerHealth::RecordFailure(ServerId aServer, bool aTimedOut, TimePoint aNow)
{
  Server& server = this->servers[aServer];
  server.answered *= kDecay;
  server.failed = server.failed * kDecay + 1;
  ++server.failuresInRow;
  if (server.state == HealthState::Ejected) {
    return;
  }
  const bool inRow = server.failuresInRow >= this->options.consecutiveFailures;
  const double samples = server.answered + server.failed;
  const bool share = samples >= this->options.minimumSamples &&
                     server.failed >= this->options.failedShare * samples;
  if (server.state != HealthState::Probation && !inRow && !share) {
    return;
  }
  if (aTimedOut) {
    this->Eject(aServer, EjectionReason::BlackHole, aNow);
    return;
  }
  this->Eject(
    aServer, inRow ? EjectionReason::HalfDead : EjectionReason::Failing, aNow);
}

void
ServerHealth::RecordSuccess(ServerId aServer, TimePoint aNow)
{
  Server& server = this->servers[aServer];
  if (server.state == HealthState::Healthy) {
    if (server.ejections > 0 &&
        aNow - server.healthySince > kEjectionResetTime) {
      server.ejections = 0;
    }
    return;
  }
  if (server.state != HealthState::Probation) {
    return;
  }
  ++server.goodTrials;
  if (server.goodTrials < this->options.trials) {
    return;
  }
  server.state = HealthState::Healthy;
  server.healthySince = aNow;
  server.reason = EjectionReason::None;
  this->changes.push_back({ aServer, server.state, server.reason });
}

void
ServerHealth::CheckUnresponsive(ServerId aServer, TimePoint aNow)
{
  const Server& server = this->servers[aServer];
  if (server.inFlight == 0) {
    return;
  }
  const bool several = server.inFlight >= kUnresponsiveRequests ||
                       server.state != HealthState::Healthy;
  const double ratio = several ? kUnresponsiveRatio : kSingleRequestRatio;
  const Duration limit =
    std::max(this->options.unresponsiveAfter, this->ScaledP99Latency(ratio));
  if (aNow - server.replyDueSince > limit) {
    this->Eject(aServer, EjectionReason::BlackHole, aNow);
  }
}

void
ServerHealth::CheckZones(TimePoint aNow)
{
  const Duration limit = std::max(
    kZoneUnresponsiveAfter, this->ScaledP99Latency(kZoneUnresponsiveRatio));
  for (Zone& zone : this->zones) {
    zone = Zone();
  }
  bool alive = false;
  for (const Server& server : this->servers) {
    if (!server.known) {
      continue;
    }
    Zone& zone = this->zones[server.zone];
    const bool answered = aNow - server.lastOutcome <= limit;
    const bool owes =
      server.inFlight > 0 && aNow - server.replyDueSince > limit;
    zone.responding = zone.responding || answered;
    zone.overdueServers += owes && server.state == HealthState::Healthy ? 1 : 0;
    alive = alive || answered;
  }
  for (Zone& zone : this->zones) {
    // A zone counts as unresponsive only if some zone answers. If none does,
    // the fault is more likely on the side of this entry.
    zone.unresponsive = alive && !zone.responding &&
                        zone.overdueServers >= kZoneOverdueServers &&
                        this->responses >= kP99MinimumSamples;
  }
}

Duration
ServerHealth::ScaledP99Latency(double aRatio) const
{
  const auto usual = static_cast<double>(this->P99Latency().count());
  return Duration(static_cast<Duration::rep>(usual * aRatio));
}

void
ServerHealth::CheckSlow(ServerId aServer, double aMedian, TimePoint aNow)
{
  const Server& server = this->servers[aServer];
  if (server.state != HealthState::Healthy || aMedian == 0 ||
      server.answered < this->options.minimumSamples) {
    return;
  }
  if (server.latency > this->options.slowRatio * aMedian) {
    this->Eject(aServer, EjectionReason::Slow, aNow);
  }
}

bool
ServerHealth::FreeEjectionSlot(EjectionReason aReason)
{
  // The share of ejected servers is limited more strictly for slow servers,
  // since these still process requests.
  const double share = aReason == EjectionReason::Slow
                         ? this->options.maxSlowShare
                         : this->options.maxEjectedShare;
  const auto allowed = static_cast<std::size_t>(
    std::floor(share * static_cast<double>(this->count)));
  if (this->ejected < allowed) {
    return true;
  }
  for (ServerId id = 0; id < this->servers.size(); ++id) {
    const Server& server = this->servers[id];
    const bool lesser = Severity(server.reason) < Severity(aReason);
    if (server.known && server.state == HealthState::Ejected && lesser) {
      this->StartProbation(id);
      return this->ejected < allowed;
    }
  }
  return false;
}

void
ServerHealth::Eject(ServerId aServer, EjectionReason aReason, TimePoint aNow)
{
  if (!this->FreeEjectionSlot(aReason)) {
    return;
  }
  Server& server = this->servers[aServer];
  const std::uint32_t doublings = std::min(server.ejections, kMaxDoublings);
  const Duration length = std::min(
    this->options.firstEjection * (1U << doublings), this->options.maxEjection);
  const double jittered =
    static_cast<double>(length.count()) * (1 + kJitter * this->jitter);
  server.state = HealthState::Ejected;
  server.reason = aReason;
  server.ejectedUntil = aNow + Duration(static_cast<Duration::rep>(jittered));
  ++server.ejections;
  ++this->ejected;
  this->changes.push_back({ aServer, server.state, aReason });
}

void
ServerHealth::StartProbation(ServerId aServer)
{
  Server& server = this->servers[aServer];
  server.state = HealthState::Probation;
  server.goodTrials = 0;
  server.failuresInRow = 0;
  server.answered = 0;
  server.failed = 0;
  server.latency = 0;
  --this->ejected;
  this->changes.push_back({ aServer, server.state, server.reason });
}

Duration
ServerHealth::P99Latency() const
{
  if (this->responses < kP99MinimumSamples) {
    return Duration(0);
  }
  return Duration(static_cast<Duration::rep>(this->p99Latency));
}

void
ServerHealth::UpdateP99Latency(double aSample)
{
  if (this->responses++ == 0) {
    this->p99Latency = aSample;
  }
  // Stochastic approximation of the quantile: the upward and downward steps
  // balance when the share kP99Quantile of the samples is below the estimate.
  const double step = kP99Step * this->p99Latency;
  this->p99Latency += aSample > this->p99Latency ? step * kP99Quantile
                                                 : step * (kP99Quantile - 1);
}

double
ServerHealth::MedianLatency()
{
  this->latencies.clear();
  for (const Server& server : this->servers) {
    if (server.known && server.latency > 0) {
      this->latencies.push_back(server.latency);
    }
  }
  if (this->latencies.size() < kMinimumForMedian) {
    return 0;
  }
  const auto middle = this->latencies.begin() +
                      static_cast<std::ptrdiff_t>(this->latencies.size() / 2);
  std::nth_element(this->latencies.begin(), middle, this->latencies.end());
  return *middle;
}

} // namespace sequoiakeel
