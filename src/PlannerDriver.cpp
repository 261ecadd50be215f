#include "PlannerDriver.h"

#include "Caretaker.h"
#include "Log.h"
#include "PeerCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kHostPollInterval{ 2 };
constexpr std::chrono::seconds kCareInterval{ 3 };

/** Delay after the start before cells are claimed. In this time the planner
 * learns of the others by gossip, so that it does not claim cells for which
 * another planner ranks higher. */
constexpr std::chrono::seconds kClaimDelay{ 2 };

bool
BelongsTo(const HostRecord& aHost, const Cell& aCell)
{
  const bool rackFits =
    aCell.racks.empty() ||
    std::ranges::find(aCell.racks, aHost.rack) != aCell.racks.end();
  return aHost.zone == aCell.zone && rackFits;
}

std::int64_t
Share(std::int64_t aAmount, std::size_t aPart, std::size_t aWhole)
{
  return aAmount * static_cast<std::int64_t>(aPart) /
         static_cast<std::int64_t>(aWhole);
}

} // namespace

PlannerDriver::PlannerDriver(PlannerDependencies aParts,
                             std::string aName,
                             Endpoint aPeer)
  : parts(aParts)
  , name(std::move(aName))
  , peer(std::move(aPeer))
  , writer(this->name + "/" +
           std::to_string(aParts.gossip.OwnRow().incarnation))
  , lease(aParts.store, aParts.clock)
  , claimsFrom(aParts.clock.Now() + kClaimDelay)
{
}

void
PlannerDriver::Start()
{
  asio::co_spawn(
    this->parts.context,
    [this]() { return this->lease.Run(); },
    asio::detached);
  asio::co_spawn(
    this->parts.context,
    [this]() { return this->PollHosts(); },
    asio::detached);
  asio::co_spawn(
    this->parts.context,
    [this]() { return this->RenewLeasesAsCaretaker(); },
    asio::detached);
}

bool
PlannerDriver::IsFirstPlanner(const std::string& aCell,
                              bool aReachingStore) const
{
  const std::vector<Member> members = this->parts.gossip.Members();
  const std::vector<std::string> ranked =
    RankMembers(aCell, members, [aReachingStore](const MemberRow& aRow) {
      return aRow.role == MemberRole::Planner &&
             (aRow.storeReachable || !aReachingStore);
    });
  return !ranked.empty() && ranked.front() == this->name;
}

PlannerConditions
PlannerDriver::Surroundings(const std::string& aCell) const
{
  std::size_t planners = 1;
  bool mayClaim = false;
  {
    const std::lock_guard lock(this->mutex);
    planners =
      static_cast<std::size_t>(this->configuration.limits.plannersExpected);
    mayClaim = !this->draining && this->parts.clock.Now() >= this->claimsFrom;
  }
  this->parts.gossip.SetStoreReachable(this->lease.StoreReachable());
  const HeldLease held = this->lease.Current();
  const StoreReports reports = this->parts.gossip.CountStoreReports(planners);
  PlannerConditions result;
  result.storeLease = held.lease;
  result.leaseValidUntil = held.validUntil;
  result.majorityReachable = reports.majorityReachable;
  result.majorityUnreachable = reports.majorityUnreachable;
  result.candidate = mayClaim && this->IsFirstPlanner(aCell, true);
  return result;
}

std::vector<HostRecord>
PlannerDriver::HostsOf(const Cell& aCell) const
{
  std::vector<HostRecord> result;
  for (const HostRecord& host : this->listing.hosts) {
    if (!BelongsTo(host, aCell)) {
      continue;
    }
    result.push_back(host);
    const bool inDocument =
      std::ranges::find(this->configuration.leavingHosts, host.host) !=
      this->configuration.leavingHosts.end();
    if (inDocument || this->parts.gossip.IsLeaving(host.host)) {
      result.back().state = HostState::Leaving;
    }
  }
  return result;
}

