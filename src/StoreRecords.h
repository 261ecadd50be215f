#pragma once

#include "Clock.h"
#include "Log.h"
#include "TransactionalStore.h"
#include "generated/WorkflowJson.h"

#include <exception>
#include <optional>
#include <string>

namespace sequoiakeel {

/** Time-out of the store calls of an ownership session. The store usually
 * answers within a few milliseconds, and within 300 ms while it is slow. */
inline constexpr std::chrono::milliseconds kSessionStoreTimeout{ 1000 };

/** Delay before a failed call to the store is repeated. */
inline constexpr std::chrono::milliseconds kSessionStoreRetryDelay{ 100 };

/** Returns the part of a key that follows aPrefix. Precondition: the key starts
 * with aPrefix. Thread safe. */
inline std::string
IdOfKey(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.substr(aPrefix.size());
}

/** Decodes a record of the store. Returns nullopt and logs an error if it is
 * malformed. Thread safe. */
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
