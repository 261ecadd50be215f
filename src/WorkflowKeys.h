#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Key of the CellLayout record. Thread safe, as is everything below. */
inline std::string
CellLayoutKey()
{
  return "sequoiakeel/layout";
}

/** Prefix of the NodeRecord of every process. */
inline std::string
NodesPrefix()
{
  return "sequoiakeel/nodes/";
}

/** Prefix of the InterferenceEvidence of every cell. */
inline std::string
InterferencePrefix()
{
  return "sequoiakeel/interference/";
}

/** Prefix of the CellRoom of every cell. */
inline std::string
RoomsPrefix()
{
  return "sequoiakeel/rooms/";
}

/** Prefix under which the CellOwnerRecord of every cell stands once more, so
 * that one watch follows all owners. */
inline std::string
OwnersPrefix()
{
  return "sequoiakeel/owners/";
}

/**
 * Keys of one cell. The owner's key and the submissions share a prefix, so that
 * one watch delivers both in the order of their revisions: an owner learns that
 * it was replaced before it can learn of any job accepted later.
 */
class WorkflowKeys
{
public:
  explicit WorkflowKeys(std::uint32_t aCell)
    : base("sequoiakeel/cell-" + std::to_string(aCell) + "/")
    , interference(InterferencePrefix() + std::to_string(aCell))
    , ownerNotice(OwnersPrefix() + std::to_string(aCell))
    , room(RoomsPrefix() + std::to_string(aCell))
  {
  }

  std::string Inbox() const { return this->base + "inbox/"; }
  /** Ownership itself: whoever creates this key owns the cell. */
  std::string Owner() const { return this->Inbox() + "owner"; }
  /** Copy of the owner's record for other processes; always written and removed
   * in one transaction, or under one lease, with Owner(). */
  const std::string& OwnerNotice() const { return this->ownerNotice; }
  std::string Jobs() const { return this->Inbox() + "job/"; }
  std::string Job(std::string_view aId) const
  {
    return this->Jobs() + std::string(aId);
  }
  std::string Cancellations() const { return this->Inbox() + "cancel/"; }
  std::string Cancellation(std::string_view aId) const
  {
    return this->Cancellations() + std::string(aId);
  }
  std::string ProgressOfAll() const { return this->base + "progress/"; }
  std::string Progress(std::string_view aId) const
  {
    return this->ProgressOfAll() + std::string(aId);
  }
  const std::string& Interference() const { return this->interference; }
  const std::string& Room() const { return this->room; }
  std::string Roster() const { return this->base + "roster"; }

private:
  std::string base;
  std::string interference;
  std::string ownerNotice;
  std::string room;
};

} // namespace sequoiakeel
