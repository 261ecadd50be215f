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
  {
  }

  std::string Inbox() const { return this->base + "inbox/"; }
  std::string Owner() const { return this->Inbox() + "owner"; }
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
  std::string Roster() const { return this->base + "roster"; }

private:
  std::string base;
  std::string interference;
};

} // namespace sequoiakeel
