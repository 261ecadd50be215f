#pragma once

#include "KeyValueStore.h"
#include "MembershipView.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiakeel {

/** In FetchConfiguration: asks for the generation without a document. */
inline constexpr std::uint64_t kGenerationOnly = UINT64_MAX;

/** Sends FetchConfiguration to a peer; none if it did not respond in time. */
using FetchFromPeer =
  std::function<boost::asio::awaitable<std::optional<ConfigurationReply>>(
    MemberRow aPeer,
    FetchConfiguration aRequest)>;

/** What a starting process has heard; read it under the lock. */
struct GatheredConfigurations
{
  std::mutex lock;
  /** Questions without an answer. */
  std::size_t pending = 0;
  bool storeAnswered = false;
  /** The store's document; empty: none. */
  std::string storeDocument;
  /** Peers that have a configuration, with its generation. */
  std::vector<std::pair<std::uint64_t, MemberRow>> peers;
};

/** Asks the store and each peer that the membership shows until the window
 * ends, or until the store and at least one peer were asked and all have
 * answered. The references must outlive all answers. Thread safe. */
boost::asio::awaitable<void>
GatherConfigurations(boost::asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     MembershipView& aMembership,
                     FetchFromPeer aFetch,
                     std::chrono::milliseconds aWindow,
                     std::shared_ptr<GatheredConfigurations> aGathered);

} // namespace sequoiakeel
