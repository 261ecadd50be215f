#include "EntryService.h"

#include "ConfigurationCheck.h"
#include "ConfigurationPeers.h"
#include "ConnectionPool.h"
#include "Error.h"
#include "EtcdStore.h"
#include "GossipService.h"
#include "HttpHostList.h"
#include "HttpServer.h"
#include "JobGateway.h"
#include "Log.h"
#include "MeteredStore.h"
#include "Metrics.h"
#include "OperatorCalls.h"
#include "PlannerDirectory.h"
#include "RequestPath.h"
#include "ServiceCatalog.h"

#include <atomic>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };
constexpr std::chrono::milliseconds kPoolInterval{ 500 };
constexpr std::chrono::milliseconds kPollInterval{ 2000 };
/** Interval at which a process reads the host list if it is not one of the
 * members that poll it. Such a process needs only the addresses of the hosts
 * from the list. */
constexpr std::chrono::milliseconds kAddressInterval{ 10000 };
constexpr std::chrono::milliseconds kRetryInterval{ 200 };
constexpr std::chrono::milliseconds kDrainInterval{ 20 };
constexpr int kBindAttempts = 10;
/** Number of requests in progress reported as full load in the gossip row. */
constexpr std::size_t kFullLoad = 4096;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/** Returns a clock for connections, which may outlive the service. */
const Clock&
ConnectionClock()
{
  static const SystemClock kClock;
  return kClock;
}

HttpServerLimits
ServerLimits(const Settings& aSettings)
{
  HttpServerLimits limits;
  limits.memory = std::make_shared<RequestMemory>(
    LimitsForHost(aSettings.memoryMb, aSettings.maxDescriptors),
    ConnectionClock());
  return limits;
}

} // namespace

/** Components of an entry, declared in dependency order. */
struct EntryService::Impl : std::enable_shared_from_this<EntryService::Impl>
{
  Impl(asio::io_context& aContext, Settings aSettings);

  void BindPeerPorts();
  GossipSettings GossipSettingsFor(std::uint16_t aPort) const;
  asio::awaitable<HttpResponse> Route(HttpRequest aMessage);
  asio::awaitable<HttpResponse> RouteJobs(std::vector<std::string> aPath,
                                          HttpRequest aMessage);
  HttpResponse Health() const;
  HttpResponse ExportMetrics();
  void OnActive(const std::string& aDocument);
  bool IsAlive(std::string_view aName, std::uint64_t aIncarnation) const;
  asio::awaitable<bool> ReadHosts();
  asio::awaitable<void> HostLoop();
  asio::awaitable<void> TickLoop();
  void UpdateMembers();

  asio::io_context& context;
  Settings settings;
  SystemClock clock;
  Metrics metrics;
  EtcdStore etcd;
  HttpHostList hostList;
  PeerClient peerClient;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<GossipService> gossip;
  std::unique_ptr<MeteredStore> store;
  ServiceCatalog catalog;
  std::shared_ptr<ConnectionPool> pool;
  std::shared_ptr<IdempotencyRecords> records;
  std::unique_ptr<ConfigurationAgent> agent;
  std::unique_ptr<PlannerDirectory> directory;
  std::unique_ptr<RequestPath> path;
  std::unique_ptr<JobGateway> jobs;
  std::unique_ptr<OperatorCalls> operators;
  std::unique_ptr<HttpServer> server;
  std::atomic<bool> ready{ false };
  std::atomic<bool> stopping{ false };
};

