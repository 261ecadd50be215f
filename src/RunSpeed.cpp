#include "RunSpeed.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Shortest time between an order and its repetition, in which the worker
 * answers the order or the time-out of the command ends. */
constexpr std::chrono::milliseconds kRepeatAfter{ 600 };

/** Longest time after its decision at which an order can be carried out: it is
 * sent within 0.5 s, and a command without an answer can arrive up to 12 s
 * after it was sent. */
constexpr std::chrono::milliseconds kMaxOrderDelay{ 12500 };

} // namespace

RunSpeed
RunSpeed::Unknown()
{
  RunSpeed speed;
  speed.confirmed.reset();
  return speed;
}

bool
RunSpeed::NeedsOrder(int aPercent, TimePoint aNow) const
{
  if (!this->confirmed && this->lastOrder > 0 &&
      aNow - this->sentAt < kRepeatAfter) {
    return false;
  }
  if (this->confirmed != aPercent) {
    return true;
  }
  return std::any_of(this->unansweredUntil.begin(),
                     this->unansweredUntil.end(),
                     [&](const auto& aItem) {
                       const auto& [percent, until] = aItem;
                       return percent != aPercent && until <= aNow;
                     });
}

std::uint64_t
RunSpeed::BeginOrder(int aPercent, TimePoint aNow)
{
  if (this->open) {
    this->HandleOutcome(this->lastOrder, WorkerCommandResult::Unknown);
  }
  this->confirmed.reset();
  this->ordered = aPercent;
  this->sentAt = aNow;
  this->open = true;
  return ++this->lastOrder;
}

void
RunSpeed::HandleOutcome(std::uint64_t aOrder, WorkerCommandResult aResult)
{
  if (!this->open || aOrder != this->lastOrder) {
    return;
  }
  this->open = false;
  if (aResult == WorkerCommandResult::Unknown) {
    this->unansweredUntil[this->ordered] = this->sentAt + kMaxOrderDelay;
    return;
  }
  if (aResult != WorkerCommandResult::Done) {
    return;
  }
  this->confirmed = this->ordered;
  std::erase_if(this->unansweredUntil, [this](const auto& aItem) {
    return aItem.second <= this->sentAt;
  });
}

} // namespace sequoiakeel
