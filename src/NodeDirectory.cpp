#include "NodeDirectory.h"

#include "AsyncSignal.h"
#include "Log.h"
#include "WorkflowKeys.h"
#include "generated/WorkflowJson.h"

#include <exception>
#include <functional>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr TransferTimeout kStoreTimeout =
  TransferTimeout::Silence(std::chrono::milliseconds(1000));
constexpr std::chrono::milliseconds kStoreRetry{ 500 };

/** Interval at which the records of the processes are read. Hosts are rarely
 * added or removed, and a stale read is billed as a tenth of a store call. */
constexpr std::chrono::seconds kReadInterval{ 10 };

} // namespace

NodeDirectory::NodeDirectory(asio::any_io_executor aExecutor,
                             TransactionalStore& aStore,
                             NodeRecord aOwn)
  : executor(std::move(aExecutor))
  , store(aStore)
  , own(std::move(aOwn))
  , next(std::hash<std::string>()(own.node))
{
}

asio::awaitable<void>
NodeDirectory::Register()
{
  while (true) {
    StoreTransaction change;
    change.puts.push_back(
      { NodesPrefix() + this->own.node, nlohmann::json(this->own).dump() });
    const StoreTransactionReply reply =
      co_await this->store.Commit(change, kStoreTimeout);
    if (reply.result == StoreResult::Ok) {
      co_return;
    }
    co_await SleepFor(this->executor, kStoreRetry);
  }
}

asio::awaitable<void>
NodeDirectory::Run()
{
  co_await this->Register();
  while (true) {
    co_await this->Refresh(ReadFreshness::Stale);
    co_await SleepFor(this->executor, kReadInterval);
  }
}

asio::awaitable<bool>
NodeDirectory::Refresh(ReadFreshness aFreshness)
{
  const StoreRangeReply reply =
    co_await this->store.Range(NodesPrefix(), aFreshness, kStoreTimeout);
  if (reply.result != StoreResult::Ok) {
    co_return false;
  }
  std::vector<NodeRecord> read;
  for (const StoreItem& item : reply.items) {
    try {
      auto node = nlohmann::json::parse(item.value).get<NodeRecord>();
      if (node.node != this->own.node) {
        read.push_back(std::move(node));
      }
    } catch (const std::exception& error) {
      Event("record_unreadable", LogLevel::Error)
        .Add("key", item.key)
        .Add("error", error.what());
    }
  }
  const std::lock_guard lock(this->mutex);
  this->others = std::move(read);
  co_return true;
}

std::vector<NodeRecord>
NodeDirectory::All() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<NodeRecord> result = this->others;
  result.push_back(this->own);
  return result;
}

std::optional<NodeRecord>
NodeDirectory::NextOther()
{
  const std::lock_guard lock(this->mutex);
  if (this->others.empty()) {
    return std::nullopt;
  }
  return this->others[this->next++ % this->others.size()];
}

} // namespace sequoiakeel