EntryService::Impl::Impl(asio::io_context& aContext, Settings aSettings)
  : context(aContext)
  , settings(std::move(aSettings))
  , etcd(aContext.get_executor(), this->settings.store)
  , hostList(aContext.get_executor(), this->settings.hostList)
  , peerClient(aContext.get_executor())
  , catalog(this->settings.name, this->settings.zone, this->clock, RandomSeed())
{
  const asio::any_io_executor executor = aContext.get_executor();
  this->BindPeerPorts();
  this->store = std::make_unique<MeteredStore>(
    this->etcd, this->metrics, this->clock, [this](bool aReachable) {
      this->gossip->SetStoreReachable(aReachable);
    });
  this->pool = std::make_shared<ConnectionPool>(executor, this->clock);
  this->records = std::make_shared<IdempotencyRecords>(
    executor,
    *this->store,
    this->clock,
    this->settings.name,
    this->gossip->OwnRow().incarnation,
    [this](std::string_view aName, std::uint64_t aIncarnation) {
      return this->IsAlive(aName, aIncarnation);
    });
  this->agent = std::make_unique<ConfigurationAgent>(
    executor,
    *this->store,
    *this->gossip,
    FetchOverRpc(this->peerClient),
    CheckConfiguration,
    [this](std::uint64_t, const std::string& aDocument) {
      this->OnActive(aDocument);
    });
  this->gossip->SetOnGeneration([this](const MemberRow& aPeer) {
    this->agent->OnGenerationAnnounced(aPeer);
  });
  ServeConfiguration(*this->peerServer, *this->agent);
  this->directory = std::make_unique<PlannerDirectory>(
    executor, *this->gossip, this->peerClient, *this->store, this->clock);
  this->path = std::make_unique<RequestPath>(
    this->catalog,
    this->pool,
    this->records,
    this->metrics,
    this->clock,
    [this](std::string_view aWorker) { this->gossip->ReportRefusal(aWorker); });
  this->jobs = std::make_unique<JobGateway>(executor,
                                            *this->directory,
                                            this->peerClient,
                                            this->records,
                                            this->catalog,
                                            this->metrics,
                                            this->clock);
  this->operators = std::make_unique<OperatorCalls>(
    this->settings.name, *this->agent, *this->gossip, *this->directory);
  this->server = std::make_unique<HttpServer>(
    aContext,
    this->settings.http,
    ServerLimits(this->settings),
    [this](HttpRequest aRequest) { return this->Route(std::move(aRequest)); });
}

GossipSettings
EntryService::Impl::GossipSettingsFor(std::uint16_t aPort) const
{
  GossipSettings gossipSettings;
  gossipSettings.own.name = this->settings.name;
  gossipSettings.own.zone = this->settings.zone;
  gossipSettings.own.region = this->settings.region;
  gossipSettings.own.address = this->settings.peer.address;
  gossipSettings.own.port = aPort;
  gossipSettings.own.role = MemberRole::Entry;
  for (const Endpoint& seed : this->settings.seeds) {
    gossipSettings.seeds.push_back(GossipEndpoint{ seed.address, seed.port });
  }
  return gossipSettings;
}

/** Binds TCP and UDP to the same port. A port that the system chose for TCP may
 * be in use for UDP; another port is tried then. */
void
EntryService::Impl::BindPeerPorts()
{
  for (int attempt = 1;; ++attempt) {
    this->peerServer = std::make_unique<PeerServer>(
      this->context,
      this->settings.peer,
      std::make_shared<RequestMemory>(
        LimitsForPeers(this->settings.memoryMb, this->settings.maxDescriptors),
        ConnectionClock()));
    try {
      this->gossip = std::make_unique<GossipService>(
        this->context.get_executor(),
        this->GossipSettingsFor(this->peerServer->Port()),
        this->clock);
      return;
    } catch (const UserError&) {
      if (this->settings.peer.port != 0 || attempt >= kBindAttempts) {
        throw;
      }
    }
  }
}

bool
EntryService::Impl::IsAlive(std::string_view aName,
                            std::uint64_t aIncarnation) const
{
  for (const Member& member : this->gossip->Members()) {
    if (member.row.name == aName) {
      return member.row.incarnation == aIncarnation;
    }
  }
  return false;
}

void
EntryService::Impl::OnActive(const std::string& aDocument)
{
  const Configuration configuration = ParseConfiguration(aDocument);
  this->catalog.Activate(configuration);
  this->pool->SetLimit(this->catalog.ConnectionLimit());
  this->gossip->SetDocumentLeaving(configuration.leavingHosts);
  Event("configuration_active").Add("generation", configuration.generation);
}

