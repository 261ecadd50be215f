#pragma once

#include "CellRunner.h"
#include "GossipService.h"
#include "HostList.h"
#include "PeerRpc.h"
#include "StoreLeaseHolder.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sequoiakeel {

/** Objects that a planner uses; all of them must outlive the driver. */
struct PlannerDependencies
{
  boost::asio::io_context& context;
  KeyValueStore& store;
  WorkerAgent& agent;
  HostList& hosts;
  GossipService& gossip;
  const Clock& clock;
};

/**
 * Runs the cells of the configuration on one planner: holds the store lease,
 * reads the host list, decides by rendezvous rank which cells to claim, and
 * serves peers. Thread safe.
 */
class PlannerDriver
{
public:
  /** aName and aPeer are written into the owner records of cells. */
  PlannerDriver(PlannerDependencies aParts, std::string aName, Endpoint aPeer);
  PlannerDriver(const PlannerDriver&) = delete;
  PlannerDriver& operator=(const PlannerDriver&) = delete;

  /** Applies a new configuration and starts runners for new cells. */
  void Configure(const Configuration& aConfiguration);

  /** Starts the background work. Call once. */
  void Start();

  /** Registers the handlers of peers' requests. Precondition: aServer has not
   * been started. */
  void Serve(PeerServer& aServer);

  /** Returns the state of the cells that the planner owns. Thread safe. */
  boost::asio::awaitable<PlannerStatusReply> Status();

  /** Hands all cells over, so that other planners can claim them, then ends the
   * store lease. */
  boost::asio::awaitable<void> Drain();

private:
  PlannerConditions Surroundings(const std::string& aCell) const;
  bool IsFirstPlanner(const std::string& aCell, bool aReachingStore) const;
  std::shared_ptr<CellRunner> RunnerOf(const std::string& aCell) const;
  std::vector<std::shared_ptr<CellRunner>> Runners() const;
  CellRules RulesFor(const Cell& aCell) const;
  std::vector<HostRecord> HostsOf(const Cell& aCell) const;
  void ConfigureRunners();
  void AnnounceLeavingHosts(const HostListing& aListing);
  boost::asio::awaitable<void> PollHosts();
  boost::asio::awaitable<void> RenewLeasesAsCaretaker();
  std::vector<std::pair<std::string, Endpoint>> WorkersToCareFor() const;
  boost::asio::awaitable<std::string> HandleSubmit(std::string aBody);
  boost::asio::awaitable<std::string> HandleCancel(std::string aBody);
  boost::asio::awaitable<std::string> HandleQuery(std::string aBody);
  boost::asio::awaitable<std::string> HandleStatus(std::string aBody);

  PlannerDependencies parts;
  std::string name;
  Endpoint peer;
  std::string writer;
  StoreLeaseHolder lease;
  TimePoint claimsFrom;
  mutable std::mutex mutex;
  Configuration configuration;
  HostListing listing;
  bool listingKnown = false;
  bool draining = false;
  std::map<std::string, std::shared_ptr<CellRunner>> runners;
};

} // namespace sequoiakeel
