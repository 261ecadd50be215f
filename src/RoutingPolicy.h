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

/** Names a backend server within one entry: a small number that stays the same
 * while the server is known, so that per-server state lies in arrays. */
using ServerId = std::uint32_t;

/** What the entry's health check thinks of a server. */
enum class HealthState : std::uint8_t
{
  Healthy,
  /** Back after an ejection; receives a few trial requests. */
  Probation,
  /** Receives nothing until its ejection ends. */
  Ejected,
};

/** One backend server as the policy sees it. Names are owned by the caller. */
struct ServerView
{
  ServerId id = 0;
  std::string_view name;
  /** Availability zone. */
  std::string_view zone;
  /** Requests that the server is meant to run at a time. */
  std::uint32_t slots = 8;
  /** Requests that this entry has in progress there. */
  std::uint32_t inFlight = 0;
  /** Soft limit of inFlight (ConcurrencyLimit). */
  std::uint32_t softLimit = 6;
  /** Hard limit of inFlight: connections that this entry may open there. */
  std::uint32_t connectionLimit = 6;
  /** Requests that all peers together reported in progress there. */
  double peersInFlight = 0;
  /** Age of the peers' reports; negative if there is none. */
  Duration peersAge{ -1 };
  /** Smoothed time from sending to the whole response; zero if unknown. For
   * logs; the current policy keeps its own estimate. */
  Duration latency{ 0 };
  HealthState health = HealthState::Healthy;
  /** Whether a probation server may take one more trial request now. */
  bool trialAllowed = false;
  /** The host receives no new work. */
  bool leaving = false;
};

/** What the policy needs to know of a request. */
struct RequestView
{
  /** Availability zone of this entry. */
  std::string_view zone;
  TimePoint deadline;
  bool urgent = false;
  /** Servers that already refused or failed this request; they are used again
   * only if there is no other. */
  std::span<const ServerId> tried;
};

/** Why a server was chosen, or none. */
enum class RoutingReason : std::uint8_t
{
  /** Drawn evenly among all eligible servers. */
  Drawn,
  /** The lowest score among the drawn candidates. */
  LowestScore,
  OnlyCandidate,
  /** Trial request to a server on probation. */
  Trial,
  /** All other servers already refused or failed the request. */
  TriedBefore,
  NoServers,
  AllLeaving,
  AllUnhealthy,
  AllAtLimit,
  DeadlinePassed,
};

/** Returns the reason as log lines and response headers have it, such as
 * "all-at-limit". Thread safe. */
std::string_view
ToText(RoutingReason aReason);

/** A server that was considered. Lower scores are better. */
struct RoutingCandidate
{
  /** Index into the servers that were passed to Choose. */
  std::size_t index = 0;
  /** Expected milliseconds until the response arrives. */
  double score = 0;
};

/** Result of a choice. */
struct RoutingDecision
{
  /** Index into the servers that were passed to Choose; empty if none. */
  std::optional<std::size_t> index;
  RoutingReason reason = RoutingReason::NoServers;
  double score = 0;
  /** The best of the candidates that were not chosen. */
  std::array<RoutingCandidate, 2> alternatives;
  std::size_t alternativesCount = 0;
};

/** Tells whether a policy may send a request to aServer at all: it is not
 * leaving, not ejected (on probation: a trial is allowed) and below both
 * limits. Thread safe. */
bool
IsEligible(const ServerView& aServer);

/**
 * Chooses a backend server for a request. Not thread safe: one object for each
 * shard of an entry.
 *
 * No policy chooses a server that IsEligible refuses or chooses one for a
 * request whose deadline has passed. A policy finds a server whenever an
 * eligible one exists.
 */
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;

  /** Chooses among aServers, in any order. The ids are unique. */
  virtual RoutingDecision Choose(const RequestView& aRequest,
                                 std::span<const ServerView> aServers,
                                 TimePoint aNow,
                                 Random& aRandom) = 0;

  /** A request was sent to aServer. */
  virtual void OnStart(ServerId aServer, TimePoint aNow);

  /** The whole response came aLatency after the request was sent. */
  virtual void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow);

  /** aServer explicitly refused the request. */
  virtual void OnRefusal(ServerId aServer, TimePoint aNow);

  /** The connection failed, or the response was an error of the server. */
  virtual void OnFailure(ServerId aServer, TimePoint aNow);

  /** No whole response came in time; the request waited aWaited. */
  virtual void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow);

  /** The request was given up for a reason that says nothing about aServer. */
  virtual void OnAbandoned(ServerId aServer, TimePoint aNow);

  /** aServer is gone; its id may be given to another server. */
  virtual void Forget(ServerId aServer);
};

/** Fixed parameters of a routing policy. */
struct RoutingOptions
{
  /** One-way latency between two availability zones. */
  Duration zoneDelay = std::chrono::microseconds(500);
  /** Servers drawn for each choice, at most 64. Two leave one in ten requests
   * on slow servers when a third of them is slow. */
  std::size_t choices = 16;
  /** Growth of the expected time for each own request in progress there. */
  double loadWeight = 0.5;
  /** Growth of the expected time for each request that peers reported. */
  double peersWeight = 0;
  /** Time after which a peers' report counts 1/e. */
  Duration peersMemory = std::chrono::seconds(1);
  /** Growth of the expected time if all recent requests were refused. */
  double refusalWeight = 3;
  /** Time after which a server's share of refusals counts 1/e. */
  Duration refusalMemory = std::chrono::seconds(1);
  /** Least weight of a new latency in a server's estimate. */
  double sampleWeight = 0.15;
  /** Pause between two samples after which the older counts 1/e. */
  Duration memory = std::chrono::seconds(2);
  /** Time without samples after which an estimate counts 1/e against the usual
   * latency. */
  Duration forgetting = std::chrono::seconds(5);
};

/** Makes the policy "naive" (evenly at random among the eligible servers) or
 * "current". Throws UserError for another name. Thread safe. */
std::unique_ptr<RoutingPolicy>
MakeRoutingPolicy(std::string_view aName, const RoutingOptions& aOptions = {});

} // namespace sequoiakeel
