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
  /** Whether the active configuration could be read; if not, `error` gives the
   * reason. */
  bool known = false;
  /** Canonical text of the document; empty if no configuration is active. */
  std::string text;
  DocumentHead head;
  std::string error;
};

/** Outcome of a configuration change. */
enum class ChangeEnd : std::uint8_t
{
  /** The change took effect as `generation`. */
  Applied,
  /** The same document was already in force as `generation`. */
  Unchanged,
  /** Another change was applied first; no part of this one took effect. */
  LostRace,
  /** The document failed validation; see `findings`. */
  Invalid,
  /** The change did not take effect and will not do so later. */
  NotApplied,
  /** The change may have taken effect or may still do so. */
  Unknown,
};

/** Outcome of a configuration change, with its details. */
struct ChangeReport
{
  ChangeEnd end = ChangeEnd::NotApplied;
  std::uint64_t base = 0;
  /** The generation of this change or, after a lost race, of the winner. */
  std::uint64_t generation = 0;
  /** Author of the change that was applied first. */
  std::string winner;
  /** JSON Pointers of the fields in which the winner's document differs. */
  std::vector<std::string> differences;
  Findings findings;
  /** Reason for NotApplied or Unknown. */
  std::string reason;
};

/** Request to change the configuration. */
struct ChangeRequest
{
  std::string document;
  /** Generation that the change is based on. If absent, the generation given in
   * the document is used, or else the active one. */
  std::optional<std::uint64_t> base;
  std::string author;
};

/** Time limits of OperatorClient. */
struct OperatorTimes
{
  /** Time limit of one call. Longer than an entry takes to resolve a write. */
  std::chrono::milliseconds call{ 60000 };
  /** Time limit for resolving an unknown outcome by reading back. */
  std::chrono::milliseconds resolve{ 10000 };
  std::chrono::milliseconds poll{ 250 };
};

/** Client for the operators' part of the HTTP interface of one entry
 * (docs/api.md). Thread safe. */
class OperatorClient
{
public:
  OperatorClient(boost::asio::any_io_executor aExecutor,
                 Endpoint aEntry,
                 OperatorTimes aTimes = {});

  /** Makes one call, without retries. */
  boost::asio::awaitable<ExchangeResult> Call(std::string aMethod,
                                              std::string aTarget,
                                              std::string aBody = {},
                                              HttpHeaders aHeaders = {});

  /** Reads the active configuration. */
  boost::asio::awaitable<ActiveDocument> Active();

  /** Validates a document and applies it. If the outcome is unknown, resolves
   * it by reading the configuration back. */
  boost::asio::awaitable<ChangeReport> Apply(ChangeRequest aRequest);

  /** Adds a host to `leaving_hosts` or removes it. Retries a limited number of
   * times after a lost race. */
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
  boost::asio::awaitable<ChangeReport> ResolveByHistory(ChangeRequest aRequest,
                                                        std::string aBefore,
                                                        ActiveDocument aActive);
  boost::asio::awaitable<ActiveDocument> AwaitGeneration(
    std::uint64_t aGeneration);

  HttpClient client;
  Endpoint entry;
  OperatorTimes times;
};

/** Returns the reason why an exchange failed, or the error given in its
 * response, or else the status code as text. Thread safe. */
std::string
ReasonOf(const ExchangeResult& aResult);

/** Parses the findings in the body of a response with status 400 or 422.
 * Returns empty findings if there are none. Thread safe. */
Findings
FindingsOf(std::string_view aBody);

} // namespace sequoiakeel
