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

/** Status of a cell as reported by the planner that owns it. */
struct CellReport
{
  CellStatus status;
  std::string planner;
  Endpoint endpoint;
};

/**
 * Finds the planner that owns a cell, from the planners' own reports, which are
 * cached for a second, and from the owner records in the store. A wrong answer
 * only costs a retry: a planner that is not the owner refuses the call with
 * that reason. Thread safe.
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

  /** Returns the reports of all planners that answered, at most a second old.
   * Of two reports on one cell, returns the one with the higher epoch. */
  boost::asio::awaitable<std::vector<CellReport>> Cells();

  /** Returns the endpoint of the owner of a cell; empty if neither the reports
   * nor the store name one. With aFresh the store is read first; for a retry
   * after the reports led to a planner that is not the owner. */
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
