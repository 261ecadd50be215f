#include "CasWrite.h"

#include "Error.h"

#include <algorithm>
#include <functional>

namespace sequoiakeel {

namespace {

constexpr std::chrono::milliseconds kFirstBackoff{ 100 };
constexpr std::chrono::milliseconds kLongestBackoff{ 2000 };

/** Returns a delay between zero and half the back-off, added to the back-off so
 * that many cells do not retry at the same time after an outage. */
Duration
Jitter(const std::string& aKey, std::uint64_t aId, Duration aBackoff)
{
  const std::size_t hash = std::hash<std::string>()(aKey + std::to_string(aId));
  return aBackoff / 2 * static_cast<Duration::rep>(hash % 1000) / 1000;
}

} // namespace

bool
CasWrite::Busy() const
{
  return this->state == State::Writing || this->state == State::ReadingBack ||
         this->state == State::Waiting;
}

void
CasWrite::Reset()
{
  this->state = State::Idle;
  this->pendingId = 0;
}

void
CasWrite::Start(Outbox& aOutbox,
                std::string aKey,
                std::string aValue,
                std::uint64_t aExpectedVersion,
                std::uint64_t aLease)
{
  InternalAssert(!this->Busy(), "a write is in progress");
  this->command = StoreCommand{};
  this->command.verb = StoreVerb::Put;
  this->command.key = std::move(aKey);
  this->command.value = std::move(aValue);
  this->command.expectedVersion = aExpectedVersion;
  this->command.lease = aLease;
  this->backoff = kFirstBackoff;
  this->readFirst = false;
  this->Send(aOutbox);
}

void
CasWrite::Send(Outbox& aOutbox)
{
  this->state = State::Writing;
  this->pendingId = aOutbox.Send(this->command);
}

void
CasWrite::ReadBack(Outbox& aOutbox)
{
  this->state = State::ReadingBack;
  StoreCommand get;
  get.verb = StoreVerb::Get;
  get.key = this->command.key;
  this->pendingId = aOutbox.Send(std::move(get));
}

void
CasWrite::Wait(TimePoint aNow, bool aReadFirst)
{
  this->state = State::Waiting;
  this->readFirst = aReadFirst;
  this->retryAt = aNow + this->backoff +
                  Jitter(this->command.key, this->pendingId, this->backoff);
  this->backoff = std::min<Duration>(this->backoff * 2, kLongestBackoff);
}

bool
CasWrite::OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow)
{
  if (!this->Busy() || aResult.id != this->pendingId) {
    return false;
  }
  this->pendingId = 0;
  if (this->state == State::ReadingBack) {
    if (aResult.result == StoreResult::Ok) {
      this->Resolve(aOutbox, aResult);
    } else {
      this->Wait(aNow, true);
    }
    return true;
  }
  switch (aResult.result) {
    case StoreResult::Ok:
      this->state = State::Applied;
      this->version = aResult.version;
      break;
    case StoreResult::Conflict:
      // The conflicting version may stem from an earlier send of this write, so
      // the key is read back.
      this->ReadBack(aOutbox);
      break;
    case StoreResult::Unknown:
      this->Wait(aNow, true);
      break;
    case StoreResult::Unavailable:
      this->Wait(aNow, false);
      break;
  }
  return true;
}

void
CasWrite::Resolve(Outbox& aOutbox, const StoreReply& aResult)
{
  const StoreValue found =
    aResult.rows.empty() ? StoreValue{} : aResult.rows.front();
  if (found.version != 0 && found.value == this->command.value) {
    this->state = State::Applied;
    this->version = found.version;
    return;
  }
  if (found.version == this->command.expectedVersion) {
    this->Send(aOutbox);
    return;
  }
  this->state = State::Superseded;
  this->other = found;
}

void
CasWrite::Tick(Outbox& aOutbox, TimePoint aNow)
{
  if (this->state != State::Waiting || aNow < this->retryAt) {
    return;
  }
  if (this->readFirst) {
    this->ReadBack(aOutbox);
    return;
  }
  this->Send(aOutbox);
}

} // namespace sequoiakeel
