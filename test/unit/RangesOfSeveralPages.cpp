/**
 * Guards against a read of several pages that begins again with the first page
 * when a later one fails, so that it needs all pages in one run without a
 * fault.
 */
#include "support/FakePlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kTimeout{ 1 };
constexpr int kItems = 40;
constexpr std::size_t kPageItems = 2;

template<class Result>
Result
Run(asio::io_context& aContext, asio::awaitable<Result> aCall)
{
  auto done = asio::co_spawn(aContext, std::move(aCall), asio::use_future);
  aContext.restart();
  aContext.run();
  return done.get();
}

/** A store with kItems items under one prefix. */
struct Fixture
{
  Fixture()
  {
    for (int i = 0; i < kItems; ++i) {
      StoreTransaction change;
      change.puts.push_back({ "a/" + std::to_string(100 + i), "x" });
      Run(this->context, this->store.Commit(change, kTimeout));
    }
  }

  asio::io_context context{ 1 };
  FakeTransactionalStore store{ context.get_executor() };
};

} // namespace

TEST_CASE("a range is read although every third page fails")
{
  Fixture fixture;
  fixture.store.SetPages(kPageItems, 3);
  const StoreRangeReply reply =
    Run(fixture.context,
        fixture.store.Range("a/", ReadFreshness::Linearizable, kTimeout));
  CHECK(reply.result == StoreResult::Ok);
  CHECK(reply.items.size() == kItems);
}

TEST_CASE("a range is given up at once if its first page fails")
{
  Fixture fixture;
  fixture.store.SetPages(kPageItems, 1);
  const StoreRangeReply reply =
    Run(fixture.context,
        fixture.store.Range("a/", ReadFreshness::Linearizable, kTimeout));
  CHECK(reply.result == StoreResult::Unavailable);
  CHECK(fixture.store.PagesRead() == 1);
}

TEST_CASE("a read that failed continues after the pages that it has")
{
  Fixture fixture;
  fixture.store.SetPages(kPageItems, 2);
  RangeCursor cursor;
  std::size_t pages = 0;
  int failures = 0;
  while (!cursor.complete) {
    const StoreResult result =
      Run(fixture.context,
          fixture.store.ReadNextPage(
            cursor, "a/", ReadFreshness::Linearizable, kTimeout));
    pages += result == StoreResult::Ok ? 1 : 0;
    failures += result == StoreResult::Ok ? 0 : 1;
    REQUIRE(failures <= kItems);
    REQUIRE(cursor.items.size() == pages * kPageItems);
  }
  CHECK(cursor.items.size() == kItems);
}
