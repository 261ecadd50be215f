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

/** Intervals and time limits of ConfigurationAgent. */
struct ConfigurationTimes
{
  /** How long Load waits for the store and the peers. */
  std::chrono::milliseconds startupWindow{ 2000 };
  std::chrono::milliseconds pollInterval{ 1000 };
  /** Delay before the second attempt of a write; doubles after each attempt. */
  std::chrono::milliseconds retryDelay{ 50 };
};

/** Keeps the configuration of one process up to date, following section 6 of
 * the design page. All methods are thread safe. */
class ConfigurationAgent
{
public:
  /** Validates a document; may be called from several threads. */
  using Validate = std::function<Findings(std::string_view)>;
  /** Called after each activation, in increasing order of generations. Must not
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

  /** Activates the highest generation found in the store and on the peers that
   * respond within the startup window. Returns false if no configuration is
   * active and neither the store nor a peer with a configuration responded; the
   * caller must then retry and is not ready until a call succeeds. */
  boost::asio::awaitable<bool> Load();

  /** Calls Poll once per pollInterval (1 s by default) until Stop is called.
   * Errors are logged. */
  boost::asio::awaitable<void> Run();

  /** Makes Run return. */
  void Stop();

  /** Reads the configuration from the store if this process is one of the two
   * members of its region that poll the store. Returns whether it is one of
   * them. */
  boost::asio::awaitable<bool> Poll();

  /** Fetches the configuration from a peer that announced a higher generation.
   * Returns whether a higher generation was activated. */
  boost::asio::awaitable<bool> FetchFrom(MemberRow aPeer);

  /** Starts FetchFrom in the background if aPeer announces a higher generation.
   * If a fetch is already running, the next fetch is from the peer that
   * announced a higher generation most recently. Intended as the callback
   * GossipService::OnGeneration. */
  void OnGenerationAnnounced(const MemberRow& aPeer);

  /** Validates aDocument and writes it to the store as generation aBase + 1.
   * The generation, write id and author in aDocument are replaced. */
  boost::asio::awaitable<ApplyResult> Apply(std::string aDocument,
                                            std::uint64_t aBase,
                                            std::string aAuthor);

  /** Returns the reply to a peer's request; see
   * ActiveConfiguration::ReplyTo. */
  ConfigurationReply ReplyTo(const FetchConfiguration& aRequest) const;

  /** Returns the active generation, or 0 if there is none. */
  std::uint64_t Generation() const;

  /** Returns the active document in canonical JSON form; empty if there is
   * none. */
  std::string Document() const;

  /** Returns the recent changes that this process activated, oldest first. */
  std::vector<ConfigurationChange> History() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace sequoiakeel
