#pragma once

#include <cstdint>
#include <string>

namespace sequoiakeel {

/** Number of slots of a cell's log, which is a ring buffer. */
constexpr std::uint64_t kLogSlots = 64;

/** Key of a cell's owner record. Thread safe, as are the functions below. */
inline std::string
OwnerKey(const std::string& aCell)
{
  return "cells/" + aCell + "/owner";
}

/** Prefix of the keys of a cell's log slots. */
inline std::string
LogPrefix(const std::string& aCell)
{
  return "cells/" + aCell + "/log/";
}

/** Key of the slot that holds the log record with a sequence number. */
inline std::string
LogKey(const std::string& aCell, std::uint64_t aSequence)
{
  const std::uint64_t slot = aSequence % kLogSlots;
  return LogPrefix(aCell) + (slot < 10 ? "0" : "") + std::to_string(slot);
}

/** Key of the snapshot's header; also the prefix of the keys of its parts. */
inline std::string
SnapshotKey(const std::string& aCell)
{
  return "cells/" + aCell + "/snapshot";
}

/** Key whose value is the name of the cell that a worker belongs to. */
inline std::string
WorkerKey(const std::string& aWorker)
{
  return "workers/" + aWorker;
}

/** Prefix of the names of all worker leases of a cell. */
inline std::string
WorkerLeasePrefix(const std::string& aCell)
{
  return aCell + "/";
}

/** Name of a worker lease. Each grant has a name of its own, so that a grant
 * whose reply was lost cannot revive a lease that has expired. */
inline std::string
WorkerLeaseName(const std::string& aCell,
                std::uint64_t aEpoch,
                std::uint32_t aGrant)
{
  return WorkerLeasePrefix(aCell) + std::to_string(aEpoch) + "/" +
         std::to_string(aGrant);
}

} // namespace sequoiakeel
