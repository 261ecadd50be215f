#include "OwnerDirectory.h"

#include "WorkflowKeys.h"
#include "generated/WorkflowJson.h"
#include "support/FakePlatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A directory on an in-memory store, with the owners of cells 0 and 1 as last
 * reported to listeners. */
struct DirectoryFixture
{
  DirectoryFixture()
  {
    for (const std::uint32_t cell : { 0, 1 }) {
      this->directory.Subscribe(cell, [this, cell](const OwnerView& aView) {
        this->views[cell] = aView;
        ++this->changes;
      });
    }
    boost::asio::co_spawn(
      this->context,
      [this]() { return this->directory.Run(); },
      boost::asio::detached);
  }

  template<class Condition>
  bool Until(Condition aCondition)
  {
    const auto deadline = std::chrono::steady_clock::now() + seconds(20);
    while (std::chrono::steady_clock::now() < deadline) {
      if (aCondition()) {
        return true;
      }
      this->context.run_for(milliseconds(5));
    }
    return false;
  }

  void Own(std::uint32_t aCell, const std::string& aNode)
  {
    CellOwnerRecord record;
    record.node = aNode;
    StoreTransaction change;
    change.puts.push_back(
      { WorkflowKeys(aCell).OwnerCopy(), nlohmann::json(record).dump() });
    auto done = boost::asio::co_spawn(this->context,
                                      this->store.Commit(change, seconds(1)),
                                      boost::asio::use_future);
    REQUIRE(this->Until(
      [&] { return done.wait_for(seconds(0)) == std::future_status::ready; }));
    REQUIRE(done.get().result == StoreResult::Ok);
  }

  bool Shows(std::uint32_t aCell, const std::string& aNode)
  {
    return this->Until([&] {
      const auto view = this->views.find(aCell);
      return view != this->views.end() && view->second.owner &&
             view->second.owner->node == aNode;
    });
  }

  boost::asio::io_context context;
  FakeTransactionalStore store{ context.get_executor() };
  OwnerDirectory directory{ context.get_executor(), store };
  std::map<std::uint32_t, OwnerView> views;
  int changes = 0;
};

} // namespace

// Guards against a process that does not learn that a cell is vacant or has a
// new owner.
TEST_CASE("listeners are called once for each change of an owner")
{
  DirectoryFixture fixture;
  REQUIRE(fixture.Until([&] { return fixture.views.size() == 2; }));
  CHECK(!fixture.views[0].owner);
  CHECK(!fixture.views[1].owner);
  fixture.Own(1, "a");
  REQUIRE(fixture.Shows(1, "a"));
  fixture.store.Remove(WorkflowKeys(1).OwnerCopy());
  REQUIRE(fixture.Until([&] { return !fixture.views[1].owner; }));
  fixture.Own(1, "b");
  REQUIRE(fixture.Shows(1, "b"));
  CHECK(!fixture.views[0].owner);
  CHECK(fixture.changes == 5);
}

// Guards against missed changes of owners: the watch returns no events while
// owners change, and the history is compacted afterwards.
TEST_CASE("owners that changed while the watch missed events are read again")
{
  DirectoryFixture fixture;
  fixture.Own(0, "a");
  REQUIRE(fixture.Shows(0, "a"));
  fixture.store.SetWatchesBlocked(true);
  fixture.Own(0, "b");
  fixture.Own(1, "c");
  fixture.store.SetWatchesBlocked(false);
  CHECK(fixture.Shows(0, "b"));
  CHECK(fixture.Shows(1, "c"));
}

// Guards against a malformed record of another writer that ends the process or
// hides the other owners.
TEST_CASE("a malformed record does not hide other owners")
{
  DirectoryFixture fixture;
  StoreTransaction change;
  change.puts = { { OwnersPrefix() + "zero", "{}" },
                  { OwnersPrefix() + "0", "[not json" } };
  boost::asio::co_spawn(fixture.context,
                        fixture.store.Commit(change, seconds(1)),
                        boost::asio::use_future);
  fixture.Own(1, "a");
  CHECK(fixture.Shows(1, "a"));
}
