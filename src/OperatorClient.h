#pragma once

#include "ActiveConfiguration.h"
#include "Findings.h"
#include "HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** The active configuration as an entry reports it. */
struct ActiveDocument
{
  /** Whether the entry responded; without it `error` says why. */
  bool known = false;
  /** Canonical text; empty: no configuration is active. */
  std::string text;
  DocumentHead head;
  std::string error;
};

/** How a change of the configuration ended. */
enum class ChangeEnd : std::uint8_t
{
  /** In force as `generation`. */
  Applied,
  /** The same document was already in force as `generation`. */
  Unchanged,
  /** Another change was first; nothing of this one is in force. */
  LostRace,
  /** The document has faults. */
  Invalid,
  /** Not in force and will not be. */
  NotApplied,
  /** It may or may not take effect. */
  Unknown,
};

/** What became of a change. */
struct ChangeReport
{
  ChangeEnd end = ChangeEnd::NotApplied;
  std::uint64_t base = 0;
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

/** A change of the configuration. */
struct ChangeRequest
{
  std::string document;
  /** Generation that the change is based on; none: the one in the document, or
   * else the active one. */
  std::optional<std::uint64_t> base;
  std::string author;
};

/** Time limits of OperatorClient. */
struct OperatorTimes
{
  /** Limit of one call. Longer than an entry takes to resolve a write. */
  std::chrono::milliseconds call{ 60000 };
  /** How long an unknown outcome is read back. */
  std::chrono::milliseconds resolve{ 10000 };
  std::chrono::milliseconds poll{ 250 };
};

/** Operators' calls to one entry (docs/api.md). Thread safe. */
class OperatorClient
{
public:
  OperatorClient(boost::asio::any_io_executor aExecutor,
                 Endpoint aEntry,
                 OperatorTimes aTimes = {});

  /** Makes one call without a retry. */
  boost::asio::awaitable<ExchangeResult> Call(std::string aMethod,
                                              std::string aTarget,
                                              std::string aBody = {},
                                              HttpHeaders aHeaders = {});

  /** Reads the active configuration. */
  boost::asio::awaitable<ActiveDocument> Active();

  /** Checks a document, applies it, and resolves an unknown outcome by reading
   * back. */
  boost::asio::awaitable<ChangeReport> Apply(ChangeRequest aRequest);

  /** Adds a host to `leaving_hosts` or removes it, with a retry after a lost
   * race. */
  boost::asio::awaitable<ChangeReport> SetLeaving(std::string aHost,
                                                  bool aLeaving,
                                                  std::string aAuthor);

  /** Returns the entry's endpoint as text. */
  std::string Entry() const;

private:
  boost::asio::awaitable<ChangeReport> Send(ChangeRequest aRequest,
                                            std::string aBefore);
  boost::asio::awaitable<ChangeReport> Resolve(ChangeRequest aRequest,
                                               std::string aBefore,
                                               std::string aReason);
  boost::asio::awaitable<ChangeReport> JudgeByHistory(ChangeRequest aRequest,
                                                      std::string aBefore,
                                                      ActiveDocument aActive);
  boost::asio::awaitable<ActiveDocument> AwaitGeneration(
    std::uint64_t aGeneration);

  HttpClient client;
  Endpoint entry;
  OperatorTimes times;
};

/** Tells why an exchange failed or what error its response names. Thread safe.
 */
std::string
ReasonOf(const ExchangeResult& aResult);

/** Reads the findings of a response with status 400 or 422; empty if it has
 * none. Thread safe. */
Findings
FindingsOf(std::string_view aBody);

} // namespace sequoiakeel
