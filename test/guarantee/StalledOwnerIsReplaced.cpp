/**
 * Guards against a cell that stands still since its owner, which renews its
 * ownership and answers probes, never gets to its state.
 */
#include "support/SchedulerCluster.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

/** Passes calls on to a store, but for the reads of the state of cells, which
 * fail. Thread safe. */
class StoreWithoutState : public TransactionalStore
{
public:
  explicit StoreWithoutState(TransactionalStore& aStore)
    : store(aStore)
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
    if (aPrefix.starts_with("sequoiakeel/cell-")) {
      co_return StorePage();
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
};

} // namespace

TEST_CASE("an owner that never loads its state is replaced by one that does")
{
  TestCluster cluster;
  StoreWithoutState partial(cluster.store);
  cluster.AddNode("a", partial);
  REQUIRE(cluster.UntilOwned());
  Node& sound = cluster.AddNode("b");
  const SubmissionOutcome outcome = cluster.Await(sound.gateway.Submit(
    Job("j"), sound.clock.Now() + std::chrono::seconds(5)));
  REQUIRE(outcome == SubmissionOutcome::Accepted);
  CHECK(cluster.Until([&] { return cluster.workers.Running() == 2; }));
}
