#pragma once

#include "Clock.h"
#include "Random.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace sequoiakeel {

/** Identifies a backend server within one entry (a process that serves callers'
 * HTTP requests). A small number that does not change while the server is
 * known, so that state per server can be kept in arrays. */
using ServerId = std::uint32_t;

/** State of a server according to the entry's health check (ServerHealth). */
enum class HealthState : std::uint8_t
{
  Healthy,
  /** The ejection has ended; the server receives a few trial requests. */
  Probation,
  /** The server receives no requests until its ejection ends. */
  Ejected,
};

/** Input of the policy on one backend server. The caller owns the strings. */
struct ServerView
{
  ServerId id = 0;
  std::string_view name;
  /** Availability zone. */
  std::string_view zone;
  /** Requests that the server is meant to run concurrently. */
  std::uint32_t slots = 8;
  /** Requests that this entry has in progress at the server. */
  std::uint32_t inFlight = 0;
  /** Soft limit on inFlight (ConcurrencyLimit). */
  std::uint32_t softLimit = 6;
  /** Hard limit on inFlight: connections that this entry may open to the
   * server. */
  std::uint32_t connectionLimit = 6;
  /** Requests that all peers together reported in progress at the server. */
  double peersInFlight = 0;
  /** Age of the peers' reports; negative if there are none. */
  Duration peersReportAge{ -1 };
  /** Smoothed time from sending a request to the complete response; zero if
   * unknown. Used for logs only: the current policy keeps its own estimate. */
  Duration latency{ 0 };
  HealthState health = HealthState::Healthy;
  /** Whether a server on probation may receive a trial request now. */
  bool trialAllowed = false;
  /** Whether the host is leaving and must receive no new work. */
  bool leaving = false;
};

/** Input of the policy on a request. */
struct RequestView
{
  /** Availability zone of this entry. */
  std::string_view zone;
  TimePoint deadline;
  bool urgent = false;
  /** Servers that already refused or failed this request. They are chosen again
   * only if no other server is eligible. */
  std::span<const ServerId> tried;
};

/** Why a server was chosen, or why none was. */
enum class RoutingReason : std::uint8_t
{
  /** Drawn uniformly at random among all eligible servers. */
  Drawn,
  /** The server has the lowest score among the drawn candidates. */
  LowestScore,
  /** The server was the only candidate not on probation. */
  OnlyCandidate,
  /** The request is a trial request to a server on probation. */
  Trial,
  /** All eligible servers already refused or failed the request. */
  TriedBefore,
  NoServers,
  AllLeaving,
  AllUnhealthy,
  AllAtLimit,
  DeadlinePassed,
};

/** Returns the reason as it is written in log lines and response headers, such
 * as "all-at-limit". Thread safe. */
std::string_view
ToText(RoutingReason aReason);

/** A server that was considered. Lower scores are better. */
struct RoutingCandidate
{
  /** Index into the servers that were passed to RoutingPolicy::Choose(). */
  std::size_t index = 0;
  /** Expected milliseconds until the response arrives. */
  double score = 0;
};

struct RoutingDecision
{
  /** Index of the chosen server in the servers that were passed to
   * RoutingPolicy::Choose(); empty if none was chosen. */
  std::optional<std::size_t> index;
  RoutingReason reason = RoutingReason::NoServers;
  double score = 0;
  /** The candidates with the next lowest scores, for logs. */
  std::array<RoutingCandidate, 2> alternatives;
  std::size_t alternativesCount = 0;
};

/** Returns whether a policy may send a request to aServer: the server is not
 * leaving, is healthy or on probation with a trial allowed, and is below both
 * limits on requests in progress. Thread safe. */
bool
IsEligible(const ServerView& aServer);

/**
 * Chooses a backend server for a request. Not thread safe: each shard of an
 * entry has its own object.
 *
 * A policy chooses only servers that satisfy IsEligible(), and none for a
 * request whose deadline has passed. Otherwise it chooses a server whenever an
 * eligible one exists.
 */
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;

  /** Chooses among aServers, which may be in any order. The ids must be unique.
   */
  virtual RoutingDecision Choose(const RequestView& aRequest,
                                 std::span<const ServerView> aServers,
                                 TimePoint aNow,
                                 Random& aRandom) = 0;

  // Feedback about requests. After OnStart(), each request ends with exactly
  // one of the calls from OnResponse() to OnAbandoned(), unless Forget()
  // removes the server first.

  /** Records that a request was sent to aServer. */
  virtual void OnStart(ServerId aServer, TimePoint aNow);

  /** Records a complete response, which arrived aLatency after the request was
   * sent. */
  virtual void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow);

  /** Records that aServer explicitly refused the request. */
  virtual void OnRefusal(ServerId aServer, TimePoint aNow);

  /** Records that the connection failed or that the server returned an error.
   */
  virtual void OnFailure(ServerId aServer, TimePoint aNow);

  /** Records that no complete response arrived within aWaited. */
  virtual void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow);

  /** Records that a request was abandoned for a reason unrelated to aServer. */
  virtual void OnAbandoned(ServerId aServer, TimePoint aNow);

  /** Removes the state of aServer, whose id may then be assigned to another
   * server. */
  virtual void Forget(ServerId aServer);
};

struct RoutingOptions
{
  /** One-way latency between two availability zones. */
  Duration zoneDelay = std::chrono::microseconds(500);
  /** Number of candidate servers drawn for each request, at most 64. With two
   * candidates, one request in ten goes to a slow server when a third of the
   * servers is slow. */
  std::size_t choices = 16;
  /** Relative increase of the expected latency for each request that this entry
   * has in progress at the server. */
  double loadWeight = 0.5;
  /** Relative increase of the expected latency for each request that peers
   * reported in progress at the server. */
  double peersWeight = 0;
  /** Time constant of the exponential decay of peers' reports. */
  Duration peersDecay = std::chrono::seconds(1);
  /** Relative increase of the expected latency if the server refused all recent
   * requests; scaled by its share of refusals. */
  double refusalWeight = 3;
  /** Time constant of the exponential decay of a server's share of refusals. */
  Duration refusalDecay = std::chrono::seconds(1);
  /** Minimum weight of a new sample in a server's latency estimate. */
  double sampleWeight = 0.15;
  /** Time constant with which the weight of the previous estimate decays
   * between two samples. */
  Duration sampleDecay = std::chrono::seconds(2);
  /** Time constant with which the estimate returns to the typical latency while
   * there are no samples. */
  Duration estimateDecay = std::chrono::seconds(5);
};

/** Creates the policy "naive" (uniformly random among the eligible servers) or
 * "current" (lowest expected latency among a random sample of the eligible
 * servers). Throws UserError for any other name. Thread safe. */
std::unique_ptr<RoutingPolicy>
MakeRoutingPolicy(std::string_view aName, const RoutingOptions& aOptions = {});

} // namespace sequoiakeel
