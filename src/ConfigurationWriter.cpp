#include "ConfigurationWriter.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Maximum number of attempts of a write; with the default retryDelay the
 * delays between them add up to about 1.5 s. */
constexpr int kApplyAttempts = 6;

/** Returns the outcome of a write if the current document in the store
 * determines it. aUnresolved is true if the reply to an earlier attempt was
 * lost. */
std::optional<ApplyResult>
ResolveOutcome(const CurrentConfiguration& aCurrent,
               const DocumentHead& aHead,
               bool aUnresolved,
               const ConfigurationWrite& aWrite)
{
  ApplyResult result;
  result.generation = aCurrent.head.generation;
  if (aCurrent.head.writeId == aHead.writeId) {
    result.outcome = ApplyOutcome::Applied;
    return result;
  }
  if (aCurrent.head.generation + 1 == aHead.generation) {
    return std::nullopt;
  }
  result.outcome = ApplyOutcome::Conflict;
  if (aUnresolved && aCurrent.head.generation > aHead.generation) {
    // The write may have taken effect and may since have been replaced.
    const std::vector<ConfigurationChange> history = aWrite.history();
    const auto found = std::ranges::find(
      history, aHead.generation, &ConfigurationChange::generation);
    if (found == history.end()) {
      result.outcome = ApplyOutcome::Unknown;
      result.reason = "replaced-before-read";
      return result;
    }
    if (found->writeId == aHead.writeId) {
      result.outcome = ApplyOutcome::Applied;
      result.generation = aHead.generation;
      return result;
    }
  }
  result.winner = aCurrent.head.author;
  if (!aCurrent.document.empty()) {
    result.differences = DifferingFields(aWrite.text, aCurrent.document);
  }
  return result;
}

} // namespace

asio::awaitable<void>
SleepFor(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<CurrentConfiguration>
ReadCurrentConfiguration(KeyValueStore& aStore)
{
  CurrentConfiguration current;
  const StoreReadReply reply =
    co_await aStore.Get(std::string(kConfigurationKey));
  if (reply.result != StoreResult::Ok) {
    co_return current;
  }
  current.known = true;
  if (reply.values.empty()) {
    co_return current;
  }
  current.version = reply.values.front().version;
  current.document = reply.values.front().value;
  current.head = ReadDocumentHead(current.document);
  co_return current;
}

asio::awaitable<ApplyResult>
WriteConfiguration(KeyValueStore& aStore, ConfigurationWrite aWrite)
{
  const DocumentHead head = ReadDocumentHead(aWrite.text);
  bool unresolved = false;
  ApplyResult result;
  std::chrono::milliseconds pause = aWrite.retryDelay;
  for (int attempt = 0; attempt < kApplyAttempts; ++attempt) {
    if (attempt > 0) {
      co_await SleepFor(pause);
      pause *= 2;
    }
    const CurrentConfiguration current =
      co_await ReadCurrentConfiguration(aStore);
    if (!current.known) {
      continue;
    }
    const std::optional<ApplyResult> settled =
      ResolveOutcome(current, head, unresolved, aWrite);
    if (settled) {
      co_return *settled;
    }
    if (aWrite.base < aWrite.activeGeneration() && !unresolved) {
      // Refuse the change, because the store has lost changes that are active
      // in this process. A document written now would get a generation that is
      // already active, so no process would activate it.
      result.reason = "store-behind";
      co_return result;
    }
    const StoreWriteReply reply = co_await aStore.CompareAndSwap(
      std::string(kConfigurationKey), current.version, aWrite.text);
    if (reply.result == StoreResult::Ok) {
      result.outcome = ApplyOutcome::Applied;
      result.generation = aWrite.base + 1;
      co_return result;
    }
    unresolved |= reply.result == StoreResult::Unknown;
  }
  result.outcome =
    unresolved ? ApplyOutcome::Unknown : ApplyOutcome::NotApplied;
  result.reason = "store-unavailable";
  co_return result;
}

} // namespace sequoiakeel
