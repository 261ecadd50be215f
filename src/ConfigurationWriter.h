#pragma once

#include "ActiveConfiguration.h"
#include "Findings.h"
#include "KeyValueStore.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Key of the configuration in the store. */
inline constexpr std::string_view kConfigurationKey = "config/current";

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

/** The configuration in the store. */
struct CurrentConfiguration
{
  /** Whether the store responded; without a document the rest is empty. */
  bool known = false;
  std::uint64_t version = kAbsentVersion;
  std::string document;
  DocumentHead head;
};

/** Reads the store. Throws UserError if the document there is not readable.
 * Thread safe. */
boost::asio::awaitable<CurrentConfiguration>
ReadCurrentConfiguration(KeyValueStore& aStore);

/** A change to be written. */
struct ConfigurationWrite
{
  /** The document with its head: generation base + 1 and a write id that no
   * other write has. */
  std::string text;
  std::uint64_t base = 0;
  /** Pause before the second attempt; doubles with each. */
  std::chrono::milliseconds retryDelay{ 50 };
  /** Changes that this process has seen. */
  std::function<std::vector<ConfigurationChange>()> history;
  /** Generation active in this process. */
  std::function<std::uint64_t()> activeGeneration;
};

/** Writes a change by compare-and-swap and resolves a lost answer by reading
 * back. Every attempt expects the version of the base, so at most one takes
 * effect. Thread safe. */
boost::asio::awaitable<ApplyResult>
WriteConfiguration(KeyValueStore& aStore, ConfigurationWrite aWrite);

/** Suspends the coroutine. Thread safe. */
boost::asio::awaitable<void>
SleepFor(std::chrono::milliseconds aTime);

} // namespace sequoiakeel
