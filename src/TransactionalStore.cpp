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
TransactionalStore::ContinueRange(RangeCursor& aCursor,
                                  std::string aPrefix,
                                  ReadFreshness aFreshness,
                                  TransferTimeout aTimeout)
{
  while (!aCursor.complete) {
    StorePage page =
      co_await this->ReadPage(aPrefix, aCursor.next, aFreshness, aTimeout);
    if (page.result != StoreResult::Ok) {
      co_return page.result;
    }
    aCursor.revision = aCursor.revision == 0 ? page.revision : aCursor.revision;
    aCursor.items.insert(aCursor.items.end(),
                         std::make_move_iterator(page.items.begin()),
                         std::make_move_iterator(page.items.end()));
    aCursor.next = std::move(page.next);
    aCursor.complete = aCursor.next.empty();
    ++aCursor.pages;
  }
  co_return StoreResult::Ok;
}

asio::awaitable<StoreRangeReply>
TransactionalStore::Range(std::string aPrefix,
                          ReadFreshness aFreshness,
                          TransferTimeout aTimeout)
{
  RangeCursor cursor;
  StoreRangeReply reply;
  std::size_t pages = 0;
  int attempts = 0;
  while (true) {
    reply.result =
      co_await this->ContinueRange(cursor, aPrefix, aFreshness, aTimeout);
    attempts = cursor.pages > pages ? 1 : attempts + 1;
    pages = cursor.pages;
    const bool failed = pages == 0 || attempts >= kPageAttempts;
    if (cursor.complete || failed) {
      break;
    }
    co_await SleepFor(co_await asio::this_coro::executor, kPageRetryDelay);
  }
  reply.items = std::move(cursor.items);
  reply.revision = cursor.revision;
  co_return reply;
}

} // namespace sequoiakeel
