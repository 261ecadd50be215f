#pragma once

#include "ActiveConfiguration.h"
#include "ConfigurationStartup.h"
#include "ConfigurationWriter.h"
#include "Findings.h"
#include "MembershipView.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Time limits of ConfigurationAgent. */
struct ConfigurationTimes
{
  /** How long Load waits for the store and the peers. */
  std::chrono::milliseconds startupWindow{ 2000 };
  std::chrono::milliseconds pollInterval{ 1000 };
  /** Pause before the second attempt of a write; doubles with each. */
  std::chrono::milliseconds retryDelay{ 50 };
};

/** Keeps the configuration of one process current (section 6 of the design
 * page). All methods are thread safe. */
class ConfigurationAgent
{
public:
  /** Checks a document; several threads may call it. */
  using Validate = std::function<Findings(std::string_view)>;
  /** Called after each activation, in the order of generations. Must not
   * block. */
  using OnActive = std::function<void(std::uint64_t aGeneration,
                                      const std::string& aDocument)>;
  using Fetch = FetchFromPeer;

  /** The references must outlive the agent. */
  ConfigurationAgent(boost::asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     MembershipView& aMembership,
                     Fetch aFetch,
                     Validate aValidate,
                     OnActive aOnActive,
                     ConfigurationTimes aTimes = {});
  ~ConfigurationAgent();

  /** Takes the highest generation among the store and all peers that respond
   * within the startup window. Returns false if neither the store nor a peer
   * with a configuration responded; the caller tries again and is not ready
   * until then. */
  boost::asio::awaitable<bool> Load();

  /** Polls the store once a second while this process is one of the two
   * members of its region that do so, until Stop. */
  boost::asio::awaitable<void> Run();

  /** Ends Run. */
  void Stop();

  /** One poll: reads the store if this process is one of the two pollers.
   * Returns whether it did. */
  boost::asio::awaitable<bool> Poll();

  /** Fetches from a peer that announced a higher generation; returns whether
   * that led to a higher generation. */
  boost::asio::awaitable<bool> FetchFrom(MemberRow aPeer);

  /** Starts FetchFrom in the background; while a fetch runs, the last peer
   * announced is fetched from next. Made for GossipService::OnGeneration. */
  void Announced(const MemberRow& aPeer);

  /** Validates aDocument and writes it as generation aBase + 1. Generation,
   * write id and author of the text are replaced. */
  boost::asio::awaitable<ApplyResult> Apply(std::string aDocument,
                                            std::uint64_t aBase,
                                            std::string aAuthor);

  /** Answers a peer. */
  ConfigurationReply ReplyTo(const FetchConfiguration& aRequest) const;

  /** Returns the active generation; 0: none. */
  std::uint64_t Generation() const;

  /** Returns the active document's canonical JSON text; empty: none. */
  std::string Document() const;

  /** Returns the last changes that this process has seen. */
  std::vector<ConfigurationChange> History() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace sequoiakeel
