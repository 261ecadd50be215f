/**
 * Guards against a cell that stands still since its owner, which renews its
 * ownership and answers probes, never gets to its state.
 */
#include "support/SchedulerCluster.h"

#include <boost/asio/this_coro.hpp>
#include <doctest/doctest.h>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

/** What happens to the reads of the state of cells. */
enum class StateReads : std::uint8_t
{
  Fail,
  /** Each page takes several seconds. */
  Slow,
};

constexpr std::chrono::seconds kSlowPage{ 2 };

/** Passes calls on to a store; the reads of the state of cells fail or are
 * slow. Thread safe. */
class StoreWithStateReads : public TransactionalStore
{
public:
  StoreWithStateReads(TransactionalStore& aStore, StateReads aReads)
    : store(aStore)
    , reads(aReads)
  {
  }

  asio::awaitable<StoreRangeReply> Get(std::string aKey,
                                       TransferTimeout aTimeout) override
  {
    return this->store.Get(std::move(aKey), aTimeout);
  }
  asio::awaitable<StorePage> ReadPage(std::string aPrefix,
                                      std::string aAfter,
                                      ReadFreshness aFreshness,
                                      TransferTimeout aTimeout) override
  {
    const bool ofCell = aPrefix.starts_with("sequoiakeel/cell-");
    if (ofCell && this->reads == StateReads::Fail) {
      co_return StorePage();
    }
    if (ofCell) {
      co_await SleepFor(co_await asio::this_coro::executor, kSlowPage);
    }
    co_return co_await this->store.ReadPage(
      std::move(aPrefix), std::move(aAfter), aFreshness, aTimeout);
  }
  asio::awaitable<StoreWatchReply> Watch(std::string aPrefix,
                                         std::uint64_t aAfter,
                                         Duration aWait) override
  {
    return this->store.Watch(std::move(aPrefix), aAfter, aWait);
  }
  asio::awaitable<StoreTransactionReply> Commit(
    StoreTransaction aTransaction,
    TransferTimeout aTimeout) override
  {
    return this->store.Commit(std::move(aTransaction), aTimeout);
  }
  asio::awaitable<StoreLeaseReply> GrantLease(std::chrono::milliseconds aTtl,
                                              TransferTimeout aTimeout) override
  {
    return this->store.GrantLease(aTtl, aTimeout);
  }
  asio::awaitable<StoreLeaseReply> RenewLease(std::uint64_t aLease,
                                              TransferTimeout aTimeout) override
  {
    return this->store.RenewLease(aLease, aTimeout);
  }
  asio::awaitable<StoreLeaseReply> EndLease(std::uint64_t aLease,
                                            TransferTimeout aTimeout) override
  {
    return this->store.EndLease(aLease, aTimeout);
  }

private:
  TransactionalStore& store;
  StateReads reads;
};

} // namespace

TEST_CASE("an owner that never loads its state is replaced by one that does")
{
  TestCluster cluster;
  StoreWithStateReads partial(cluster.store, StateReads::Fail);
  cluster.AddNode("a", partial);
  REQUIRE(cluster.UntilOwned());
  Node& sound = cluster.AddNode("b");
  const SubmissionOutcome outcome = cluster.Await(sound.gateway.Submit(
    Job("j"), sound.clock.Now() + std::chrono::seconds(5)));
  REQUIRE(outcome == SubmissionOutcome::Accepted);
  CHECK(cluster.Until([&] { return cluster.workers.Running() == 2; }));
}

// Guards against owners that replace one another while each of them loads a
// large state page by page.
TEST_CASE("an owner that loads for long but gets further is not replaced")
{
  constexpr int kJobs = 5;
  TestCluster cluster;
  for (int i = 0; i < kJobs; ++i) {
    const WorkflowSubmission job = Job("j" + std::to_string(i));
    REQUIRE(
      cluster.Write(WorkflowKeys(0).Job(job.id), nlohmann::json(job).dump()));
  }
  cluster.store.SetPages(1);
  StoreWithStateReads slow(cluster.store, StateReads::Slow);
  cluster.AddNode("a", slow);
  REQUIRE(cluster.UntilOwned());
  const auto ownerRevision = [&] {
    const StoreRangeReply read = cluster.Await(
      cluster.store.Get(WorkflowKeys(0).Owner(), std::chrono::seconds(1)));
    return read.items.empty() ? 0 : read.items.front().revision;
  };
  const std::uint64_t first = ownerRevision();
  REQUIRE(first > 0);
  cluster.AddNode("b");
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() > 0; }));
  CHECK(ownerRevision() == first);
}
