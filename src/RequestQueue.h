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
  /** Served before the non-urgent requests of its team. */
  bool urgent = false;
  /** Expected time from sending to the response; zero if unknown. */
  Duration expectedLatency{ 0 };
};

/** Why a request was not queued or left the queue without being sent. */
enum class QueueRefusal : std::uint8_t
{
  /** The queue contains its maximum number of requests. */
  QueueFull,
  /** The queue contains its maximum number of requests, and the team has used
   * up its weighted share of them. */
  TeamShareFull,
  /** No response is expected before the deadline. */
  DeadlineUnreachable,
  DeadlinePassed,
};

/** Returns the reason as written in log lines and response headers, such as
 * "queue-full". Thread safe. */
std::string_view
ToText(QueueRefusal aRefusal);

/** A request that leaves the queue without being sent. */
struct DroppedRequest
{
  std::uint64_t id = 0;
  QueueRefusal reason = QueueRefusal::DeadlinePassed;
};

/** Bounded queue of requests with deadlines. Not thread safe: each shard of the
 * caller has a queue of its own. */
class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  /** Sets the weight of a team (1 by default) in the fair sharing between
   * teams. aWeight must be positive. */
  virtual void SetWeight(const std::string& aTeam, std::uint32_t aWeight) = 0;

  /** Adds a request, or returns why it is refused. If the queue is full, a
   * request of another team may be dropped instead; TakeDropped returns it. */
  virtual std::optional<QueueRefusal> Push(QueuedRequest aRequest,
                                           TimePoint aNow) = 0;

  /** Returns the request that Pop would return, or null if there is none. Drops
   * the same requests as Pop. The pointer is valid until the next call that
   * changes the queue. */
  virtual const QueuedRequest* Front(TimePoint aNow) = 0;

  /** Removes and returns the next request whose deadline can still be met, and
   * drops the requests ahead of it whose deadline cannot. */
  virtual std::optional<QueuedRequest> Pop(TimePoint aNow) = 0;

  /** Removes a request, for example because its caller disconnected. Returns
   * false if it is not in the queue. */
  virtual bool Remove(std::uint64_t aId) = 0;

  /** Drops all requests whose deadline has passed. */
  virtual void Expire(TimePoint aNow) = 0;

  /** Returns the requests dropped since the last call, in the order in which
   * they were dropped. */
  virtual std::vector<DroppedRequest> TakeDropped() = 0;

  virtual std::size_t Size() const = 0;

  /** Returns the expected wait of a request that is sorted behind all other
   * requests of aTeam; zero while the drain rate is unknown. */
  virtual Duration ExpectedWait(std::string_view aTeam,
                                TimePoint aNow) const = 0;
};

/** Creates a queue of at most aLimit requests. aName selects the policy:
 * "naive" (first in, first out, without early refusal) or "current" (earliest
 * deadline first within a team, weighted fair queueing between teams). Throws
 * UserError for any other name. Thread safe. */
std::unique_ptr<RequestQueue>
MakeRequestQueue(std::string_view aName, std::size_t aLimit);

} // namespace sequoiakeel
