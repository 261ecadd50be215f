#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Returns the key of the CellLayout record. Thread safe, as is everything
 * below. */
inline std::string
CellLayoutKey()
{
  return "sequoiakeel/layout";
}

/** Returns the prefix of the NodeRecord keys of all processes. */
inline std::string
NodesPrefix()
{
  return "sequoiakeel/nodes/";
}

/** Returns the prefix of the InterferenceEvidence keys of all cells. */
inline std::string
InterferencePrefix()
{
  return "sequoiakeel/interference/";
}

/** Returns the prefix of the LongRunningCapacity keys of all cells. */
inline std::string
RoomsPrefix()
{
  return "sequoiakeel/rooms/";
}

/** Returns the prefix of the copies of all CellOwnerRecords, which let one
 * watch follow all owners. */
inline std::string
OwnersPrefix()
{
  return "sequoiakeel/owners/";
}

/**
 * Keys of one cell. The owner's key and the submissions share a prefix, so that
 * one watch delivers both in the order of their revisions: an owner is notified
 * of its replacement before any job that was accepted later.
 */
class WorkflowKeys
{
public:
  explicit WorkflowKeys(std::uint32_t aCell)
    : cellPrefix("sequoiakeel/cell-" + std::to_string(aCell) + "/")
    , interference(InterferencePrefix() + std::to_string(aCell))
    , ownerNotice(OwnersPrefix() + std::to_string(aCell))
    , room(RoomsPrefix() + std::to_string(aCell))
  {
  }

  std::string InboxPrefix() const { return this->cellPrefix + "inbox/"; }
  /** Returns the key that stands for ownership: the process that creates it
   * owns the cell. */
  std::string Owner() const { return this->InboxPrefix() + "owner"; }
  /** Returns the key of the copy of the owner's record for other processes. It
   * is always written and removed together with Owner(), in one transaction or
   * under one lease. */
  const std::string& OwnerCopy() const { return this->ownerNotice; }
  std::string JobsPrefix() const { return this->InboxPrefix() + "job/"; }
  std::string Job(std::string_view aId) const
  {
    return this->JobsPrefix() + std::string(aId);
  }
  std::string CancellationsPrefix() const
  {
    return this->InboxPrefix() + "cancel/";
  }
  std::string Cancellation(std::string_view aId) const
  {
    return this->CancellationsPrefix() + std::string(aId);
  }
  std::string ProgressPrefix() const { return this->cellPrefix + "progress/"; }
  std::string Progress(std::string_view aId) const
  {
    return this->ProgressPrefix() + std::string(aId);
  }
  const std::string& Interference() const { return this->interference; }
  const std::string& Room() const { return this->room; }
  std::string Roster() const { return this->cellPrefix + "roster"; }

private:
  std::string cellPrefix;
  std::string interference;
  std::string ownerNotice;
  std::string room;
};

} // namespace sequoiakeel