asio::awaitable<bool>
EntryService::Impl::ReadHosts()
{
  const std::optional<HostListing> listing = co_await this->hostList.Read();
  if (!listing) {
    co_return false;
  }
  std::vector<std::string> leaving;
  for (const HostRecord& host : listing->hosts) {
    if (host.state == HostState::Leaving) {
      leaving.push_back(host.host);
    }
  }
  this->gossip->SetHostList(listing->revision, leaving);
  this->catalog.SetHosts(*listing);
  co_return true;
}

asio::awaitable<void>
EntryService::Impl::HostLoop()
{
  asio::steady_timer timer(this->context);
  TimePoint lastRead = this->clock.Now();
  while (!this->stopping) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(use_awaitable);
    const bool due = this->clock.Now() - lastRead >= kAddressInterval;
    if (!due && !this->gossip->PollsHostList()) {
      continue;
    }
    const bool read = co_await this->ReadHosts();
    if (read) {
      lastRead = this->clock.Now();
    }
  }
}

void
EntryService::Impl::UpdateMembers()
{
  std::vector<std::string> entries;
  for (const Member& member : this->gossip->Members()) {
    const bool own = member.row.name == this->settings.name;
    if (member.row.role == MemberRole::Entry && (own || !member.suspect)) {
      entries.push_back(member.row.name);
    }
  }
  this->catalog.SetEntries(std::move(entries));
  const std::size_t permille = this->path->InFlight() * 1000 / kFullLoad;
  this->gossip->SetLoad(static_cast<std::uint32_t>(permille));
}

asio::awaitable<void>
EntryService::Impl::TickLoop()
{
  asio::steady_timer timer(this->context);
  TimePoint lastPoolMaintenance = this->clock.Now();
  TimePoint lastMemberUpdate = lastPoolMaintenance;
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(use_awaitable);
    this->catalog.Tick([this](std::string_view aWorker) {
      return this->gossip->IsLeaving(aWorker);
    });
    const TimePoint now = this->clock.Now();
    if (now - lastPoolMaintenance >= kPoolInterval) {
      lastPoolMaintenance = now;
      this->pool->Maintain();
    }
    if (now - lastMemberUpdate >= std::chrono::seconds(1)) {
      lastMemberUpdate = now;
      this->UpdateMembers();
    }
  }
}

HttpResponse
EntryService::Impl::Health() const
{
  if (this->stopping) {
    return JsonResponse(503, R"({"state":"stopping"})");
  }
  if (!this->ready) {
    return JsonResponse(503, R"({"state":"starting"})");
  }
  return JsonResponse(200, R"({"state":"ready"})");
}

HttpResponse
EntryService::Impl::ExportMetrics()
{
  for (const ServiceLoad& load : this->catalog.Loads()) {
    this->metrics.SetLoad(load.service, load.queued, load.atServers);
  }
  const GossipCounters traffic = this->gossip->Counters();
  const PoolCounters connections = this->pool->Counters();
  MetricsSnapshot snapshot;
  snapshot.configurationGeneration = this->agent->Generation();
  snapshot.requestsInFlight = this->path->InFlight();
  snapshot.gossipBytesSent = traffic.bytesSent;
  snapshot.gossipBytesReceived = traffic.bytesReceived;
  snapshot.connectionsOpened = connections.opened;
  snapshot.connectionsSilent = connections.silent;
  snapshot.members = this->gossip->Members().size();
  HttpResponse response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = this->metrics.Export(snapshot);
  return response;
}

asio::awaitable<HttpResponse>
EntryService::Impl::RouteJobs(std::vector<std::string> aPath,
                              HttpRequest aMessage)
{
  HttpResponse response;
  if (aPath.size() == 2 && aMessage.method == "POST") {
    if (this->stopping) {
      co_return ReasonResponse(OutcomeReason::Stopping, NewRequestId());
    }
    response = co_await this->jobs->Submit(std::move(aMessage));
  } else if (aPath.size() == 3 && aMessage.method == "GET") {
    response = co_await this->jobs->Query(std::move(aPath[2]));
  } else if (aPath.size() == 3 && aMessage.method == "DELETE") {
    response = co_await this->jobs->Cancel(std::move(aPath[2]));
  } else if (aPath.size() == 4 && aPath[3] == "explain") {
    response = co_await this->jobs->Explain(std::move(aPath[2]));
  } else {
    response = ReasonResponse(OutcomeReason::BadRequest, NewRequestId());
  }
  co_return response;
}

