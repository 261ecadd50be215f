#pragma once

#include "Clock.h"
#include "Log.h"
#include "TransactionalStore.h"
#include "generated/WorkflowJson.h"

#include <exception>
#include <optional>
#include <string>

namespace sequoiakeel {

/** The store answers in a few milliseconds; during its slow spells in up to
 * 300. */
inline constexpr std::chrono::milliseconds kTenureStoreTimeout{ 1000 };

/** Pause before a call that the store refused is repeated. */
inline constexpr std::chrono::milliseconds kTenureStoreRetry{ 100 };

/** Returns what follows a prefix in a key. Precondition: the key has it. Thread
 * safe. */
inline std::string
IdOfKey(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.substr(aPrefix.size());
}

/** Reads a record of the store; empty, with a log line, if it is unreadable.
 * Thread safe. */
template<class Record>
std::optional<Record>
DecodeRecord(const StoreItem& aItem)
{
  try {
    return nlohmann::json::parse(aItem.value).get<Record>();
  } catch (const std::exception& error) {
    Event("record_unreadable", LogLevel::Error)
      .Add("key", aItem.key)
      .Add("revision", aItem.revision)
      .Add("error", error.what());
    return std::nullopt;
  }
}

} // namespace sequoiakeel
