#include "ConfigurationStartup.h"

#include "ConfigurationWriter.h"
#include "Error.h"
#include "Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

using GatheredPointer = std::shared_ptr<GatheredConfigurations>;

constexpr std::chrono::milliseconds kCheckInterval{ 20 };

asio::awaitable<void>
QueryStore(KeyValueStore& aStore, GatheredPointer aGathered)
{
  CurrentConfiguration current;
  try {
    current = co_await ReadCurrentConfiguration(aStore);
  } catch (const UserError& error) {
    Event("configuration_unreadable", LogLevel::Error)
      .Add("reason", error.what());
  }
  const std::scoped_lock guard(aGathered->lock);
  --aGathered->pending;
  aGathered->storeAnswered = current.known;
  aGathered->storeDocument = std::move(current.document);
}

asio::awaitable<void>
QueryPeer(FetchFromPeer aFetch, MemberRow aPeer, GatheredPointer aGathered)
{
  FetchConfiguration request;
  request.haveGeneration = kGenerationOnly;
  const std::optional<ConfigurationReply> reply =
    co_await aFetch(aPeer, request);
  const std::scoped_lock guard(aGathered->lock);
  --aGathered->pending;
  // Ignore a peer without a configuration: it may be starting up too.
  if (reply && reply->generation > 0) {
    aGathered->peers.emplace_back(reply->generation, aPeer);
  }
}

/** Queries each peer that has not been queried yet. */
void
QueryNewPeers(const asio::any_io_executor& aExecutor,
              const MembershipView& aMembership,
              const FetchFromPeer& aFetch,
              const GatheredPointer& aGathered,
              std::set<std::string>& aAsked)
{
  const std::string own = aMembership.OwnRow().name;
  for (const Member& member : aMembership.Members()) {
    if (member.row.name == own || !aAsked.insert(member.row.name).second) {
      continue;
    }
    {
      const std::scoped_lock guard(aGathered->lock);
      ++aGathered->pending;
    }
    asio::co_spawn(
      aExecutor, QueryPeer(aFetch, member.row, aGathered), asio::detached);
  }
}

} // namespace

asio::awaitable<void>
GatherConfigurations(asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     MembershipView& aMembership,
                     FetchFromPeer aFetch,
                     std::chrono::milliseconds aWindow,
                     std::shared_ptr<GatheredConfigurations> aGathered)
{
  std::set<std::string> asked;
  aGathered->pending = 1;
  asio::co_spawn(aExecutor, QueryStore(aStore, aGathered), asio::detached);
  for (std::chrono::milliseconds passed{ 0 }; passed < aWindow;
       passed += kCheckInterval) {
    QueryNewPeers(aExecutor, aMembership, aFetch, aGathered, asked);
    co_await SleepFor(kCheckInterval);
    const std::scoped_lock guard(aGathered->lock);
    if (aGathered->storeAnswered && aGathered->pending == 0 && !asked.empty()) {
      co_return;
    }
  }
}

} // namespace sequoiakeel
