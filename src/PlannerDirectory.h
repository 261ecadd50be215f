#pragma once

#include "Clock.h"
#include "KeyValueStore.h"
#include "MembershipView.h"
#include "PeerRpc.h"
#include "generated/Messages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A cell as its planner reports it. */
struct CellReport
{
  CellStatus status;
  std::string planner;
  Endpoint endpoint;
};

/**
 * Knows which planner owns which cell, from the planners' own reports, which
 * are kept for a second, and from the owner records in the store. A wrong
 * answer costs a retry only: a planner that is not the owner says so. Thread
 * safe.
 */
class PlannerDirectory
{
public:
  /** The references must outlive the directory. */
  PlannerDirectory(boost::asio::any_io_executor aExecutor,
                   const MembershipView& aMembership,
                   PeerClient& aClient,
                   KeyValueStore& aStore,
                   const Clock& aClock);

  /** Returns the reports of all planners, at most a second old; of two reports
   * on a cell the one with the higher epoch. */
  boost::asio::awaitable<std::vector<CellReport>> Cells();

  /** Returns where the owner of a cell is; empty if nobody knows. With
   * aFresh the store is asked first, since the reports led to another planner.
   */
  boost::asio::awaitable<std::optional<Endpoint>> OwnerOf(std::string aCell,
                                                          bool aFresh);

private:
  struct Gathering;

  boost::asio::awaitable<std::vector<CellReport>> Gather();
  boost::asio::awaitable<void> Ask(std::shared_ptr<Gathering> aGathering,
                                   MemberRow aPlanner);
  boost::asio::awaitable<std::optional<Endpoint>> OwnerInStore(
    std::string aCell);

  boost::asio::any_io_executor executor;
  const MembershipView* membership;
  PeerClient* client;
  KeyValueStore* store;
  const Clock* clock;
  std::mutex mutex;
  std::vector<CellReport> reports;
  TimePoint gathered;
  bool known = false;
};

} // namespace sequoiakeel