CellRules
PlannerDriver::RulesFor(const Cell& aCell) const
{
  CellRules rules;
  rules.trustWorkerLeases = this->configuration.limits.trustWorkerLeases;
  rules.evictionsPerMinute = this->configuration.limits.evictionsPerMinute;
  for (const TaskClass& taskClass : this->configuration.taskClasses) {
    rules.classes[taskClass.name] = taskClass;
  }
  // A cell's hard share of a quota is the quota times the cell's share of the
  // listed hosts, rounded down, so the shares never add up to more than the
  // quota. A cell can't use the idle share of another cell.
  const std::size_t own = this->HostsOf(aCell).size();
  const std::size_t all = this->listing.hosts.size();
  for (const Team& team : this->configuration.teams) {
    rules.teams.insert(team.name);
    if (team.quota == Resources{}) {
      continue;
    }
    Resources& share = rules.shares[team.name];
    if (all > 0) {
      share.cpuMillis = Share(team.quota.cpuMillis, own, all);
      share.memoryMb = Share(team.quota.memoryMb, own, all);
      share.accelerators = Share(team.quota.accelerators, own, all);
    }
  }
  return rules;
}

void
PlannerDriver::Configure(const Configuration& aConfiguration)
{
  std::vector<std::shared_ptr<CellRunner>> created;
  {
    const std::lock_guard lock(this->mutex);
    this->configuration = aConfiguration;
    for (const Cell& cell : aConfiguration.cells) {
      if (this->runners.contains(cell.name)) {
        continue;
      }
      CellOptions options;
      options.cell = cell.name;
      options.planner = this->name;
      options.writer = this->writer;
      options.peer = this->peer;
      auto runner = std::make_shared<CellRunner>(
        this->parts.context,
        options,
        this->parts.store,
        this->parts.agent,
        this->parts.clock,
        [this, id = cell.name]() { return this->Surroundings(id); });
      this->runners[cell.name] = runner;
      created.push_back(std::move(runner));
    }
  }
  this->ConfigureRunners();
  for (const auto& runner : created) {
    runner->Start();
  }
}

void
PlannerDriver::ConfigureRunners()
{
  const std::lock_guard lock(this->mutex);
  for (const Cell& cell : this->configuration.cells) {
    const auto& runner = this->runners.at(cell.name);
    runner->Configure(this->RulesFor(cell), this->configuration.policies);
    if (this->listingKnown) {
      runner->SetFleet(this->HostsOf(cell));
    }
  }
}

void
PlannerDriver::AnnounceLeavingHosts(const HostListing& aListing)
{
  std::vector<std::string> leaving;
  for (const HostRecord& host : aListing.hosts) {
    if (host.state == HostState::Leaving) {
      leaving.push_back(host.host);
    }
  }
  this->parts.gossip.SetHostList(aListing.revision, leaving);
}

asio::awaitable<void>
PlannerDriver::PollHosts()
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    const std::optional<HostListing> read = co_await this->parts.hosts.Read();
    if (read) {
      this->AnnounceLeavingHosts(*read);
      const std::lock_guard lock(this->mutex);
      // The revision of the host list never decreases, so a listing with a
      // lower revision is stale and is ignored.
      if (!this->listingKnown || read->revision >= this->listing.revision) {
        this->listing = *read;
        this->listingKnown = true;
      }
    }
    this->ConfigureRunners();
    timer.expires_after(kHostPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::vector<std::pair<std::string, Endpoint>>
PlannerDriver::WorkersToCareFor() const
{
  std::vector<std::pair<std::string, Endpoint>> result;
  const std::lock_guard lock(this->mutex);
  const auto planners =
    static_cast<std::size_t>(this->configuration.limits.plannersExpected);
  if (!this->parts.gossip.CountStoreReports(planners).majorityUnreachable) {
    return result;
  }
  for (const Cell& cell : this->configuration.cells) {
    // The owner of a cell is not known while the store is down. If the owner is
    // another planner that is alive, both planners renew the worker leases,
    // which does no harm.
    if (!this->IsFirstPlanner(cell.name, false)) {
      continue;
    }
    for (const HostRecord& host : this->HostsOf(cell)) {
      result.emplace_back(cell.name, AgentEndpointOf(host));
    }
  }
  return result;
}

asio::awaitable<void>
PlannerDriver::RenewLeasesAsCaretaker()
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kCareInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto workers = this->WorkersToCareFor();
    for (const auto& [cell, endpoint] : workers) {
      asio::co_spawn(this->parts.context,
                     RenewListedLeases(this->parts.agent, cell, endpoint),
                     asio::detached);
    }
  }
}

