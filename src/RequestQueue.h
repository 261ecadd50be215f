#pragma once

#include "Clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** A request that waits for a backend server. */
struct QueuedRequest
{
  /** Unique among the requests in the queue. */
  std::uint64_t id = 0;
  std::string team;
  TimePoint deadline;
  /** Goes before the other requests of its team. */
  bool urgent = false;
  /** Expected time from sending to the response; zero if unknown. */
  Duration expected{ 0 };
};

/** Why a request was not queued or left the queue without being sent. */
enum class QueueRefusal : std::uint8_t
{
  /** The queue holds as many requests as it may. */
  QueueFull,
  /** Each team may hold its share of a full queue; this team holds more. */
  TeamShareFull,
  /** The expected wait ends after the deadline. */
  DeadlineUnreachable,
  DeadlinePassed,
};

/** Returns the reason as log lines and response headers have it, such as
 * "queue-full". Thread safe. */
std::string_view
ToText(QueueRefusal aRefusal);

/** A request that leaves the queue without being sent. */
struct DroppedRequest
{
  std::uint64_t id = 0;
  QueueRefusal reason = QueueRefusal::DeadlinePassed;
};

/** Bounded queue of requests with deadlines. Not thread safe: the caller shards
 * it. */
class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  /** Sets the team's share (1 unless set) against the other teams. aWeight is
   * positive. */
  virtual void SetWeight(const std::string& aTeam, std::uint32_t aWeight) = 0;

  /** Adds a request, or says why not. Another request may have to leave for it;
   * TakeDropped names that one. */
  virtual std::optional<QueueRefusal> Push(QueuedRequest aRequest,
                                           TimePoint aNow) = 0;

  /** Returns the request that Pop would return, dropping the same ones; null if
   * there is none. Valid until the next call that changes the queue. */
  virtual const QueuedRequest* Front(TimePoint aNow) = 0;

  /** Removes and returns the next request whose deadline can still be met.
   * Those found on the way that cannot are dropped. */
  virtual std::optional<QueuedRequest> Pop(TimePoint aNow) = 0;

  /** Removes a request, such as one whose caller hung up; false if absent. */
  virtual bool Remove(std::uint64_t aId) = 0;

  /** Drops all requests whose deadline has passed. */
  virtual void Expire(TimePoint aNow) = 0;

  /** Returns the requests dropped since the last call, in the order in which
   * they were dropped. */
  virtual std::vector<DroppedRequest> TakeDropped() = 0;

  /** Returns the number of waiting requests. */
  virtual std::size_t Size() const = 0;

  /** Returns the expected wait of a request of aTeam that comes last in its
   * team; zero while the drain rate is unknown. */
  virtual Duration ExpectedWait(std::string_view aTeam,
                                TimePoint aNow) const = 0;
};

/** Makes the queue "naive" (one first-in, first-out list without early
 * refusal) or "current" (earliest deadline first within a team, weighted fair
 * between teams) with room for aLimit requests. Throws UserError for another
 * name. Thread safe. */
std::unique_ptr<RequestQueue>
MakeRequestQueue(std::string_view aName, std::size_t aLimit);

} // namespace sequoiakeel
