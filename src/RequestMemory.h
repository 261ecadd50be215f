#pragma once

#include "Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

/** Limits on what the connections of a process may hold together. */
struct RequestMemoryLimits
{
  /** Memory for requests that are being received or served, in bytes. */
  std::size_t bytes = std::size_t{ 40 } * 1024 * 1024;
  std::size_t connections = 4096;
};

/** Returns the limits of a process on a host with aMemoryMb of memory that may
 * use aDescriptors file descriptors. The rest of the memory is for decoding and
 * everything else, that of the descriptors for the store, the workers and the
 * peers. Thread safe. */
RequestMemoryLimits
LimitsForHost(std::size_t aMemoryMb, std::size_t aDescriptors);

/** What the connections of a process hold, and how many were evicted. */
struct RequestMemoryUsage
{
  std::size_t bytes = 0;
  std::size_t connections = 0;
  std::uint64_t evictedForMemory = 0;
  std::uint64_t evictedForConnections = 0;
};

/** Why a connection is closed to relieve the others. */
enum class EvictionCause : std::uint8_t
{
  Memory,
  Connections,
};

/** Whether a connection may occupy more memory. */
enum class Admission : std::uint8_t
{
  Granted,
  /** Other connections were evicted for it. They release their memory when
   * their strands run. */
  GrantedByEviction,
  Evicted,
};

/**
 * Accounts for the connections of all listeners of a process and for the memory
 * that their requests hold. If a limit is exceeded, connections are evicted
 * whose loss costs ordinary clients least:
 * - while memory is short, the one that has occupied most memory for the
 * longest time among those whose request is incomplete. A request of an
 * ordinary client is complete within milliseconds of its first byte;
 * - while connections are short, the one that has been silent for longest
 *   among those without a complete request.
 * Connections whose request is being served are not evicted, since their client
 * could not tell whether it has run. All methods are thread safe.
 */
class RequestMemory
{
public:
  using Key = std::uint64_t;

  /** Closes a connection; called at most once and without a lock. */
  using Evict = std::function<void(EvictionCause)>;

  /** aClock must outlive the object. */
  RequestMemory(RequestMemoryLimits aLimits, const Clock& aClock);
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /** Adds a connection, and evicts another one if there are too many. Returns
   * nothing if all others are being served. */
  std::optional<Key> Connect(Evict aEvict);

  void Disconnect(Key aKey);

  /** Records that the first bytes of a request were received. */
  void BeginRequest(Key aKey);

  /** Records that bytes were received and that the incomplete request occupies
   * aBytes now, and evicts connections if memory is short. */
  Admission Received(Key aKey, std::size_t aBytes);

  /** Records that the request is complete and occupies aBytes until
   * EndRequest(), and evicts connections if memory is short. Returns false if
   * the connection was evicted before, or if there is not enough memory; it is
   * evicted then. */
  bool BeginService(Key aKey, std::size_t aBytes);

  /** Records that the request no longer occupies memory. */
  void EndRequest(Key aKey);

  RequestMemoryUsage Usage() const;

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Receiving,
    Serving,
    Evicted,
  };

  struct Entry
  {
    Evict evict;
    Phase phase = Phase::Idle;
    std::size_t bytes = 0;
    /** When the request began. */
    TimePoint since;
    /** When the connection was opened or last received bytes. */
    TimePoint lastReceivedAt;
  };

  /** Rates a connection for eviction; the highest is evicted. Empty: it must
   * not be evicted. */
  using Rating = std::optional<double> (RequestMemory::*)(const Entry&,
                                                          TimePoint) const;

  std::optional<double> RateByMemory(const Entry& aEntry, TimePoint aNow) const;
  std::optional<double> RateBySilence(const Entry& aEntry,
                                      TimePoint aNow) const;
  /** Marks the connection with the highest rating as evicted and returns how to
   * close it, or nothing if there is none. */
  Evict TakeVictim(Rating aRating, TimePoint aNow);
  void SetBytes(Entry& aEntry, std::size_t aBytes);
  /** Evicts connections until the memory suffices or no request is incomplete,
   * and returns how to close them. */
  std::vector<Evict> Relieve();

  RequestMemoryLimits limits;
  const Clock& clock;
  mutable std::mutex mutex;
  std::unordered_map<Key, Entry> entries;
  RequestMemoryUsage usage;
  Key lastKey = 0;
};

} // namespace sequoiakeel
