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

/** Owner of a cell, as last read from the store. */
struct OwnerView
{
  /** nullopt if the cell is vacant. */
  std::optional<CellOwnerRecord> owner;
  /** Revision of the owner's record, or a revision at which there was none. */
  std::uint64_t revision = 0;
};

/**
 * Watches the owners of all cells with a single watch, so that the number of
 * store calls of a process does not grow with the number of cells. Thread safe;
 * listeners are called on the directory's executor, and within Subscribe().
 */
class OwnerDirectory
{
public:
  using Listener = std::function<void(const OwnerView&)>;

  /** aStore must outlive the directory. */
  OwnerDirectory(boost::asio::any_io_executor aExecutor,
                 TransactionalStore& aStore);

  /** Calls aListener with the current owner of a cell, if it is known, and
   * after each change. Replaces the cell's earlier listener. Listeners are
   * called while the directory is locked and must not call it. */
  void Subscribe(std::uint32_t aCell, Listener aListener);

  /** Watches the store. Does not return. */
  boost::asio::awaitable<void> Run();

private:
  struct Cell
  {
    std::optional<OwnerView> view;
    Listener listener;
  };

  void HandleSnapshot(const StoreRangeReply& aReply);
  void HandleEvent(const StoreItem& aItem);
  void UpdateView(std::uint32_t aCell, OwnerView aView);

  boost::asio::any_io_executor executor;
  TransactionalStore& store;
  std::mutex mutex;
  std::map<std::uint32_t, Cell> cells;
  /** Revision of the last read of all owners; a cell without a record was
   * vacant at this revision. 0: nothing was read yet. */
  std::uint64_t readRevision = 0;
};

/** Decodes an owner's record. Returns nullopt and logs an error if it is
 * malformed. Thread safe. */
std::optional<OwnerView>
DecodeOwner(const StoreItem& aItem);

} // namespace sequoiakeel
