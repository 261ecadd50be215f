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

/** Runs actions in the order of their times on a manual clock. */
class EventLoop
{
public:
  using Action = std::function<void()>;

  TimePoint Now() const { return this->now; }

  /** Runs aAction after aDelay; actions of one time run in the order in which
   * they were added. */
  void After(Duration aDelay, Action aAction)
  {
    this->events.push(
      { this->now + aDelay, this->sequence++, std::move(aAction) });
  }

  /** Runs until aEnd. */
  void Run(TimePoint aEnd)
  {
    while (!this->events.empty() && this->events.top().time <= aEnd) {
      // The queue gives out constant references only; the event is popped at
      // once.
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

/** What a worker returns. */
enum class Reply : std::uint8_t
{
  Done,
  Busy,
  Failed,
};

/** A worker: slots in first-in, first-out order, slowed by batch tasks. */
class Worker
{
public:
  using Respond = std::function<void(Reply)>;

  Worker(EventLoop& aLoop, Random& aRandom, std::uint32_t aIndex);

  std::uint32_t Zone() const { return this->zone; }

  /** Runs a request of aWork (time on an idle worker). aWanted tells whether
   * the connection is still open when a slot is free. */
  void Receive(Duration aWork, std::function<bool()> aWanted, Respond aRespond);

  /** Replaces one batch task by another. */
  void ShiftBatch();
  /** Replaces all batch tasks by the kind that disturbs most. */
  void FillWithHeavyBatch();
  /** Factor on all times while a noisy task runs; 1: none. */
  void SetNoise(double aFactor) { this->noise = aFactor; }
  void SetFailing(bool aFailing) { this->failing = aFailing; }
  /** A silent worker loses what it has and receives nothing. */
  void SetSilent(bool aSilent);
  /** Waiting requests from which it refuses more; by default connections are
   * the only limit. */
  void SetRefusesAbove(std::uint32_t aWaiting) { this->refuseAbove = aWaiting; }

  std::uint32_t Load() const
  {
    return this->busy + static_cast<std::uint32_t>(this->waiting.size());
  }
  bool Silent() const { return this->silent; }

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

/** Returns a time drawn from the exponential distribution. */
Duration
DrawExponential(Random& aRandom, Duration aMean);

/** Returns aDuration times aFactor. */
Duration
Scaled(Duration aDuration, double aFactor);

} // namespace sequoiakeel::bench
