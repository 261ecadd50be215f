#include "ServiceCatalog.h"

#include "ServerSubset.h"

#include <algorithm>
#include <utility>

namespace sequoiakeel {

ServiceCatalog::ServiceCatalog(std::string aEntry,
                               std::string aZone,
                               const Clock& aClock,
                               std::uint64_t aSeed)
  : entry(std::move(aEntry))
  , zone(std::move(aZone))
  , clock(&aClock)
  , seed(aSeed)
  , entries{ this->entry }
{
}

ServiceRouterOptions
ServiceCatalog::OptionsOf(const Service& aService) const
{
  const Limits& limits = this->configuration.limits;
  ServiceRouterOptions options;
  options.service = aService.name;
  options.table.zone = this->zone;
  options.table.slots = static_cast<std::uint32_t>(aService.slotsPerWorker);
  options.table.connectionsPerWorker =
    static_cast<std::uint32_t>(limits.connectionsPerWorker);
  options.table.entriesMax = static_cast<std::uint32_t>(limits.entriesMax);
  options.table.policy = this->configuration.policies.routing;
  options.queueLimit = static_cast<std::size_t>(aService.queueLimit);
  options.retryPercent = static_cast<std::uint32_t>(limits.retryPercent);
  for (const Team& team : this->configuration.teams) {
    options.teamWeights[team.name] = static_cast<std::uint32_t>(team.weight);
  }
  options.seed = this->seed + std::hash<std::string>()(aService.name);
  return options;
}

void
ServiceCatalog::Activate(const Configuration& aConfiguration)
{
  const std::lock_guard lock(this->mutex);
  this->configuration = aConfiguration;
  Services next;
  for (const Service& service : aConfiguration.services) {
    auto item = std::make_shared<CatalogService>();
    item->settings = service;
    ServiceRouterOptions options = this->OptionsOf(service);
    const auto known = this->services.find(service.name);
    if (known != this->services.end() &&
        known->second->router->Options().SameAs(options)) {
      item->router = known->second->router;
    } else {
      item->router =
        std::make_shared<ServiceRouter>(std::move(options), *this->clock);
    }
    next.emplace(service.name, std::move(item));
  }
  for (const auto& [name, old] : this->services) {
    const auto kept = next.find(name);
    if (kept == next.end() || kept->second->router != old->router) {
      this->replaced.push_back(old->router);
    }
  }
  this->services = std::move(next);
  this->UpdateServers();
}

void
ServiceCatalog::SetHosts(const HostListing& aHosts)
{
  const std::lock_guard lock(this->mutex);
  if (aHosts.revision < this->hosts.revision) {
    return;
  }
  this->hosts = aHosts;
  this->UpdateServers();
}

void
ServiceCatalog::SetEntries(std::vector<std::string> aEntries)
{
  const std::lock_guard lock(this->mutex);
  if (aEntries == this->entries) {
    return;
  }
  this->entries = std::move(aEntries);
  this->UpdateServers();
}

std::vector<HostRecord>
ServiceCatalog::HostsOf(const Service& aService) const
{
  std::vector<HostRecord> serving;
  for (const HostRecord& host : this->hosts.hosts) {
    const bool listed =
      aService.hosts.empty() ||
      std::find(aService.hosts.begin(), aService.hosts.end(), host.host) !=
        aService.hosts.end();
    if (listed && host.requestPort != 0) {
      serving.push_back(host);
    }
  }
  std::vector<std::string_view> names;
  for (const HostRecord& host : serving) {
    names.push_back(host.host);
  }
  const std::vector<std::string_view> members(this->entries.begin(),
                                              this->entries.end());
  // Each server is selected by entriesPerServer entries. This is a tenth below
  // the configured maximum of entries per server, which is reserved for entries
  // that replace others.
  const auto entriesMax =
    static_cast<std::size_t>(this->configuration.limits.entriesMax);
  const std::size_t reserved = std::max<std::size_t>(entriesMax / 10, 1);
  const std::size_t entriesPerServer =
    std::max<std::size_t>(entriesMax - reserved, 1);
  std::vector<HostRecord> used;
  for (const std::size_t index :
       ChooseSubset(this->entry, members, names, entriesPerServer)) {
    used.push_back(serving[index]);
  }
  return used;
}

void
ServiceCatalog::UpdateServers()
{
  for (const auto& [name, service] : this->services) {
    const std::vector<HostRecord> used = this->HostsOf(service->settings);
    service->router->SetServers(used);
  }
}

std::shared_ptr<const CatalogService>
ServiceCatalog::Find(std::string_view aService) const
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : found->second;
}

bool
ServiceCatalog::KnowsTeam(std::string_view aTeam) const
{
  const std::lock_guard lock(this->mutex);
  const std::vector<Team>& teams = this->configuration.teams;
  return std::any_of(teams.begin(), teams.end(), [&](const Team& aItem) {
    return aItem.name == aTeam;
  });
}

bool
ServiceCatalog::KnowsTaskClass(std::string_view aClass) const
{
  const std::lock_guard lock(this->mutex);
  const std::vector<TaskClass>& classes = this->configuration.taskClasses;
  return std::any_of(classes.begin(), classes.end(), [&](const auto& aItem) {
    return aItem.name == aClass;
  });
}

std::vector<CellStatus>
ServiceCatalog::ConfiguredCells() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<CellStatus> cells;
  for (const Cell& cell : this->configuration.cells) {
    cells.emplace_back().cell = cell.name;
  }
  return cells;
}

std::uint32_t
ServiceCatalog::ConnectionLimit() const
{
  const std::lock_guard lock(this->mutex);
  const Limits& limits = this->configuration.limits;
  return ConnectionShare(
    static_cast<std::uint32_t>(limits.connectionsPerWorker),
    static_cast<std::uint32_t>(limits.entriesMax));
}

std::vector<std::shared_ptr<ServiceRouter>>
ServiceCatalog::Routers() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<ServiceRouter>> routers = this->replaced;
  for (const auto& [name, service] : this->services) {
    routers.push_back(service->router);
  }
  return routers;
}

void
ServiceCatalog::Tick(const ServiceRouter::IsLeaving& aIsLeaving)
{
  for (const std::shared_ptr<ServiceRouter>& router : this->Routers()) {
    router->Tick(aIsLeaving);
  }
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->replaced,
                [](const std::shared_ptr<ServiceRouter>& aRouter) {
                  return aRouter->QueueDepth() == 0 && aRouter->InFlight() == 0;
                });
}

void
ServiceCatalog::MarkLeaving(std::string_view aWorker)
{
  for (const std::shared_ptr<ServiceRouter>& router : this->Routers()) {
    router->MarkLeaving(aWorker);
  }
}

std::vector<ServiceLoad>
ServiceCatalog::Loads() const
{
  std::vector<ServiceLoad> loads;
  const std::lock_guard lock(this->mutex);
  for (const auto& [name, service] : this->services) {
    ServiceLoad load;
    load.service = name;
    load.queued = service->router->QueueDepth();
    load.atServers = service->router->InFlight();
    loads.push_back(std::move(load));
  }
  return loads;
}

} // namespace sequoiakeel
