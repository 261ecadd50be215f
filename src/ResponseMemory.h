#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace sequoiakeel {

/** What the responses that a process receives hold, and how many it gave up. */
struct ResponseMemoryUsage
{
  std::size_t bytes = 0;
  std::uint64_t refused = 0;
};

/** Limits the memory that incomplete responses hold together. Thread safe. */
class ResponseMemory
{
public:
  /** aBytes: limit of the sum. */
  explicit ResponseMemory(std::size_t aBytes);
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  /** Takes aBytes; returns false and takes nothing if they exceed the limit. */
  bool TryAcquire(std::size_t aBytes);

  /** Precondition: aBytes were acquired and not released yet. */
  void Release(std::size_t aBytes);

  /** Counts a response that was given up because of a limit. */
  void CountRefused() { ++this->refused; }

  ResponseMemoryUsage Usage() const;

private:
  const std::size_t limit;
  std::atomic<std::size_t> used{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
};

/** Returns the limit of the responses of workers that a process on a host with
 * aMemoryMb of memory receives at the same time. Thread safe. */
std::shared_ptr<ResponseMemory>
ResponseMemoryForHost(std::size_t aMemoryMb);

/** Limits on the responses that a client receives. */
struct ResponseLimits
{
  std::size_t maxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  /** Part of each response that is received whatever other responses hold, so
   * that ordinary responses still arrive beside very large ones. */
  std::size_t reservedBytes = 0;
  /** Shared by all clients whose responses are limited together; null: the sum
   * is not limited. */
  std::shared_ptr<ResponseMemory> memory = nullptr;
};

/** Part of a ResponseMemory that one response holds; released with the object.
 * Not thread safe. */
class ResponseShare
{
public:
  explicit ResponseShare(ResponseLimits aLimits);
  ResponseShare(const ResponseShare&) = delete;
  ResponseShare& operator=(const ResponseShare&) = delete;
  ~ResponseShare();

  /** Extends the share to a response of aBytes; returns false if the sum of all
   * responses does not allow it. */
  bool Extend(std::size_t aBytes);

  std::size_t MaxBodyBytes() const { return this->limits.maxBodyBytes; }

private:
  ResponseLimits limits;
  std::size_t acquired = 0;
};

} // namespace sequoiakeel
