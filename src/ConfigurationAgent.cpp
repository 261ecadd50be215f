#include "ConfigurationAgent.h"

#include "ConfigurationStartup.h"
#include "ConfigurationWriter.h"
#include "Error.h"
#include "KeyValueStore.h"
#include "Log.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <random>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Number of members in each region that poll the store. */
constexpr std::size_t kPollersPerRegion = 2;

std::string
NewWriteId(std::string_view aName)
{
  static std::atomic<std::uint64_t> gCount{ 0 };
  std::random_device device;
  const std::uint64_t random =
    static_cast<std::uint64_t>(device()) << 32 | device();
  return std::string(aName) + "-" + std::to_string(random) + "-" +
         std::to_string(++gCount);
}

} // namespace

class ConfigurationAgent::Impl
  : public std::enable_shared_from_this<ConfigurationAgent::Impl>
{
public:
  Impl(asio::any_io_executor aExecutor,
       KeyValueStore& aStore,
       MembershipView& aMembership,
       Fetch aFetch,
       Validate aValidate,
       OnActive aOnActive,
       ConfigurationTimes aTimes)
    : executor(std::move(aExecutor))
    , store(aStore)
    , membership(aMembership)
    , fetch(std::move(aFetch))
    , validate(std::move(aValidate))
    , onActive(std::move(aOnActive))
    , times(aTimes)
    , pollTimer(this->executor)
  {
  }

  asio::awaitable<bool> Load();
  asio::awaitable<void> Run();
  void Stop();
  asio::awaitable<bool> Poll();
  asio::awaitable<bool> FetchFrom(MemberRow aPeer);
  void OnGenerationAnnounced(const MemberRow& aPeer);
  asio::awaitable<ApplyResult> Apply(std::string aDocument,
                                     std::uint64_t aBase,
                                     std::string aAuthor);

  /** Calls aRead with the active configuration under the lock and returns its
   * result. */
  template<typename Read>
  auto WithActive(Read aRead) const
  {
    const std::scoped_lock guard(this->activeLock);
    return aRead(this->active);
  }

private:
  asio::awaitable<void> ReadStore();
  asio::awaitable<void> FetchAnnounced();
  bool Activate(std::string_view aDocument, std::string_view aSource);
  bool IsPoller() const;
  std::uint64_t Generation() const
  {
    return this->WithActive(
      [](const ActiveConfiguration& aActive) { return aActive.Generation(); });
  }

  asio::any_io_executor executor;
  KeyValueStore& store;
  MembershipView& membership;
  Fetch fetch;
  Validate validate;
  OnActive onActive;
  ConfigurationTimes times;
  asio::steady_timer pollTimer;
  std::atomic<bool> stopped{ false };
  std::atomic<std::uint64_t> versionSeen{ kAbsentVersion };

  /** Locked during an activation and its callback, so that callbacks run in the
   * order of generations. Must be acquired before activeLock. */
  std::mutex activationLock;
  mutable std::mutex activeLock;
  ActiveConfiguration active;

  std::mutex fetchLock;
  bool fetching = false;
  std::optional<MemberRow> announced;
};

bool
ConfigurationAgent::Impl::Activate(std::string_view aDocument,
                                   std::string_view aSource)
{
  const DocumentHead head = ReadDocumentHead(aDocument);
  if (head.generation <= this->Generation()) {
    return false;
  }
  const Findings findings = this->validate(aDocument);
  if (!findings.Ok()) {
    Event("configuration_rejected", LogLevel::Error)
      .Add("generation", head.generation)
      .Add("source", aSource)
      .Add("findings", findings.Format("document"));
    return false;
  }
  const std::scoped_lock guard(this->activationLock);
  std::string document;
  {
    const std::scoped_lock activeGuard(this->activeLock);
    if (!this->active.Activate(aDocument)) {
      return false;
    }
    document = this->active.Document();
  }
  Event("configuration_activated")
    .Add("generation", head.generation)
    .Add("author", head.author)
    .Add("source", aSource);
  this->onActive(head.generation, document);
  this->membership.AnnounceGeneration(head.generation);
  return true;
}

