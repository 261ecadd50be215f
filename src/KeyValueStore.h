#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sequoiakeel {

/** Outcome of a call to the store. */
enum class StoreResult : std::uint8_t
{
  /** The call took effect. */
  Ok,
  /** The key's version was not the expected one, or the lease is unknown. The
   * call had no effect. */
  Conflict,
  /** The call was not sent, or the store rejected it. The call had no
   * effect. */
  Unavailable,
  /** The call was sent but no conclusive answer arrived. The call may have
   * taken effect or may still do so. */
  Unknown,
};

/** A key with its value and version. */
struct StoreValue
{
  std::string key;
  std::string value;
  /** Store-wide revision of the key's last write. Increases with each write of
   * any key; never 0 for a key that exists. */
  std::uint64_t version = 0;
};

/** Reply to a read. */
struct StoreReadReply
{
  StoreResult result = StoreResult::Unavailable;
  /** Sorted by key. */
  std::vector<StoreValue> values;
};

/** Reply to a write. */
struct StoreWriteReply
{
  StoreResult result = StoreResult::Unavailable;
  /** Version of the key after the write, if the result is Ok. */
  std::uint64_t version = 0;
};

/** Reply to a lease operation. */
struct StoreLeaseReply
{
  StoreResult result = StoreResult::Unavailable;
  std::uint64_t lease = 0;
  std::chrono::milliseconds ttl{ 0 };
};

/** Version that denotes an absent key. */
inline constexpr std::uint64_t kAbsentVersion = 0;
/** Lease id that denotes no lease. */
inline constexpr std::uint64_t kNoLease = 0;
/** Maximum size of a stored value, in bytes. */
inline constexpr std::size_t kMaxStoreValueBytes = 1024 * 1024;

/**
 * Client interface of the platform's key-value service. Implementations are
 * thread safe. The interface deliberately has no watches: an open watch counts
 * as a call, and polling by a few members is cheaper.
 */
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;

  /** Reads one key. The reply has no values if the key is absent. */
  virtual boost::asio::awaitable<StoreReadReply> Get(std::string aKey) = 0;

  /** Reads the version of one key; the value in the reply may be empty. The
   * default implementation reads the whole key. Stores that can omit the value
   * override it to make frequent polling of a large value cheap. */
  virtual boost::asio::awaitable<StoreReadReply> GetVersion(std::string aKey)
  {
    return this->Get(std::move(aKey));
  }

  /** Reads all keys that start with aPrefix. */
  virtual boost::asio::awaitable<StoreReadReply> Range(std::string aPrefix) = 0;

  /** Writes a key if its version is aExpected (kAbsentVersion: if the key is
   * absent). Attaches the key to aLease unless aLease is kNoLease. */
  virtual boost::asio::awaitable<StoreWriteReply> CompareAndSwap(
    std::string aKey,
    std::uint64_t aExpected,
    std::string aValue,
    std::uint64_t aLease = kNoLease) = 0;

  /** Deletes a key if its version is aExpected. */
  virtual boost::asio::awaitable<StoreWriteReply> CompareAndDelete(
    std::string aKey,
    std::uint64_t aExpected) = 0;

  /** Grants a lease. Keys attached to the lease are deleted when it expires. */
  virtual boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::seconds aTtl) = 0;

  /** Renews a lease. The result is Conflict if the lease has expired. */
  virtual boost::asio::awaitable<StoreLeaseReply> RenewLease(
    std::uint64_t aLease) = 0;

  /** Revokes a lease and deletes the keys attached to it. */
  virtual boost::asio::awaitable<StoreLeaseReply> RevokeLease(
    std::uint64_t aLease) = 0;
};

} // namespace sequoiakeel