std::shared_ptr<CellRunner>
PlannerDriver::RunnerOf(const std::string& aCell) const
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->runners.find(aCell);
  return found == this->runners.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<CellRunner>>
PlannerDriver::Runners() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<CellRunner>> result;
  for (const auto& [cell, runner] : this->runners) {
    result.push_back(runner);
  }
  return result;
}

void
PlannerDriver::Serve(PeerServer& aServer)
{
  aServer.Handle(PeerMessage::SubmitJob, [this](std::string aBody) {
    return this->HandleSubmit(std::move(aBody));
  });
  aServer.Handle(PeerMessage::CancelJob, [this](std::string aBody) {
    return this->HandleCancel(std::move(aBody));
  });
  aServer.Handle(PeerMessage::QueryJob, [this](std::string aBody) {
    return this->HandleQuery(std::move(aBody));
  });
  aServer.Handle(PeerMessage::PlannerStatus, [this](std::string aBody) {
    return this->HandleStatus(std::move(aBody));
  });
}

asio::awaitable<std::string>
PlannerDriver::HandleSubmit(std::string aBody)
{
  const std::optional<SubmitJob> request = DecodeMessage<SubmitJob>(aBody);
  SubmitReply reply;
  reply.outcome = SubmitOutcome::Refused;
  reply.reason = "malformed";
  if (request) {
    const auto runner = this->RunnerOf(request->cell);
    reply.outcome = SubmitOutcome::NotOwner;
    reply.reason = "unknown-cell";
    if (runner) {
      reply = co_await runner->Submit(*request);
    }
  }
  co_return EncodeMessage(reply);
}

asio::awaitable<std::string>
PlannerDriver::HandleCancel(std::string aBody)
{
  const std::optional<CancelJob> request = DecodeMessage<CancelJob>(aBody);
  SubmitReply reply;
  reply.outcome = SubmitOutcome::Refused;
  reply.reason = "malformed";
  if (request) {
    const auto runner = this->RunnerOf(request->cell);
    reply.outcome = SubmitOutcome::NotOwner;
    reply.reason = "unknown-cell";
    if (runner) {
      reply = co_await runner->Cancel(*request);
    }
  }
  co_return EncodeMessage(reply);
}

asio::awaitable<std::string>
PlannerDriver::HandleQuery(std::string aBody)
{
  const std::optional<QueryJob> request = DecodeMessage<QueryJob>(aBody);
  JobStatus status;
  status.reason = "not-owner";
  if (request) {
    const auto runner = this->RunnerOf(request->cell);
    if (runner) {
      status = co_await runner->Query(request->jobId);
    }
  }
  co_return EncodeMessage(status);
}

asio::awaitable<PlannerStatusReply>
PlannerDriver::Status()
{
  PlannerStatusReply reply;
  reply.planner = this->name;
  const auto all = this->Runners();
  for (const auto& runner : all) {
    std::optional<CellStatus> status = co_await runner->Status();
    if (status) {
      reply.cells.push_back(std::move(*status));
    }
  }
  co_return reply;
}

asio::awaitable<std::string>
PlannerDriver::HandleStatus([[maybe_unused]] std::string aBody)
{
  const PlannerStatusReply reply = co_await this->Status();
  co_return EncodeMessage(reply);
}

asio::awaitable<void>
PlannerDriver::Drain()
{
  {
    const std::lock_guard lock(this->mutex);
    this->draining = true;
  }
  const auto all = this->Runners();
  for (const auto& runner : all) {
    co_await runner->Drain();
  }
  co_await this->lease.Stop();
  Event("planner_drained").Add("planner", this->name);
}

} // namespace sequoiakeel
