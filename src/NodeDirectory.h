#pragma once

#include "Clock.h"
#include "Random.h"
#include "TransactionalStore.h"
#include "generated/Workflow.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Knows the other processes of the system, from records that each of them
 * writes at its start. Thread safe. */
class NodeDirectory
{
public:
  /** aStore outlives the directory. */
  NodeDirectory(boost::asio::any_io_executor aExecutor,
                TransactionalStore& aStore,
                NodeRecord aOwn);

  /** Writes the own record and reads those of others for good. */
  boost::asio::awaitable<void> Run();

  /** Returns one of the other processes, a different one each time if there are
   * several; nothing if none is known. */
  std::optional<NodeRecord> AnyOther();

  /** Reads the records of the other processes now. Returns false if the store
   * did not answer; the earlier records then stay. */
  boost::asio::awaitable<bool> Refresh(ReadFreshness aFreshness);

  /** Returns the records of all known processes, this one included. */
  std::vector<NodeRecord> All() const;

  const NodeRecord& Own() const { return this->own; }

private:
  boost::asio::awaitable<void> Register();

  boost::asio::any_io_executor executor;
  TransactionalStore& store;
  NodeRecord own;
  mutable std::mutex mutex;
  std::vector<NodeRecord> others;
  std::size_t next = 0;
};

} // namespace sequoiakeel
