#pragma once

#include "KeyValueStore.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** In-memory store that injects faults on request. Thread safe. */
class FakeStore : public KeyValueStore
{
public:
  boost::asio::awaitable<StoreReadReply> Get(std::string aKey) override;
  boost::asio::awaitable<StoreReadReply> Range(std::string aPrefix) override;
  boost::asio::awaitable<StoreWriteReply> CompareAndSwap(
    std::string aKey,
    std::uint64_t aExpected,
    std::string aValue,
    std::uint64_t aLease) override;
  boost::asio::awaitable<StoreWriteReply> CompareAndDelete(
    std::string aKey,
    std::uint64_t aExpected) override;
  boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::seconds aTtl) override;
  boost::asio::awaitable<StoreLeaseReply> RenewLease(
    std::uint64_t aLease) override;
  boost::asio::awaitable<StoreLeaseReply> RevokeLease(
    std::uint64_t aLease) override;

  /** While the store is down, all calls fail and have no effect. */
  void SetDown(bool aDown);

  /** The next aCount writes take effect, but their replies are lost. */
  void LoseAnswers(int aCount);

  /** The next aCount writes take effect only at ApplyDelayed(); their replies
   * are lost. */
  void DelayWrites(int aCount);

  /** Applies the delayed writes whose expected versions still match and whose
   * leases still exist. */
  void ApplyDelayed();

  /** Expires all leases and deletes the keys attached to them. */
  void ExpireLeases();

  /** Returns the values whose keys start with aPrefix. */
  std::vector<StoreValue> Values(const std::string& aPrefix);

  /** Returns the TTLs of the leases granted so far, in seconds. */
  std::vector<std::int64_t> GrantedTtls();

private:
  struct Value
  {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };

  StoreWriteReply Write(const std::function<bool()>& aApply);

  std::mutex mutex;
  std::map<std::string, Value> values;
  std::set<std::uint64_t> leases;
  std::vector<std::int64_t> ttls;
  std::vector<std::function<bool()>> delayed;
  std::uint64_t revision = 0;
  std::uint64_t nextLease = 100;
  bool down = false;
  int loseAnswers = 0;
  int delayWrites = 0;
};

} // namespace sequoiakeel
