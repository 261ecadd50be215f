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

/** Outcome of a configuration change. */
enum class ApplyOutcome : std::uint8_t
{
  /** The change took effect; ApplyResult::generation is its generation. */
  Applied,
  /** Another change with the same base was written first. */
  Conflict,
  /** The document failed validation. */
  Invalid,
  /** The store refused the change or was unreachable; the change has not taken
   * effect and will not. */
  NotApplied,
  /** The change may or may not have taken effect. */
  Unknown,
};

/** Result of ConfigurationAgent::Apply. */
struct ApplyResult
{
  ApplyOutcome outcome = ApplyOutcome::NotApplied;
  /** The new generation; for Conflict the generation in the store. */
  std::uint64_t generation = 0;
  /** For Conflict: author of the change that was written first. */
  std::string winner;
  /** For Conflict: JSON Pointers to the fields in which the winner's document
   * differs. */
  std::vector<std::string> differences;
  Findings findings;
  /** Reason code for NotApplied and Unknown. */
  std::string reason;
};

/** The configuration in the store. */
struct CurrentConfiguration
{
  /** Whether the store responded. The other fields keep their defaults if the
   * store contains no configuration document. */
  bool known = false;
  std::uint64_t version = kAbsentVersion;
  std::string document;
  DocumentHead head;
};

/** Reads the configuration from the store. Throws UserError if the stored
 * document is malformed. Thread safe. */
boost::asio::awaitable<CurrentConfiguration>
ReadCurrentConfiguration(KeyValueStore& aStore);

/** A configuration change to be written to the store. */
struct ConfigurationWrite
{
  /** The document, with generation base + 1 and a unique write id. */
  std::string text;
  std::uint64_t base = 0;
  /** Delay before the second attempt; doubles after each attempt. */
  std::chrono::milliseconds retryDelay{ 50 };
  /** Returns the recent changes that this process activated. */
  std::function<std::vector<ConfigurationChange>()> history;
  /** Returns the generation that is active in this process. */
  std::function<std::uint64_t()> activeGeneration;
};

/** Writes a change by compare-and-swap. If the reply to a write is lost, reads
 * the store again to determine the outcome. Every attempt expects the version
 * of the base document, so at most one takes effect. Thread safe. */
boost::asio::awaitable<ApplyResult>
WriteConfiguration(KeyValueStore& aStore, ConfigurationWrite aWrite);

/** Suspends the calling coroutine for aTime. Thread safe. */
boost::asio::awaitable<void>
SleepFor(std::chrono::milliseconds aTime);

} // namespace sequoiakeel
