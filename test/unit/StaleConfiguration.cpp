/**
 * Guards against a process that counts as ready although it no longer learns of
 * new configurations.
 */
#include "OperatorDocumentWatcher.h"
#include "support/FakePlatform.h"
#include "support/ManualClock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the time since the last answer grows while no read is answered")
{
  boost::asio::io_context context(1);
  FakeTransactionalStore store(context.get_executor());
  ManualClock clock;
  ActiveQueues queues;
  platform::OperatorDocumentWatcher watcher(
    context.get_executor(), store, queues, clock, [](const QueueTable&) {});
  boost::asio::co_spawn(
    context, [&]() { return watcher.Run(); }, boost::asio::detached);
  const auto runUntil = [&](const auto& aCondition) {
    const TimePoint end = std::chrono::steady_clock::now() + seconds(20);
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      context.run_for(milliseconds(5));
    }
    return aCondition();
  };
  store.SetDown(true);
  clock.Advance(seconds(30));
  context.run_for(milliseconds(1000));
  CHECK(watcher.TimeSinceAnswer() >= seconds(30));
  store.SetDown(false);
  CHECK(runUntil([&] { return watcher.TimeSinceAnswer() < seconds(1); }));
}
