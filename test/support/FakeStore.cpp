#include "support/FakeStore.h"

namespace sequoiakeel {

namespace asio = boost::asio;

asio::awaitable<StoreReadReply>
FakeStore::Get(std::string aKey)
{
  const std::lock_guard lock(this->mutex);
  StoreReadReply reply;
  if (this->down) {
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  const auto found = this->values.find(aKey);
  if (found != this->values.end()) {
    reply.values.push_back(
      StoreValue{ aKey, found->second.value, found->second.version });
  }
  co_return reply;
}

asio::awaitable<StoreReadReply>
FakeStore::Range(std::string aPrefix)
{
  StoreReadReply reply;
  {
    const std::lock_guard lock(this->mutex);
    if (this->down) {
      co_return reply;
    }
  }
  reply.result = StoreResult::Ok;
  reply.values = this->Values(aPrefix);
  co_return reply;
}

/** Precondition: the caller holds the mutex. */
StoreWriteReply
FakeStore::Write(const std::function<bool()>& aApply)
{
  StoreWriteReply reply;
  if (this->down) {
    return reply;
  }
  if (this->delayWrites > 0) {
    --this->delayWrites;
    this->delayed.push_back(aApply);
    reply.result = StoreResult::Unknown;
    return reply;
  }
  const bool applied = aApply();
  if (this->loseAnswers > 0) {
    --this->loseAnswers;
    reply.result = StoreResult::Unknown;
    return reply;
  }
  reply.result = applied ? StoreResult::Ok : StoreResult::Conflict;
  reply.version = this->revision;
  return reply;
}

asio::awaitable<StoreWriteReply>
FakeStore::CompareAndSwap(std::string aKey,
                          std::uint64_t aExpected,
                          std::string aValue,
                          std::uint64_t aLease)
{
  const std::lock_guard lock(this->mutex);
  co_return this->Write([=, this] {
    const auto found = this->values.find(aKey);
    const std::uint64_t version =
      found == this->values.end() ? kAbsentVersion : found->second.version;
    const bool leased = aLease == kNoLease || this->leases.contains(aLease);
    if (version != aExpected || !leased) {
      return false;
    }
    this->values[aKey] = Value{ aValue, ++this->revision, aLease };
    return true;
  });
}

asio::awaitable<StoreWriteReply>
FakeStore::CompareAndDelete(std::string aKey, std::uint64_t aExpected)
{
  const std::lock_guard lock(this->mutex);
  co_return this->Write([=, this] {
    const auto found = this->values.find(aKey);
    if (found == this->values.end() || found->second.version != aExpected) {
      return false;
    }
    this->values.erase(found);
    ++this->revision;
    return true;
  });
}

asio::awaitable<StoreLeaseReply>
FakeStore::GrantLease(std::chrono::seconds aTtl)
{
  const std::lock_guard lock(this->mutex);
  StoreLeaseReply reply;
  if (this->down) {
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  reply.lease = this->nextLease++;
  reply.ttl = aTtl;
  this->leases.insert(reply.lease);
  this->ttls.push_back(aTtl.count());
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
FakeStore::RenewLease(std::uint64_t aLease)
{
  const std::lock_guard lock(this->mutex);
  StoreLeaseReply reply;
  reply.lease = aLease;
  if (!this->down) {
    reply.result =
      this->leases.contains(aLease) ? StoreResult::Ok : StoreResult::Conflict;
  }
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
FakeStore::RevokeLease(std::uint64_t aLease)
{
  const std::lock_guard lock(this->mutex);
  StoreLeaseReply reply;
  if (!this->down) {
    this->leases.erase(aLease);
    std::erase_if(this->values, [&](const auto& aItem) {
      return aItem.second.lease == aLease;
    });
    reply.result = StoreResult::Ok;
  }
  co_return reply;
}

void
FakeStore::SetDown(bool aDown)
{
  const std::lock_guard lock(this->mutex);
  this->down = aDown;
}

void
FakeStore::LoseAnswers(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->loseAnswers = aCount;
}

void
FakeStore::DelayWrites(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->delayWrites = aCount;
}

void
FakeStore::ApplyDelayed()
{
  const std::lock_guard lock(this->mutex);
  for (const std::function<bool()>& write : this->delayed) {
    write();
  }
  this->delayed.clear();
}

void
FakeStore::ExpireLeases()
{
  const std::lock_guard lock(this->mutex);
  this->leases.clear();
  std::erase_if(this->values, [](const auto& aItem) {
    return aItem.second.lease != kNoLease;
  });
}

std::vector<StoreValue>
FakeStore::Values(const std::string& aPrefix)
{
  const std::lock_guard lock(this->mutex);
  std::vector<StoreValue> found;
  for (const auto& [key, value] : this->values) {
    if (key.starts_with(aPrefix)) {
      found.push_back(StoreValue{ key, value.value, value.version });
    }
  }
  return found;
}

std::vector<std::int64_t>
FakeStore::GrantedTtls()
{
  const std::lock_guard lock(this->mutex);
  return this->ttls;
}

} // namespace sequoiakeel
