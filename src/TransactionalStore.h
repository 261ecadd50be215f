#pragma once

#include "Clock.h"
#include "KeyValueStore.h"
#include "TransferDeadline.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A key with its value at one revision of the store. */
struct StoreItem
{
  std::string key;
  std::string value;
  /** Revision of the last write of the key. */
  std::uint64_t revision = 0;
  /** Revision in which the key was created. */
  std::uint64_t created = 0;
  /** Lease that the key is attached to, or kNoLease. */
  std::uint64_t lease = 0;
  /** The key was deleted in this revision. Set only in watch events. */
  bool deleted = false;
};

/** Condition of a transaction: the key was last written in this revision.
 * kAbsentVersion: the key does not exist. */
struct StoreExpectation
{
  std::string key;
  std::uint64_t revision = 0;
};

/** Write of one key in a transaction. */
struct StorePut
{
  std::string key;
  std::string value;
  std::uint64_t lease = kNoLease;
};

/** Largest total number of conditions, writes and removals in one
 * transaction. */
inline constexpr std::size_t kMaxTransactionEntries = 32;

/** Values in one transaction, unless a single one is larger. The response to a
 * conflict holds the items of the conditions, and has to stay below the limit
 * of a response. */
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{ 1024 } * 1024;

/** Atomic change of several keys. */
struct StoreTransaction
{
  std::vector<StoreExpectation> expect;
  std::vector<StorePut> puts;
  std::vector<std::string> removes;

  std::size_t Size() const
  {
    return this->expect.size() + this->puts.size() + this->removes.size();
  }

  /** Returns whether a condition on a key and a write of aBytes to it still fit
   * into the transaction. The first write always does. */
  bool HasRoomFor(std::size_t aBytes) const
  {
    constexpr std::size_t kEntries = 2;
    std::size_t bytes = aBytes;
    for (const StorePut& put : this->puts) {
      bytes += put.value.size();
    }
    return this->puts.empty() ||
           (this->Size() + kEntries <= kMaxTransactionEntries &&
            bytes <= kMaxTransactionBytes);
  }
};

struct StoreTransactionReply
{
  /** Conflict: a condition did not hold, or a lease is unknown. */
  StoreResult result = StoreResult::Unavailable;
  /** Revision of the change, if the result is Ok. */
  std::uint64_t revision = 0;
  /** Current items of the keys in the conditions, if the result is Conflict.
   * Keys that do not exist are omitted. */
  std::vector<StoreItem> current;
};

struct StoreRangeReply
{
  StoreResult result = StoreResult::Unavailable;
  std::vector<StoreItem> items;
  /** Revision of the store when the first page was read. */
  std::uint64_t revision = 0;
};

/** A page of the keys with a prefix. */
struct StorePage
{
  StoreResult result = StoreResult::Unavailable;
  std::vector<StoreItem> items;
  /** Revision of the store when the page was read. */
  std::uint64_t revision = 0;
  /** Key after which the next page begins; empty if this is the last page. */
  std::string next;
};

/** What was read so far of a range, from which a read that failed continues. */
struct RangeCursor
{
  std::vector<StoreItem> items;
  /** Revision of the store when the first page was read; 0: none was read. */
  std::uint64_t revision = 0;
  std::string next;
  bool complete = false;
};

struct StoreWatchReply
{
  StoreResult result = StoreResult::Unavailable;
  /** The history after the requested revision was compacted or is too large for
   * one response; the range has to be read again, page by page. */
  bool compacted = false;
  std::vector<StoreItem> events;
  /** Revision after which the next watch has to start. */
  std::uint64_t revision = 0;
};

/** Whether a read may return data that is seconds old. */
enum class ReadFreshness : std::uint8_t
{
  Linearizable,
  Stale,
};

/** Interface of a key-value store with multi-key transactions, leases and
 * watches. Thread safe. Every call ends within its time-out, or within the wait
 * of a watch and a margin; see TransferTimeout for calls that carry much. */
class TransactionalStore
{
public:
  virtual ~TransactionalStore() = default;

  /** Reads one key. The reply has no item if the key does not exist. */
  virtual boost::asio::awaitable<StoreRangeReply> Get(
    std::string aKey,
    TransferTimeout aTimeout) = 0;

  /** Reads the keys with a prefix that follow aAfter, as many as fit into one
   * response. */
  virtual boost::asio::awaitable<StorePage> ReadPage(
    std::string aPrefix,
    std::string aAfter,
    ReadFreshness aFreshness,
    TransferTimeout aTimeout) = 0;

  /** Reads all keys with a prefix, page by page. The pages together are not a
   * consistent snapshot. A page that fails is read again, unless it is the
   * first one or has failed several times. aTimeout applies to each page. */
  boost::asio::awaitable<StoreRangeReply> Range(std::string aPrefix,
                                                ReadFreshness aFreshness,
                                                TransferTimeout aTimeout);

  /** Reads the next page of a range into the cursor, which keeps the earlier
   * pages. If the page fails, the cursor is unchanged. Precondition: aCursor
   * outlives the call and is not complete. */
  boost::asio::awaitable<StoreResult> ReadNextPage(RangeCursor& aCursor,
                                                   std::string aPrefix,
                                                   ReadFreshness aFreshness,
                                                   TransferTimeout aTimeout);

  /** Waits up to aWait for changes after a revision. */
  virtual boost::asio::awaitable<StoreWatchReply> Watch(std::string aPrefix,
                                                        std::uint64_t aAfter,
                                                        Duration aWait) = 0;

  /** Applies a transaction. If the result is Unknown, the transaction may have
   * been applied, or may still be applied while its conditions hold. */
  virtual boost::asio::awaitable<StoreTransactionReply> Commit(
    StoreTransaction aTransaction,
    TransferTimeout aTimeout) = 0;

  virtual boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::milliseconds aTtl,
    TransferTimeout aTimeout) = 0;

  /** Renews a lease. Returns Conflict if the lease has expired or was ended. */
  virtual boost::asio::awaitable<StoreLeaseReply> RenewLease(
    std::uint64_t aLease,
    TransferTimeout aTimeout) = 0;

  /** Ends a lease and deletes the keys attached to it. */
  virtual boost::asio::awaitable<StoreLeaseReply> EndLease(
    std::uint64_t aLease,
    TransferTimeout aTimeout) = 0;
};

} // namespace sequoiakeel