asio::awaitable<HttpResponse>
EntryService::Impl::Route(HttpRequest aMessage)
{
  // Keep the components alive while a request is pending. After a forced stop,
  // the coroutines of pending requests are destroyed with the io_context, which
  // outlives the service; they need the components until then.
  const std::shared_ptr<Impl> self = this->shared_from_this();
  std::vector<std::string> segments = PathSegments(aMessage.target);
  const std::string target(TargetPath(aMessage.target));
  HttpResponse response;
  if (target == "/healthz") {
    co_return this->Health();
  }
  if (target == "/metrics") {
    co_return this->ExportMetrics();
  }
  if (target == "/v1/status") {
    response = co_await this->operators->Status();
    co_return response;
  }
  if (target == "/v1/configuration") {
    response = co_await this->operators->Configuration(std::move(aMessage));
    co_return response;
  }
  if (target == "/v1/configuration/history") {
    co_return this->operators->History();
  }
  if (!this->ready) {
    co_return ReasonResponse(OutcomeReason::Starting, NewRequestId());
  }
  if (segments.size() == 3 && segments[0] == "v1" &&
      segments[1] == "services") {
    response =
      co_await this->path->Handle(std::move(segments[2]), std::move(aMessage));
    co_return response;
  }
  if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "jobs") {
    response =
      co_await this->RouteJobs(std::move(segments), std::move(aMessage));
    co_return response;
  }
  co_return ReasonResponse(OutcomeReason::UnknownPath, NewRequestId());
}

EntryService::EntryService(asio::io_context& aContext, Settings aSettings)
  : impl(std::make_shared<Impl>(aContext, std::move(aSettings)))
{
}

EntryService::~EntryService() = default;

asio::awaitable<bool>
EntryService::Start()
{
  const std::shared_ptr<Impl> own = this->impl;
  asio::steady_timer timer(own->context);
  own->gossip->Start();
  own->peerServer->Start();
  own->server->Start();
  asio::co_spawn(own->context, own->TickLoop(), asio::detached);
  bool loaded = false;
  // Do not wait for the host list if no address of one is configured. Such an
  // entry serves only jobs and operators' requests.
  const bool hasList = !own->settings.hostList.address.empty();
  bool hostListRead = !hasList;
  while (!own->stopping) {
    if (!loaded) {
      loaded = co_await own->agent->Load();
    }
    if (!hostListRead) {
      hostListRead = co_await own->ReadHosts();
    }
    if (loaded && hostListRead) {
      break;
    }
    timer.expires_after(kRetryInterval);
    co_await timer.async_wait(use_awaitable);
  }
  if (own->stopping) {
    co_return false;
  }
  if (hasList) {
    asio::co_spawn(own->context, own->HostLoop(), asio::detached);
  }
  asio::co_spawn(own->context, own->agent->Run(), asio::detached);
  own->ready = true;
  Event("entry_ready")
    .Add("http_port", static_cast<int>(this->HttpPort()))
    .Add("peer_port", static_cast<int>(this->PeerPort()));
  co_return true;
}

asio::awaitable<bool>
EntryService::Stop()
{
  const std::shared_ptr<Impl> own = this->impl;
  const TimePoint deadline =
    own->clock.Now() + std::chrono::milliseconds(own->settings.drainDeadlineMs);
  own->server->StopAccepting();
  own->stopping = true;
  own->gossip->AnnounceLeaving();
  bool drained = co_await own->server->Drain(deadline);
  asio::steady_timer timer(own->context);
  while (own->records->Pending() > 0 && own->clock.Now() < deadline) {
    timer.expires_after(kDrainInterval);
    co_await timer.async_wait(use_awaitable);
  }
  own->agent->Stop();
  own->pool->Close();
  drained = drained && own->records->Pending() == 0;
  Event("entry_stopped").Add("drained", drained);
  co_return drained;
}

std::uint16_t
EntryService::HttpPort() const
{
  return this->impl->server->Port();
}

std::uint16_t
EntryService::PeerPort() const
{
  return this->impl->peerServer->Port();
}

} // namespace sequoiakeel
