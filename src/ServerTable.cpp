#include "ServerTable.h"

#include "Error.h"

#include <utility>

namespace sequoiakeel {

namespace {

/** Smoothing weight of one response in the latency over all servers. */
constexpr double kTypicalWeight = 0.01;

} // namespace

ServerTable::ServerTable(const ServerTableOptions& aOptions)
  : ServerTable(aOptions, MakeRoutingPolicy(aOptions.policy, aOptions.routing))
{
}

ServerTable::ServerTable(const ServerTableOptions& aOptions,
                         std::unique_ptr<RoutingPolicy> aPolicy)
  : options(aOptions)
  , adaptive(aOptions.policy != "naive")
  , policy(std::move(aPolicy))
  , health(aOptions.health)
{
}

ServerId
ServerTable::Add(const std::string& aName, const std::string& aZone)
{
  const std::optional<ServerId> known = this->Find(aName);
  if (known) {
    return *known;
  }
  const auto id = static_cast<ServerId>(this->servers.size());
  ConcurrencyOptions limits;
  limits.slots = this->options.slots;
  limits.connectionShare = ConnectionShare(this->options.connectionsPerWorker,
                                           this->options.entriesMax);
  limits.entriesMax = this->options.entriesMax;
  Server& server = this->servers.emplace_back();
  server.name = aName;
  server.zone = aZone;
  server.viewIndex = this->views.size();
  server.known = true;
  server.limit = ConcurrencyLimit(limits);
  this->ids.emplace(server.name, id);
  const auto zone = static_cast<std::uint32_t>(this->zones.size());
  this->health.Add(id, this->zones.try_emplace(aZone, zone).first->second);
  ServerView& view = this->views.emplace_back();
  view.id = id;
  view.name = server.name;
  view.zone = server.zone;
  view.slots = limits.slots;
  view.connectionLimit = limits.connectionShare;
  this->RefreshView(id);
  return id;
}

void
ServerTable::Remove(const std::string& aName)
{
  const auto place = this->ids.find(aName);
  if (place == this->ids.end()) {
    return;
  }
  const ServerId id = place->second;
  Server& server = this->servers[id];
  this->ids.erase(place);
  // The last view is moved to the freed index.
  this->views[server.viewIndex] = this->views.back();
  this->servers[this->views[server.viewIndex].id].viewIndex = server.viewIndex;
  this->views.pop_back();
  this->policy->Forget(id);
  this->health.Remove(id);
  server.known = false;
}

std::optional<ServerId>
ServerTable::Find(std::string_view aName) const
{
  const auto place = this->ids.find(aName);
  if (place == this->ids.end()) {
    return std::nullopt;
  }
  return place->second;
}

void
ServerTable::SetLeaving(ServerId aServer, bool aLeaving)
{
  const Server* server = this->FindServer(aServer);
  if (server != nullptr) {
    this->views[server->viewIndex].leaving = aLeaving;
  }
}

void
ServerTable::SetPeersInFlight(ServerId aServer,
                              double aInFlight,
                              TimePoint aReported,
                              TimePoint aNow)
{
  Server* server = this->FindServer(aServer);
  if (server == nullptr) {
    return;
  }
  server->reportedAt = aReported;
  ServerView& view = this->views[server->viewIndex];
  view.peersInFlight = aInFlight;
  view.peersReportAge = aNow - aReported;
  server->limit.OnPeerReport(
    aInFlight + view.inFlight, view.peersReportAge, aNow);
  this->RefreshView(aServer);
}

RoutingDecision
ServerTable::Choose(const RequestView& aRequest,
                    TimePoint aNow,
                    Random& aRandom)
{
  RequestView request = aRequest;
  request.zone = this->options.zone;
  return this->policy->Choose(request, this->views, aNow, aRandom);
}

void
ServerTable::OnStart(ServerId aServer, TimePoint aNow)
{
  const Server* server = this->FindServer(aServer);
  if (server == nullptr) {
    return;
  }
  ++this->views[server->viewIndex].inFlight;
  this->policy->OnStart(aServer, aNow);
  this->health.OnStart(aServer, aNow);
  this->RefreshView(aServer);
}

void
ServerTable::OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow)
{
  ServerView* view = this->EndRequest(aServer);
  if (view == nullptr) {
    return;
  }
  const auto sample = static_cast<double>(aLatency.count());
  this->typicalLatency += this->typicalLatency == 0
                            ? sample
                            : kTypicalWeight * (sample - this->typicalLatency);
  this->policy->OnResponse(aServer, aLatency, aNow);
  this->health.OnResponse(aServer, aLatency, aNow);
  const auto smoothed =
    static_cast<double>(this->health.Latency(aServer).count());
  this->servers[aServer].limit.OnResponse(
    view->inFlight + 1, smoothed / this->typicalLatency, aNow);
  this->RefreshView(aServer);
}

