#pragma once

#include "Clock.h"
#include "WorkerReport.h"

#include <cstdint>
#include <map>
#include <optional>

namespace sequoiakeel {

/**
 * Speed of one run on its worker, as far as the answers to speed orders tell.
 * Workers do not report the speed, and an order without an answer may be
 * carried out seconds later, after newer orders. The speed is therefore known
 * only if the last order was answered and no earlier order can have been
 * carried out after it. At most one order awaits its outcome at a time, since
 * two orders in flight can be carried out in either sequence. Not thread safe.
 */
class RunSpeed
{
public:
  /** Creates the speed of a run that this owner starts: full speed. */
  RunSpeed() = default;

  /** Returns the speed of a run that an earlier owner may have slowed. A worker
   * rejects orders of an earlier owner once it has received a command of this
   * one, so the first order that is answered determines the speed. */
  static RunSpeed Unknown();

  /** Returns the speed that was last ordered, in percent of full speed; full
   * speed before the first order. */
  int Percent() const { return this->ordered; }

  /** Returns whether an order has to be sent so that the run's speed is
   * aPercent and known. */
  bool NeedsOrder(int aPercent, TimePoint aNow) const;

  /** Records that an order is sent and returns its number. Precondition:
   * NeedsOrder(aPercent, aNow). */
  std::uint64_t BeginOrder(int aPercent, TimePoint aNow);

  /** Handles the outcome of an order; ignores one that came too late. */
  void HandleOutcome(std::uint64_t aOrder, WorkerCommandResult aResult);

private:
  /** Speed that the last order set; unset unless it was answered. */
  std::optional<int> confirmed = 100;
  int ordered = 100;
  /** Number of the last order, from 1; 0: none was sent. */
  std::uint64_t lastOrder = 0;
  TimePoint sentAt;
  /** The outcome of the last order is not known. */
  bool open = false;
  /** Speeds of the orders without an answer, with the time until which each
   * can still be carried out. */
  std::map<int, TimePoint> unansweredUntil;
};

} // namespace sequoiakeel
