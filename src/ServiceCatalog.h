#pragma once

#include "ServiceRouter.h"
#include "generated/Configuration.h"
#include "generated/Messages.h"
#include "generated/Platform.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** A configured service with its router. */
struct CatalogService
{
  Service settings;
  std::shared_ptr<ServiceRouter> router;
};

/** Numbers of requests of one service that are queued and at servers. */
struct ServiceLoad
{
  std::string service;
  std::size_t queued = 0;
  std::size_t atServers = 0;
};

/** The services of the active configuration and the workers that serve them.
 * Thread safe. */
class ServiceCatalog
{
public:
  /** aEntry is the name of this entry and aZone its availability zone. aClock
   * must outlive the catalog. */
  ServiceCatalog(std::string aEntry,
                 std::string aZone,
                 const Clock& aClock,
                 std::uint64_t aSeed);

  /** Applies a configuration. A service whose parameters changed gets a new
   * router; its requests in progress are completed by the previous router. */
  void Activate(const Configuration& aConfiguration);

  /** Replaces the host list. Ignores a list with an older revision. */
  void SetHosts(const HostListing& aHosts);

  /** Sets the names of the live entries, including this one. */
  void SetEntries(std::vector<std::string> aEntries);

  /** Returns a service, or null if it is not configured. */
  std::shared_ptr<const CatalogService> Find(std::string_view aService) const;

  /** Returns whether a team is configured. */
  bool KnowsTeam(std::string_view aTeam) const;

  /** Returns whether a task class is configured. */
  bool KnowsTaskClass(std::string_view aClass) const;

  /** Returns a status for each configured cell with only the name set. */
  std::vector<CellStatus> ConfiguredCells() const;

  /** Returns the number of connections that this entry may open to a worker. */
  std::uint32_t ConnectionLimit() const;

  /** Calls ServiceRouter::Tick on each router. */
  void Tick(const ServiceRouter::IsLeaving& aIsLeaving);

  /** Marks a worker as leaving in all services, without waiting for the next
   * Tick. */
  void MarkLeaving(std::string_view aWorker);

  std::vector<ServiceLoad> Loads() const;

private:
  using Services =
    std::map<std::string, std::shared_ptr<const CatalogService>, std::less<>>;

  ServiceRouterOptions OptionsOf(const Service& aService) const;
  void UpdateServers();
  std::vector<HostRecord> HostsOf(const Service& aService) const;
  std::vector<std::shared_ptr<ServiceRouter>> Routers() const;

  std::string entry;
  std::string zone;
  const Clock* clock;
  std::uint64_t seed;
  mutable std::mutex mutex;
  Configuration configuration;
  HostListing hosts;
  std::vector<std::string> entries;
  Services services;
  /** Replaced routers that still have requests. */
  std::vector<std::shared_ptr<ServiceRouter>> replaced;
};

} // namespace sequoiakeel
