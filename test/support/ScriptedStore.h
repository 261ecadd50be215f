#pragma once

#include "KeyValueStore.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sequoiakeel {

/** Fault injected into a write. */
struct WriteFault
{
  /** Whether the write takes effect if the version matches. */
  bool applies = true;
  StoreResult result = StoreResult::Unknown;
};

/** In-memory store with fault injection. Not thread safe. */
class ScriptedStore : public KeyValueStore
{
public:
  /** While true, all reads and writes fail without taking effect. */
  bool down = false;
  /** Faults of the next writes, one for each. */
  std::deque<WriteFault> writeFaults;
  /** If set, called once after the next write, before its result is
   * returned. */
  std::function<void()> afterWrite;
  /** If set, returned once by the next Get; simulates an earlier read whose
   * reply is delayed. */
  std::optional<StoreReadReply> lateRead;
  std::size_t reads = 0;

  /** Reads a key without fault injection. */
  StoreReadReply Peek(const std::string& aKey) const
  {
    StoreReadReply reply;
    reply.result = StoreResult::Ok;
    const auto found = this->values.find(aKey);
    if (found != this->values.end()) {
      reply.values.push_back(found->second);
    }
    return reply;
  }

  /** Writes a key without fault injection if its version is aExpected. */
  StoreWriteReply Put(const std::string& aKey,
                      std::uint64_t aExpected,
                      const std::string& aValue)
  {
    StoreWriteReply reply;
    const auto found = this->values.find(aKey);
    const std::uint64_t current =
      found == this->values.end() ? kAbsentVersion : found->second.version;
    reply.result = StoreResult::Conflict;
    if (current == aExpected) {
      reply.result = StoreResult::Ok;
      reply.version = ++this->revision;
      this->values[aKey] = StoreValue{ aKey, aValue, reply.version };
    }
    return reply;
  }

  boost::asio::awaitable<StoreReadReply> Get(std::string aKey) override
  {
    ++this->reads;
    if (this->down) {
      co_return StoreReadReply{};
    }
    if (this->lateRead) {
      co_return *std::exchange(this->lateRead, std::nullopt);
    }
    co_return this->Peek(aKey);
  }

  boost::asio::awaitable<StoreReadReply> Range(std::string) override
  {
    co_return StoreReadReply{};
  }

  boost::asio::awaitable<StoreWriteReply> CompareAndSwap(
    std::string aKey,
    std::uint64_t aExpected,
    std::string aValue,
    std::uint64_t = kNoLease) override
  {
    StoreWriteReply reply;
    if (this->down) {
      co_return reply;
    }
    WriteFault fault;
    const bool faulty = !this->writeFaults.empty();
    if (faulty) {
      fault = this->writeFaults.front();
      this->writeFaults.pop_front();
    }
    if (fault.applies) {
      reply = this->Put(aKey, aExpected, aValue);
    }
    if (faulty) {
      reply.result = fault.result;
    }
    const auto hook = std::exchange(this->afterWrite, nullptr);
    if (hook) {
      hook();
    }
    co_return reply;
  }

  boost::asio::awaitable<StoreWriteReply> CompareAndDelete(
    std::string,
    std::uint64_t) override
  {
    co_return StoreWriteReply{};
  }
  boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::seconds) override
  {
    co_return StoreLeaseReply{};
  }
  boost::asio::awaitable<StoreLeaseReply> RenewLease(std::uint64_t) override
  {
    co_return StoreLeaseReply{};
  }
  boost::asio::awaitable<StoreLeaseReply> RevokeLease(std::uint64_t) override
  {
    co_return StoreLeaseReply{};
  }

private:
  std::uint64_t revision = 0;
  std::map<std::string, StoreValue> values;
};

} // namespace sequoiakeel
