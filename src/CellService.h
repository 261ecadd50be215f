#pragma once

#include "CellTenure.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace sequoiakeel {

/** Who this process is towards the other candidates for a cell. */
struct CandidateIdentity
{
  std::string node;
  /** Differs in each start of the process. */
  std::string boot;
  Endpoint peer;
  /** Time to live of the ownership lease. Takeover after a death takes about
   * this long. */
  std::chrono::milliseconds leaseTtl{ 2000 };
};

/**
 * Follows the owner of one cell and stands in for it: whenever the cell has no
 * owner, the candidates race to create the owner's key, and the winner works
 * the cell until it loses the key. Runs on TenureParts::strand.
 */
class CellService
{
public:
  CellService(TenureParts aParts,
              std::uint32_t aCell,
              CandidateIdentity aIdentity);

  /** Runs until Stop(). */
  boost::asio::awaitable<void> Run();

  /** Gives the ownership up, if any, and takes part no more. Runs on the
   * strand. */
  boost::asio::awaitable<void> Stop(Duration aTimeout);

  /** Answers a query from the cell's state; isOwner is false if this process
   * does not own the cell. Runs on the strand. */
  WorkflowReply Answer(const WorkflowQuery& aQuery) const;

  /** Returns the owner that was last seen, or nothing if there is none. Runs on
   * the strand. */
  const std::optional<CellOwnerRecord>& Owner() const { return this->owner; }

  /** Returns the tenure in progress, or null. Runs on the strand. */
  const CellTenure* Tenure() const { return this->tenure.get(); }

  boost::asio::any_io_executor Strand() const { return this->parts.strand; }

private:
  boost::asio::awaitable<std::uint64_t> AwaitVacancy();
  void NoteOwner(const StoreItem& aItem);
  boost::asio::awaitable<std::optional<OwnershipClaim>> Claim();

  TenureParts parts;
  std::uint32_t cell;
  WorkflowKeys keys;
  CandidateIdentity identity;
  std::optional<CellOwnerRecord> owner;
  std::shared_ptr<CellTenure> tenure;
  bool stopped = false;
};

} // namespace sequoiakeel
