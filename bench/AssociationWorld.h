#pragma once

#include "Clock.h"
#include "Random.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel::bench {

constexpr std::uint32_t kWorkers = 50;
constexpr std::uint32_t kWorkersPerRack = 8;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kConnections = 64;
constexpr std::uint32_t kEntries = 9;
constexpr std::uint32_t kZones = 3;
constexpr std::array<std::string_view, kZones> kZoneNames = { "zone-a",
                                                              "zone-b",
                                                              "zone-c" };
constexpr Duration kZoneDelay = std::chrono::microseconds(500);
constexpr Duration kLocalDelay = std::chrono::microseconds(100);
constexpr Duration kClientDelay = std::chrono::milliseconds(3);

/** Event loop on a manual clock; runs actions in the order of their times. */
class EventLoop
{
public:
  using Action = std::function<void()>;

  TimePoint Now() const { return this->now; }

  /** Schedules aAction after aDelay. Actions with equal times run in the order
   * in which they were added. */
  void After(Duration aDelay, Action aAction)
  {
    this->events.push(
      { this->now + aDelay, this->sequence++, std::move(aAction) });
  }

  /** Runs all actions due up to and including aEnd. */
  void Run(TimePoint aEnd)
  {
    while (!this->events.empty() && this->events.top().time <= aEnd) {
      // std::priority_queue::top() returns a constant reference. Moving from
      // it is safe because the event is popped immediately.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->now = event.time;
      event.action();
    }
    this->now = aEnd;
  }

private:
  struct Event
  {
    TimePoint time;
    std::uint64_t sequence;
    Action action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.time, aOther.sequence) <
             std::tie(this->time, this->sequence);
    }
  };

  TimePoint now{ std::chrono::hours(1) };
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

/** Reply of a worker to a request. */
enum class Reply : std::uint8_t
{
  Done,
  Busy,
  Failed,
};

/** Simulated worker: runs requests in slots in first-in, first-out order,
 * slowed by batch tasks. */
class Worker
{
public:
  using Respond = std::function<void(Reply)>;

  Worker(EventLoop& aLoop, Random& aRandom, std::uint32_t aIndex);

  std::uint32_t Zone() const { return this->zone; }

  /** Runs a request that takes aWork on an idle worker. aWanted is called when
   * a slot is free; it returns whether the connection is still open. */
  void Receive(Duration aWork, std::function<bool()> aWanted, Respond aRespond);

  /** Replaces one batch task with another. */
  void ReplaceBatchTask();
  /** Replaces all batch tasks with the kind that interferes most. */
  void FillWithHeavyBatch();
  /** Sets the factor by which a noisy task lengthens all run times; 1 if none
   * runs. */
  void SetNoise(double aFactor) { this->noise = aFactor; }
  void SetFailing(bool aFailing) { this->failing = aFailing; }
  /** Sets whether the worker is unresponsive. An unresponsive worker loses its
   * requests and receives no others. */
  void SetUnresponsive(bool aSilent);
  /** Sets the number of waiting requests from which the worker refuses further
   * ones. By default only the number of connections limits them. */
  void SetRefusesAbove(std::uint32_t aWaiting) { this->refuseAbove = aWaiting; }

  std::uint32_t Load() const
  {
    return this->busy + static_cast<std::uint32_t>(this->waiting.size());
  }
  bool Unresponsive() const { return this->silent; }

private:
  struct Request
  {
    Duration work;
    std::function<bool()> wanted;
    Respond respond;
  };

  double Slowdown() const;
  void StartNext();

  EventLoop& loop;
  Random& random;
  std::uint32_t zone;
  std::array<std::uint32_t, 2> batch{};
  double noise = 1;
  bool failing = false;
  bool silent = false;
  std::uint32_t refuseAbove = kConnections;
  std::uint32_t busy = 0;
  std::uint32_t incarnation = 0;
  std::deque<Request> waiting;
};

/** Draws a duration from the exponential distribution with mean aMean. */
Duration
DrawExponential(Random& aRandom, Duration aMean);

/** Returns aDuration times aFactor. */
Duration
Scaled(Duration aDuration, double aFactor);

} // namespace sequoiakeel::bench
