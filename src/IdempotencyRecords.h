#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "KeyValueStore.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Maximum size in bytes of a response body that is stored for replay. */
inline constexpr std::size_t kMaxKeptResponseBytes = 256 * 1024;
/** Maximum length of an idempotency key in bytes. */
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/** Identifies a request; the same for all retries of it. */
struct IdempotencyKey
{
  std::string team;
  std::string service;
  std::string key;

  bool operator==(const IdempotencyKey&) const = default;
};

/** Returns the key of the record in the store. Thread safe. */
std::string
RecordKey(const IdempotencyKey& aKey);

/** Result of an attempt to claim an idempotency key. */
enum class ClaimState : std::uint8_t
{
  /** This request holds the claim and may be sent. */
  Claimed,
  /** Another request with the key is in progress. */
  InProgress,
  /** Another request with the key has an unknown outcome. */
  Unknown,
  /** A request with the key was answered; the response is replayed. */
  Replay,
  /** A request with the key was answered; its response was too large to keep.
   */
  NotKept,
  /** The key was used for another request. */
  Reused,
  /** The key could not be claimed because the store was unavailable. The
   * request holds no claim, or its claim is being withdrawn. */
  StoreUnavailable,
};

/** Result of one request's attempt to claim its idempotency key. The request
 * holds the claim only if `state` is Claimed. */
struct Claim
{
  ClaimState state = ClaimState::StoreUnavailable;
  /** Valid for Replay. */
  HttpResponse response;
  /** Valid only if the request submits a job: the id of the job that the key
   * identifies. */
  std::string jobId;
  std::string recordKey;
  IdempotencyKey key;
  std::string requestId;
  std::string fingerprint;
  std::uint64_t version = 0;
  std::uint64_t lease = 0;
};

/** A request that claims its idempotency key. */
struct ClaimRequest
{
  IdempotencyKey key;
  std::string requestId;
  /** Hash of the request's body, to detect that a key is reused for a different
   * request. */
  std::string fingerprint;
  /** Set only if the request submits a job: the job id to store with the key.
   */
  std::string jobId;
  TimePoint deadline;
};

/** Returns a fingerprint of a request's body. Thread safe. */
std::string
FingerprintOf(std::string_view aBody);

/**
 * Stores claims and outcomes of non-idempotent requests, so that of all
 * requests with the same key at most one is ever sent. Thread safe. Create with
 * std::make_shared.
 *
 * Records are attached to a store lease that is granted once an hour with a TTL
 * of 25 hours, so they are kept for at least 24 hours.
 */
class IdempotencyRecords
  : public std::enable_shared_from_this<IdempotencyRecords>
{
public:
  /** Returns whether the process with the given name and incarnation is alive,
   * as far as this process knows. */
  using IsAlive = std::function<bool(std::string_view, std::uint64_t)>;

  /** aName and aIncarnation identify this process in claims. The references
   * must outlive the object and its background writes (Pending). */
  IdempotencyRecords(boost::asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     const Clock& aClock,
                     std::string aName,
                     std::uint64_t aIncarnation,
                     IsAlive aIsAlive);

  /** Claims a key. Only a request whose claim is Claimed may be sent. */
  boost::asio::awaitable<Claim> Acquire(ClaimRequest aRequest);

  /** Records the response, in the background. Precondition: aClaim is Claimed.
   */
  void Complete(Claim aClaim, HttpResponse aResponse);

  /** Records that the outcome is unknown, in the background. Precondition:
   * aClaim is Claimed. */
  void CompleteUnknown(Claim aClaim);

  /** Deletes the claim of a request that was not sent or was explicitly
   * refused, so that a retry can be sent. Runs in the background. Precondition:
   * aClaim is Claimed. */
  void Withdraw(Claim aClaim);

  /** Returns the number of background writes in progress. */
  std::size_t Pending() const { return this->pending; }

private:
  struct Record;

  boost::asio::awaitable<std::uint64_t> HourlyLease();
  boost::asio::awaitable<Claim> Resolve(Claim aClaim);
  void DropLease(std::uint64_t aLease);
  Claim EvaluateRecord(Claim aClaim, const StoreValue& aValue) const;
  std::string ClaimText(const Claim& aClaim) const;
  boost::asio::awaitable<void> WriteUntilKnown(Claim aClaim, std::string aText);
  boost::asio::awaitable<void> WithdrawUntilKnown(Claim aClaim);
  void Spawn(boost::asio::awaitable<void> aWork);

  boost::asio::any_io_executor executor;
  KeyValueStore* store;
  const Clock* clock;
  std::string name;
  std::uint64_t incarnation;
  IsAlive isAlive;
  std::atomic<std::size_t> pending{ 0 };
  std::mutex mutex;
  std::uint64_t lease = 0;
  TimePoint leaseGranted;
};

} // namespace sequoiakeel
