#pragma once

#include "ConfigurationKeeper.h"
#include "Findings.h"
#include "MembershipView.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

class KeyValueStore;
class PeerRpc;

/** What became of a change of the configuration. */
enum class ApplyOutcome : std::uint8_t
{
  /** In force; the generation is the new one. */
  Applied,
  /** Another change was first. */
  Conflict,
  /** The document has faults. */
  Invalid,
  /** The store refused it or was not reached; it is not in force and will not
   * be. */
  NotApplied,
  /** It may or may not take effect. */
  Unknown,
};

/** Answer to ConfigurationAgent::Apply. */
struct ApplyResult
{
  ApplyOutcome outcome = ApplyOutcome::NotApplied;
  /** The new generation, or the winner's. */
  std::uint64_t generation = 0;
  /** Author of the change that was first. */
  std::string winner;
  /** JSON Pointers of the fields in which the winner's document differs. */
  std::vector<std::string> differences;
  Findings findings;
  /** Why, for NotApplied and Unknown. */
  std::string reason;
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
  /** Asks a peer; none if it did not respond in time. */
  using Fetch =
    std::function<boost::asio::awaitable<std::optional<ConfigurationReply>>(
      MemberRow aPeer,
      FetchConfiguration aRequest)>;

  /** The references must outlive the agent. */
  ConfigurationAgent(boost::asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     MembershipView& aMembership,
                     Fetch aFetch,
                     Validate aValidate,
                     OnActive aOnActive);
  ~ConfigurationAgent();

  /** Takes the highest generation among the store and all peers that respond
   * within 2 s. Returns false if none responded; the caller tries again and
   * is not ready until then. */
  boost::asio::awaitable<bool> Load();

  /** Polls the store once a second while this process is one of the two
   * members of its region that do so, until Stop. */
  boost::asio::awaitable<void> Run();

  /** Ends Run. */
  void Stop();

  /** One poll: reads the store if this process is one of the two pollers.
   * Returns whether it did. */
  boost::asio::awaitable<bool> Poll();

  /** Fetches from a peer that announced a higher generation; false if that
   * did not lead to its generation. To be called from the gossip callback
   * through Announced. */
  boost::asio::awaitable<bool> FetchFrom(MemberRow aPeer);

  /** Starts FetchFrom in the background unless a fetch runs. */
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
