#include "ResponseMemory.h"

#include <utility>

namespace sequoiakeel {

namespace {

/** Part of a host's memory that responses of workers may hold. */
constexpr std::size_t kResponseMemoryPart = 16;

} // namespace

ResponseMemory::ResponseMemory(std::size_t aBytes)
  : limit(aBytes)
{
}

bool
ResponseMemory::TryAcquire(std::size_t aBytes)
{
  std::size_t before = this->used;
  do {
    if (aBytes > this->limit - before) {
      return false;
    }
  } while (!this->used.compare_exchange_weak(before, before + aBytes));
  return true;
}

void
ResponseMemory::Release(std::size_t aBytes)
{
  this->used -= aBytes;
}

ResponseMemoryUsage
ResponseMemory::Usage() const
{
  return ResponseMemoryUsage{ this->used, this->refused };
}

std::shared_ptr<ResponseMemory>
ResponseMemoryForHost(std::size_t aMemoryMb)
{
  constexpr std::size_t kMegabyte = 1024 * 1024;
  return std::make_shared<ResponseMemory>(aMemoryMb * kMegabyte /
                                          kResponseMemoryPart);
}

ResponseShare::ResponseShare(ResponseLimits aLimits)
  : limits(std::move(aLimits))
{
}

ResponseShare::~ResponseShare()
{
  if (this->limits.memory) {
    this->limits.memory->Release(this->acquired);
  }
}

bool
ResponseShare::Extend(std::size_t aBytes)
{
  const std::size_t reserved = this->limits.reservedBytes + this->acquired;
  if (!this->limits.memory || aBytes <= reserved) {
    return true;
  }
  if (!this->limits.memory->TryAcquire(aBytes - reserved)) {
    return false;
  }
  this->acquired += aBytes - reserved;
  return true;
}

} // namespace sequoiakeel