void
ServerTable::OnRefusal(ServerId aServer, TimePoint aNow)
{
  if (this->EndRequest(aServer) == nullptr) {
    return;
  }
  this->policy->OnRefusal(aServer, aNow);
  this->health.OnRefusal(aServer, aNow);
  this->servers[aServer].limit.OnRefusal(aNow);
  this->RefreshView(aServer);
}

void
ServerTable::OnFailure(ServerId aServer, TimePoint aNow)
{
  if (this->EndRequest(aServer) == nullptr) {
    return;
  }
  this->policy->OnFailure(aServer, aNow);
  this->health.OnFailure(aServer, aNow);
  this->RefreshView(aServer);
}

void
ServerTable::OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow)
{
  if (this->EndRequest(aServer) == nullptr) {
    return;
  }
  this->policy->OnTimeout(aServer, aWaited, aNow);
  this->health.OnTimeout(aServer, aWaited, aNow);
  this->RefreshView(aServer);
}

void
ServerTable::OnAbandoned(ServerId aServer, TimePoint aNow)
{
  if (this->EndRequest(aServer) == nullptr) {
    return;
  }
  this->policy->OnAbandoned(aServer, aNow);
  this->health.OnAbandoned(aServer);
  this->RefreshView(aServer);
}

Duration
ServerTable::TypicalLatency() const
{
  return Duration(static_cast<Duration::rep>(this->typicalLatency));
}

void
ServerTable::Tick(TimePoint aNow, Random& aRandom)
{
  if (this->adaptive) {
    this->health.Tick(aNow, aRandom);
  }
  for (ServerView& view : this->views) {
    const Server& server = this->servers[view.id];
    if (view.peersReportAge >= Duration(0)) {
      view.peersReportAge = aNow - server.reportedAt;
    }
    this->RefreshView(view.id);
  }
}

std::vector<HealthChange>
ServerTable::TakeHealthChanges()
{
  std::vector<HealthChange> changes = this->health.TakeChanges();
  if (!this->adaptive) {
    // Health states are not used with the naive policy.
    changes.clear();
  }
  return changes;
}

std::string_view
ServerTable::Name(ServerId aServer) const
{
  InternalAssert(aServer < this->servers.size(), "unknown server id");
  return this->servers[aServer].name;
}

ServerTable::Server*
ServerTable::FindServer(ServerId aServer)
{
  if (aServer >= this->servers.size() || !this->servers[aServer].known) {
    return nullptr;
  }
  return &this->servers[aServer];
}

ServerView*
ServerTable::EndRequest(ServerId aServer)
{
  const Server* server = this->FindServer(aServer);
  if (server == nullptr) {
    return nullptr;
  }
  ServerView& view = this->views[server->viewIndex];
  InternalAssert(view.inFlight > 0,
                 "a request ended at a server without requests in progress");
  --view.inFlight;
  return &view;
}

void
ServerTable::RefreshView(ServerId aServer)
{
  const Server& server = this->servers[aServer];
  ServerView& view = this->views[server.viewIndex];
  view.latency = this->health.Latency(aServer);
  if (!this->adaptive) {
    view.softLimit = view.connectionLimit;
    return;
  }
  view.softLimit = server.limit.Limit();
  view.health = this->health.State(aServer);
  view.trialAllowed = this->health.TrialAllowed(aServer);
}

} // namespace sequoiakeel
