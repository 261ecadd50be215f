#pragma once

#include "Clock.h"
#include "Log.h"
#include "TransactionalStore.h"
#include "WorkflowJob.h"
#include "generated/WorkflowJson.h"

#include <exception>
#include <optional>
#include <string>

namespace sequoiakeel {

/** Time-out of the store calls of an ownership session. The store usually
 * answers within a few milliseconds, and within 300 ms while it is slow. What a
 * call carries grows with the work of the cell. */
inline constexpr TransferTimeout kSessionStoreTimeout =
  TransferTimeout::Silence(std::chrono::milliseconds(1000));

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

/** Decodes the submission of a job. Returns nullopt and logs an error if it is
 * malformed or violates the constraints of submissions, on which the scheduler
 * relies. Thread safe. */
inline std::optional<WorkflowSubmission>
DecodeSubmission(const StoreItem& aItem)
{
  auto submission = DecodeRecord<WorkflowSubmission>(aItem);
  const std::string fault = submission ? CheckSubmission(*submission) : "";
  if (fault.empty()) {
    return submission;
  }
  Event("submission_invalid", LogLevel::Error)
    .Add("key", aItem.key)
    .Add("revision", aItem.revision)
    .Add("error", fault);
  return std::nullopt;
}

} // namespace sequoiakeel
