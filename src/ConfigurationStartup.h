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

/** Value of FetchConfiguration::haveGeneration that requests the generation
 * without the document. */
inline constexpr std::uint64_t kGenerationOnly = UINT64_MAX;

/** Sends FetchConfiguration to a peer; returns nothing if the peer did not
 * respond in time or the reply is malformed. */
using FetchFromPeer =
  std::function<boost::asio::awaitable<std::optional<ConfigurationReply>>(
    MemberRow aPeer,
    FetchConfiguration aRequest)>;

/** Replies that a starting process received. Access requires the lock. */
struct GatheredConfigurations
{
  std::mutex lock;
  /** Number of requests that are still unanswered. */
  std::size_t pending = 0;
  bool storeAnswered = false;
  /** The document in the store; empty if there is none. */
  std::string storeDocument;
  /** Generation and row of each peer that has a configuration. */
  std::vector<std::pair<std::uint64_t, MemberRow>> peers;
};

/** Requests the configuration from the store and its generation from each
 * member of aMembership, and adds the replies to aGathered. Completes after
 * aWindow, or earlier once the store has answered, at least one peer was
 * queried and no request is pending. Replies may still arrive afterwards, so
 * the references must outlive all pending requests. Thread safe. */
boost::asio::awaitable<void>
GatherConfigurations(boost::asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     MembershipView& aMembership,
                     FetchFromPeer aFetch,
                     std::chrono::milliseconds aWindow,
                     std::shared_ptr<GatheredConfigurations> aGathered);

} // namespace sequoiakeel
