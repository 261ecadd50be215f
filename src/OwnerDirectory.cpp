#include "OwnerDirectory.h"

#include "AsyncSignal.h"
#include "StoreRecords.h"
#include "WorkflowKeys.h"

#include <charconv>
#include <set>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr TransferTimeout kStoreTimeout =
  TransferTimeout::Silence(std::chrono::milliseconds(1000));
constexpr std::chrono::milliseconds kStoreRetry{ 250 };

/** Longest wait of a single watch, after which the watch is renewed. A watch
 * that was waiting when the store failed gets no further events, so the wait
 * has to be limited; each watch that ends is billed as a store call. */
constexpr std::chrono::milliseconds kWatchWait{ 3000 };

std::optional<std::uint32_t>
CellOfKey(const std::string& aKey)
{
  const std::string prefix = OwnersPrefix();
  if (!aKey.starts_with(prefix)) {
    return std::nullopt;
  }
  std::uint32_t cell = 0;
  const char* const end = aKey.data() + aKey.size();
  const auto parsed = std::from_chars(aKey.data() + prefix.size(), end, cell);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return cell;
}

} // namespace

std::optional<OwnerView>
DecodeOwner(const StoreItem& aItem)
{
  auto record = DecodeRecord<CellOwnerRecord>(aItem);
  if (!record) {
    return std::nullopt;
  }
  return OwnerView{ std::move(record), aItem.revision };
}

OwnerDirectory::OwnerDirectory(asio::any_io_executor aExecutor,
                               TransactionalStore& aStore)
  : executor(std::move(aExecutor))
  , store(aStore)
{
}

void
OwnerDirectory::Subscribe(std::uint32_t aCell, Listener aListener)
{
  const std::lock_guard lock(this->mutex);
  Cell& cell = this->cells[aCell];
  cell.listener = std::move(aListener);
  if (!cell.view && this->readRevision > 0) {
    cell.view = OwnerView{ std::nullopt, this->readRevision };
  }
  if (cell.view) {
    cell.listener(*cell.view);
  }
}

void
OwnerDirectory::UpdateView(std::uint32_t aCell, OwnerView aView)
{
  Cell& cell = this->cells[aCell];
  const bool bothVacant = cell.view && !cell.view->owner && !aView.owner;
  const bool same =
    bothVacant || (cell.view && cell.view->owner && aView.owner &&
                   cell.view->revision == aView.revision);
  cell.view = std::move(aView);
  if (!same && cell.listener) {
    cell.listener(*cell.view);
  }
}

void
OwnerDirectory::HandleSnapshot(const StoreRangeReply& aReply)
{
  const std::lock_guard lock(this->mutex);
  this->readRevision = aReply.revision;
  std::set<std::uint32_t> owned;
  for (const StoreItem& item : aReply.items) {
    const auto cell = CellOfKey(item.key);
    auto view = cell ? DecodeOwner(item) : std::nullopt;
    if (!view) {
      continue;
    }
    owned.insert(*cell);
    this->UpdateView(*cell, std::move(*view));
  }
  for (const auto& [cell, state] : this->cells) {
    if (!owned.contains(cell)) {
      this->UpdateView(cell, OwnerView{ std::nullopt, aReply.revision });
    }
  }
}

void
OwnerDirectory::HandleEvent(const StoreItem& aItem)
{
  const auto cell = CellOfKey(aItem.key);
  if (!cell) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  if (aItem.deleted) {
    this->UpdateView(*cell, OwnerView{ std::nullopt, aItem.revision });
    return;
  }
  if (auto view = DecodeOwner(aItem)) {
    this->UpdateView(*cell, std::move(*view));
  }
}

asio::awaitable<void>
OwnerDirectory::Run()
{
  while (true) {
    const StoreRangeReply read = co_await this->store.Range(
      OwnersPrefix(), ReadFreshness::Linearizable, kStoreTimeout);
    if (read.result != StoreResult::Ok) {
      co_await SleepFor(this->executor, kStoreRetry);
      continue;
    }
    this->HandleSnapshot(read);
    std::uint64_t revision = read.revision;
    while (true) {
      const StoreWatchReply watched =
        co_await this->store.Watch(OwnersPrefix(), revision, kWatchWait);
      if (watched.result != StoreResult::Ok || watched.compacted) {
        co_await SleepFor(this->executor, kStoreRetry);
        break;
      }
      for (const StoreItem& event : watched.events) {
        this->HandleEvent(event);
      }
      // An empty reply does not prove that nothing changed; see
      // CellOwnershipSession::WatchInbox().
      revision = watched.events.empty() ? revision : watched.revision;
    }
  }
}

} // namespace sequoiakeel
