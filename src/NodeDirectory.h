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

/** Directory of the processes of the system. Each process writes its record to
 * the store at its start. Thread safe. */
class NodeDirectory
{
public:
  /** aStore must outlive the directory. */
  NodeDirectory(boost::asio::any_io_executor aExecutor,
                TransactionalStore& aStore,
                NodeRecord aOwn);

  /** Writes this process's record, then reads the records of the other
   * processes periodically. Does not return. */
  boost::asio::awaitable<void> Run();

  /** Returns the next of the other processes in round-robin order, or nullopt
   * if none is known. */
  std::optional<NodeRecord> NextOther();

  /** Reads the records of the other processes. Returns false and keeps the
   * earlier records if the store did not answer. */
  boost::asio::awaitable<bool> Refresh(ReadFreshness aFreshness);

  /** Returns the records of all known processes, including this one. */
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