asio::awaitable<bool>
ConfigurationAgent::Impl::Load()
{
  const auto self = this->shared_from_this();
  const auto gathered = std::make_shared<GatheredConfigurations>();
  co_await GatherConfigurations(this->executor,
                                this->store,
                                this->membership,
                                this->fetch,
                                this->times.startupWindow,
                                gathered);
  std::vector<std::pair<std::uint64_t, MemberRow>> peers;
  std::string document;
  bool answered = false;
  {
    const std::scoped_lock guard(gathered->lock);
    peers = gathered->peers;
    document = gathered->storeDocument;
    answered = gathered->storeAnswered || !peers.empty();
  }
  const std::uint64_t storeGeneration =
    document.empty() ? 0 : ReadDocumentHead(document).generation;
  std::ranges::sort(peers, [](const auto& aOne, const auto& aTwo) {
    return aOne.first > aTwo.first;
  });
  for (const auto& [generation, peer] : peers) {
    if (generation <= std::max(storeGeneration, this->Generation())) {
      break;
    }
    co_await this->FetchFrom(peer);
  }
  if (!document.empty()) {
    this->Activate(document, "store");
  }
  co_return answered || this->Generation() > 0;
}

asio::awaitable<void>
ConfigurationAgent::Impl::Run()
{
  const auto self = this->shared_from_this();
  while (!this->stopped) {
    try {
      co_await this->Poll();
    } catch (const std::exception& error) {
      Event("configuration_poll_failed", LogLevel::Error)
        .Add("reason", error.what());
    }
    this->pollTimer.expires_after(this->times.pollInterval);
    boost::system::error_code error;
    co_await this->pollTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  }
}

void
ConfigurationAgent::Impl::Stop()
{
  this->stopped = true;
  asio::post(this->executor,
             [self = this->shared_from_this()] { self->pollTimer.cancel(); });
}

bool
ConfigurationAgent::Impl::IsPoller() const
{
  const MemberRow own = this->membership.OwnRow();
  const std::vector<Member> members = this->membership.Members();
  std::vector<std::string> ranked = RankMembers(
    "config-poll/" + own.region, members, [&](const MemberRow& aRow) {
      return aRow.region == own.region;
    });
  ranked.resize(std::min(ranked.size(), kPollersPerRegion));
  return std::ranges::find(ranked, own.name) != ranked.end();
}

asio::awaitable<void>
ConfigurationAgent::Impl::ReadStore()
{
  const StoreReadReply reply =
    co_await this->store.GetVersion(std::string(kConfigurationKey));
  if (reply.result != StoreResult::Ok || reply.values.empty() ||
      reply.values.front().version == this->versionSeen) {
    co_return;
  }
  try {
    const CurrentConfiguration current =
      co_await ReadCurrentConfiguration(this->store);
    if (!current.known || current.document.empty()) {
      co_return;
    }
    this->Activate(current.document, "store");
    this->versionSeen = current.version;
  } catch (const UserError& error) {
    Event("configuration_unreadable", LogLevel::Error)
      .Add("reason", error.what());
  }
}

asio::awaitable<bool>
ConfigurationAgent::Impl::Poll()
{
  const auto self = this->shared_from_this();
  const bool poller = this->IsPoller();
  if (poller) {
    co_await this->ReadStore();
  }
  co_return poller;
}

asio::awaitable<bool>
ConfigurationAgent::Impl::FetchFrom(MemberRow aPeer)
{
  const auto self = this->shared_from_this();
  FetchConfiguration request;
  request.haveGeneration = this->Generation();
  for (int attempt = 0; attempt < 2; ++attempt) {
    const std::optional<ConfigurationReply> reply =
      co_await this->fetch(aPeer, request);
    if (!reply || reply->generation <= this->Generation()) {
      co_return false;
    }
    const std::optional<std::string> document =
      this->WithActive([&reply](const ActiveConfiguration& aActive) {
        return aActive.Resolve(*reply);
      });
    if (document) {
      co_return this->Activate(*document, aPeer.name);
    }
    Event("configuration_reply_dropped", LogLevel::Warning)
      .Add("peer", aPeer.name)
      .Add("generation", reply->generation)
      .Add("patch", reply->isPatch);
    // Request the whole document, which does not depend on the active one.
    request.haveGeneration = 0;
  }
  co_return false;
}

void
ConfigurationAgent::Impl::OnGenerationAnnounced(const MemberRow& aPeer)
{
  if (aPeer.configurationGeneration <= this->Generation()) {
    return;
  }
  {
    const std::scoped_lock guard(this->fetchLock);
    this->announced = aPeer;
    if (this->fetching) {
      return;
    }
    this->fetching = true;
  }
  asio::co_spawn(
    this->executor,
    [self = this->shared_from_this()] { return self->FetchAnnounced(); },
    asio::detached);
}

