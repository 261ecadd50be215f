#include "RequestMemory.h"

#include <utility>
#include <vector>

namespace sequoiakeel {

namespace {

/** Part of a host's memory that requests may hold. */
constexpr std::size_t kRequestMemoryPart = 4;

/** Part of the descriptors that clients may use. */
constexpr std::size_t kClientDescriptorPart = 2;

} // namespace

RequestMemoryLimits
LimitsForHost(std::size_t aMemoryMb, std::size_t aDescriptors)
{
  constexpr std::size_t kMegabyte = 1024 * 1024;
  RequestMemoryLimits limits;
  limits.bytes = aMemoryMb * kMegabyte / kRequestMemoryPart;
  limits.connections = aDescriptors / kClientDescriptorPart;
  return limits;
}

RequestMemory::RequestMemory(RequestMemoryLimits aLimits, const Clock& aClock)
  : limits(aLimits)
  , clock(aClock)
{
}

std::optional<double>
RequestMemory::RateByMemory(const Entry& aEntry, TimePoint aNow) const
{
  if (aEntry.phase != Phase::Receiving) {
    return std::nullopt;
  }
  return static_cast<double>(aEntry.bytes) *
         std::chrono::duration<double>(aNow - aEntry.since).count();
}

std::optional<double>
RequestMemory::RateBySilence(const Entry& aEntry, TimePoint aNow) const
{
  if (aEntry.phase != Phase::Receiving && aEntry.phase != Phase::Idle) {
    return std::nullopt;
  }
  return std::chrono::duration<double>(aNow - aEntry.lastReceivedAt).count();
}

void
RequestMemory::SetBytes(Entry& aEntry, std::size_t aBytes)
{
  this->usage.bytes += aBytes - aEntry.bytes;
  aEntry.bytes = aBytes;
}

RequestMemory::Evict
RequestMemory::TakeVictim(Rating aRating, TimePoint aNow)
{
  Entry* victim = nullptr;
  double highest = 0;
  for (auto& [key, entry] : this->entries) {
    const std::optional<double> rating = (this->*aRating)(entry, aNow);
    if (!rating || (victim != nullptr && *rating <= highest)) {
      continue;
    }
    victim = &entry;
    highest = *rating;
  }
  if (victim == nullptr) {
    return nullptr;
  }
  // Its memory is free as soon as its connection has handled the eviction.
  this->SetBytes(*victim, 0);
  victim->phase = Phase::Evicted;
  --this->usage.connections;
  return std::exchange(victim->evict, nullptr);
}

std::optional<RequestMemory::Key>
RequestMemory::Connect(Evict aEvict)
{
  Evict evict;
  Key key = 0;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    if (this->usage.connections >= this->limits.connections) {
      evict = this->TakeVictim(&RequestMemory::RateBySilence, now);
      if (!evict) {
        return std::nullopt;
      }
      ++this->usage.evictedForConnections;
    }
    key = ++this->lastKey;
    Entry& entry = this->entries[key];
    entry.evict = std::move(aEvict);
    entry.lastReceivedAt = now;
    ++this->usage.connections;
  }
  if (evict) {
    evict(EvictionCause::Connections);
  }
  return key;
}

void
RequestMemory::Disconnect(Key aKey)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(aKey);
  if (found == this->entries.end()) {
    return;
  }
  this->SetBytes(found->second, 0);
  this->usage.connections -= found->second.phase == Phase::Evicted ? 0 : 1;
  this->entries.erase(found);
}

void
RequestMemory::BeginRequest(Key aKey)
{
  const std::lock_guard lock(this->mutex);
  Entry& entry = this->entries.at(aKey);
  if (entry.phase != Phase::Idle) {
    return;
  }
  entry.phase = Phase::Receiving;
  entry.since = this->clock.Now();
  entry.lastReceivedAt = entry.since;
}

std::vector<RequestMemory::Evict>
RequestMemory::Relieve()
{
  const TimePoint now = this->clock.Now();
  std::vector<Evict> victims;
  while (this->usage.bytes > this->limits.bytes) {
    Evict victim = this->TakeVictim(&RequestMemory::RateByMemory, now);
    if (!victim) {
      break;
    }
    ++this->usage.evictedForMemory;
    victims.push_back(std::move(victim));
  }
  return victims;
}

Admission
RequestMemory::Received(Key aKey, std::size_t aBytes)
{
  std::vector<Evict> victims;
  bool kept = false;
  {
    const std::lock_guard lock(this->mutex);
    Entry& entry = this->entries.at(aKey);
    if (entry.phase == Phase::Evicted) {
      return Admission::Evicted;
    }
    entry.lastReceivedAt = this->clock.Now();
    this->SetBytes(entry, aBytes);
    victims = this->Relieve();
    kept = entry.phase != Phase::Evicted;
  }
  for (const Evict& victim : victims) {
    victim(EvictionCause::Memory);
  }
  if (!kept) {
    return Admission::Evicted;
  }
  return victims.empty() ? Admission::Granted : Admission::GrantedByEviction;
}

bool
RequestMemory::BeginService(Key aKey, std::size_t aBytes)
{
  std::vector<Evict> victims;
  bool served = false;
  {
    const std::lock_guard lock(this->mutex);
    Entry& entry = this->entries.at(aKey);
    if (entry.phase == Phase::Evicted) {
      return false;
    }
    entry.phase = Phase::Serving;
    this->SetBytes(entry, aBytes);
    victims = this->Relieve();
    served = this->usage.bytes <= this->limits.bytes;
    if (!served) {
      this->SetBytes(entry, 0);
      entry.phase = Phase::Evicted;
      --this->usage.connections;
      ++this->usage.evictedForMemory;
    }
  }
  for (const Evict& victim : victims) {
    victim(EvictionCause::Memory);
  }
  return served;
}

void
RequestMemory::EndRequest(Key aKey)
{
  const std::lock_guard lock(this->mutex);
  Entry& entry = this->entries.at(aKey);
  if (entry.phase == Phase::Evicted) {
    return;
  }
  this->SetBytes(entry, 0);
  entry.phase = Phase::Idle;
  entry.lastReceivedAt = this->clock.Now();
}

RequestMemoryUsage
RequestMemory::Usage() const
{
  const std::lock_guard lock(this->mutex);
  return this->usage;
}

} // namespace sequoiakeel
