#include "TransactionalStore.h"

#include "AsyncSignal.h"

#include <boost/asio/this_coro.hpp>
#include <iterator>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Attempts at a page after the first one before a read of a range fails. */
constexpr int kPageAttempts = 4;

/** Delay before a page is read again. */
constexpr std::chrono::milliseconds kPageRetryDelay{ 100 };

} // namespace

asio::awaitable<StoreResult>
TransactionalStore::ReadNextPage(RangeCursor& aCursor,
                                 std::string aPrefix,
                                 ReadFreshness aFreshness,
                                 TransferTimeout aTimeout)
{
  StorePage page = co_await this->ReadPage(
    std::move(aPrefix), aCursor.next, aFreshness, aTimeout);
  if (page.result != StoreResult::Ok) {
    co_return page.result;
  }
  aCursor.revision = aCursor.revision == 0 ? page.revision : aCursor.revision;
  aCursor.items.insert(aCursor.items.end(),
                       std::make_move_iterator(page.items.begin()),
                       std::make_move_iterator(page.items.end()));
  aCursor.next = std::move(page.next);
  aCursor.complete = aCursor.next.empty();
  co_return StoreResult::Ok;
}

asio::awaitable<StoreRangeReply>
TransactionalStore::Range(std::string aPrefix,
                          ReadFreshness aFreshness,
                          TransferTimeout aTimeout)
{
  RangeCursor cursor;
  StoreRangeReply reply;
  int failures = 0;
  bool first = true;
  while (!cursor.complete) {
    reply.result =
      co_await this->ReadNextPage(cursor, aPrefix, aFreshness, aTimeout);
    if (reply.result == StoreResult::Ok) {
      first = false;
      failures = 0;
      continue;
    }
    ++failures;
    if (first || failures == kPageAttempts) {
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kPageRetryDelay);
  }
  reply.items = std::move(cursor.items);
  reply.revision = cursor.revision;
  co_return reply;
}

} // namespace sequoiakeel
