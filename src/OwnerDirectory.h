#pragma once

#include "TransactionalStore.h"
#include "generated/Workflow.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

namespace sequoiakeel {

/** What the store last showed of the owner of a cell. */
struct OwnerView
{
  /** Empty: the cell is vacant. */
  std::optional<CellOwnerRecord> owner;
  /** Revision of the owner's record, or one at which there was none. */
  std::uint64_t revision = 0;
};

/**
 * Follows the owners of all cells with one watch, so that the calls of a
 * process do not grow with the number of cells. Thread safe; listeners are
 * called on the directory's executor.
 */
class OwnerDirectory
{
public:
  using Listener = std::function<void(const OwnerView&)>;

  /** aStore outlives the directory. */
  OwnerDirectory(boost::asio::any_io_executor aExecutor,
                 TransactionalStore& aStore);

  /** Calls aListener with the present view of a cell, if it is known, and with
   * each change. Replaces the cell's earlier listener. */
  void Subscribe(std::uint32_t aCell, Listener aListener);

  /** Follows the store for as long as its executor runs. */
  boost::asio::awaitable<void> Run();

private:
  struct Cell
  {
    std::optional<OwnerView> view;
    Listener listener;
  };

  void TakeAll(const StoreRangeReply& aReply);
  void TakeEvent(const StoreItem& aItem);
  void Take(std::uint32_t aCell, OwnerView aView);

  boost::asio::any_io_executor executor;
  TransactionalStore& store;
  std::mutex mutex;
  std::map<std::uint32_t, Cell> cells;
  /** Revision up to which vacancy of unlisted cells is known; 0: nothing was
   * read yet. */
  std::uint64_t readRevision = 0;
};

/** Reads an owner's record; empty, with a log line, if it is unreadable. Thread
 * safe. */
std::optional<OwnerView>
DecodeOwner(const StoreItem& aItem);

} // namespace sequoiakeel