asio::awaitable<void>
ConfigurationAgent::Impl::FetchAnnounced()
{
  const auto self = this->shared_from_this();
  while (true) {
    std::optional<MemberRow> peer;
    {
      const std::scoped_lock guard(this->fetchLock);
      peer = std::exchange(this->announced, std::nullopt);
      if (!peer) {
        this->fetching = false;
        co_return;
      }
    }
    if (peer->configurationGeneration > this->Generation()) {
      co_await this->FetchFrom(*peer);
    }
  }
}

asio::awaitable<ApplyResult>
ConfigurationAgent::Impl::Apply(std::string aDocument,
                                std::uint64_t aBase,
                                std::string aAuthor)
{
  const auto self = this->shared_from_this();
  ApplyResult result;
  result.outcome = ApplyOutcome::Invalid;
  std::string text;
  try {
    const std::string own = this->membership.OwnRow().name;
    const DocumentHead head{ aBase + 1, NewWriteId(own), aAuthor };
    text = WithDocumentHead(aDocument, head);
  } catch (const UserError& error) {
    result.findings.Add("", error.what());
    co_return result;
  }
  if (text.size() > kMaxStoreValueBytes) {
    result.findings.Add(
      "", "the document exceeds the maximum size of a store value");
    co_return result;
  }
  result.findings = this->validate(text);
  if (!result.findings.Ok()) {
    co_return result;
  }
  ConfigurationWrite write;
  write.text = text;
  write.base = aBase;
  write.retryDelay = this->times.retryDelay;
  write.history = [self] {
    return self->WithActive(
      [](const ActiveConfiguration& aActive) { return aActive.History(); });
  };
  write.activeGeneration = [self] { return self->Generation(); };
  result = co_await WriteConfiguration(this->store, std::move(write));
  if (result.outcome == ApplyOutcome::Applied) {
    this->Activate(text, "apply");
  }
  Event("configuration_apply")
    .Add("author", aAuthor)
    .Add("base", aBase)
    .Add("outcome", static_cast<int>(result.outcome))
    .Add("generation", result.generation)
    .Add("reason", result.reason);
  co_return result;
}

ConfigurationAgent::ConfigurationAgent(asio::any_io_executor aExecutor,
                                       KeyValueStore& aStore,
                                       MembershipView& aMembership,
                                       Fetch aFetch,
                                       Validate aValidate,
                                       OnActive aOnActive,
                                       ConfigurationTimes aTimes)
  : impl(std::make_shared<Impl>(std::move(aExecutor),
                                aStore,
                                aMembership,
                                std::move(aFetch),
                                std::move(aValidate),
                                std::move(aOnActive),
                                aTimes))
{
}

ConfigurationAgent::~ConfigurationAgent()
{
  this->Stop();
}

asio::awaitable<bool>
ConfigurationAgent::Load()
{
  return this->impl->Load();
}

asio::awaitable<void>
ConfigurationAgent::Run()
{
  return this->impl->Run();
}

void
ConfigurationAgent::Stop()
{
  this->impl->Stop();
}

asio::awaitable<bool>
ConfigurationAgent::Poll()
{
  return this->impl->Poll();
}

asio::awaitable<bool>
ConfigurationAgent::FetchFrom(MemberRow aPeer)
{
  return this->impl->FetchFrom(std::move(aPeer));
}

void
ConfigurationAgent::OnGenerationAnnounced(const MemberRow& aPeer)
{
  this->impl->OnGenerationAnnounced(aPeer);
}

asio::awaitable<ApplyResult>
ConfigurationAgent::Apply(std::string aDocument,
                          std::uint64_t aBase,
                          std::string aAuthor)
{
  return this->impl->Apply(std::move(aDocument), aBase, std::move(aAuthor));
}

ConfigurationReply
ConfigurationAgent::ReplyTo(const FetchConfiguration& aRequest) const
{
  return this->impl->WithActive(
    [&aRequest](const ActiveConfiguration& aActive) {
      return aActive.ReplyTo(aRequest);
    });
}

std::uint64_t
ConfigurationAgent::Generation() const
{
  return this->impl->WithActive(
    [](const ActiveConfiguration& aActive) { return aActive.Generation(); });
}

std::string
ConfigurationAgent::Document() const
{
  return this->impl->WithActive(
    [](const ActiveConfiguration& aActive) { return aActive.Document(); });
}

std::vector<ConfigurationChange>
ConfigurationAgent::History() const
{
  return this->impl->WithActive(
    [](const ActiveConfiguration& aActive) { return aActive.History(); });
}

} // namespace sequoiakeel
