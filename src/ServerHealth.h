#pragma once

#include "Clock.h"
#include "Random.h"
#include "RoutingPolicy.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Why a server is ejected. */
enum class EjectionReason : std::uint8_t
{
  None,
  /** Fails a large share of its requests. */
  Failing,
  /** Fails requests and answers none, however fast. */
  HalfDead,
  /** Takes requests and answers none of them. */
  BlackHole,
  /** No server of its availability zone answers, while others do. */
  ZoneSilent,
  /** Several times slower than its peers. */
  Slow,
};

/** Returns the reason as log lines have it, such as "half-dead". Thread safe.
 */
std::string_view
ToText(EjectionReason aReason);

/** Tells whether requests in progress on the server will get no answer, so that
 * they are better retried at once. Thread safe. */
bool
IsSilent(EjectionReason aReason);

/** Parameters of ejection. */
struct HealthOptions
{
  /** Share of the servers that may be ejected at a time. */
  double maxEjectedShare = 0.5;
  /** Share up to which slow servers are ejected. */
  double maxSlowShare = 0.1;
  /** Consecutive failures or timeouts that eject. */
  std::uint32_t consecutiveFailures = 4;
  /** Failed share of recent requests that ejects. */
  double failedShare = 0.5;
  /** Requests that are weighed before a share counts. */
  double minimumSamples = 8;
  /** Ratio to the fleet's median latency from which a server is slow. */
  double slowRatio = 4;
  /** Least time without a sign of life that makes a black hole. */
  Duration minimumSilence = std::chrono::milliseconds(200);
  Duration firstEjection = std::chrono::seconds(1);
  Duration maxEjection = std::chrono::seconds(30);
  /** Successful trials that end the probation. */
  std::uint32_t trials = 3;
};

/** A change of a server's health, for the log. */
struct HealthChange
{
  ServerId server = 0;
  HealthState state = HealthState::Healthy;
  EjectionReason reason = EjectionReason::None;
};

/**
 * Ejects servers that fail, hang or are slow, and lets them back after
 * probation. An explicit refusal is no failure.
 *
 * Never ejects more than the configured share, so that the others are not
 * overloaded: with more bad servers than that, the worst ones are ejected.
 * Not thread safe: the caller shards it.
 */
class ServerHealth
{
public:
  explicit ServerHealth(const HealthOptions& aOptions = {});

  /** Adds a healthy server. aServer is not known yet. aZone is a small number
   * for its availability zone. */
  void Add(ServerId aServer, std::uint32_t aZone);

  /** Forgets a server; does nothing if it is unknown. */
  void Remove(ServerId aServer);

  /** A request was sent to aServer. */
  void OnStart(ServerId aServer, TimePoint aNow);

  /** The server answered. */
  void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow);

  /** The server explicitly refused: it is alive, the request is not counted. */
  void OnRefusal(ServerId aServer, TimePoint aNow);

  /** The connection failed, or the response was an error of the server. */
  void OnFailure(ServerId aServer, TimePoint aNow);

  /** No whole response came in time. */
  void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow);

  /** The request was given up for a reason that says nothing about aServer. */
  void OnAbandoned(ServerId aServer);

  /** Ends ejections whose time is over and ejects slow servers and black
   * holes. Call about every 50 ms. */
  void Tick(TimePoint aNow, Random& aRandom);

  /** Returns the server's state. */
  HealthState State(ServerId aServer) const;

  /** Tells whether a server on probation may take one more trial request. */
  bool TrialAllowed(ServerId aServer) const;

  /** Returns the smoothed latency; zero if unknown. */
  Duration Latency(ServerId aServer) const;

  /** Returns the 99th percentile of the latency over all servers, estimated;
   * zero if unknown. */
  Duration LongLatency() const;

  /** Returns the number of ejected servers. */
  std::size_t EjectedCount() const { return this->ejected; }

  /** Returns the changes since the last call. */
  std::vector<HealthChange> TakeChanges();

private:
  struct Server
  {
    bool known = false;
    HealthState state = HealthState::Healthy;
    EjectionReason reason = EjectionReason::None;
    /** Decaying counts of recent requests. */
    double answered = 0;
    double failed = 0;
    std::uint32_t failuresInRow = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t ejections = 0;
    std::uint32_t goodTrials = 0;
    /** Smoothed latency in ticks; zero if unknown. */
    double latency = 0;
    std::uint32_t zone = 0;
    /** Last response, refusal or failure. */
    TimePoint lastSign;
    /** Last sign of life, or the first request after it. */
    TimePoint silentSince;
    TimePoint ejectedUntil;
    TimePoint healthySince;
  };

  /** State of an availability zone at the last tick. */
  struct Zone
  {
    bool alive = false;
    /** Healthy servers that owe responses for long. */
    std::size_t owing = 0;
    bool silent = false;
  };

  bool Known(ServerId aServer) const;
  Server* Find(ServerId aServer);
  Server* OnEnd(ServerId aServer, TimePoint aNow);
  void OnBad(ServerId aServer, bool aTimedOut, TimePoint aNow);
  void OnGoodTrial(ServerId aServer, TimePoint aNow);
  void CheckZones(TimePoint aNow);
  Duration LongTimes(double aRatio) const;
  void CheckSilence(ServerId aServer, TimePoint aNow);
  void CheckSlow(ServerId aServer, double aMedian, TimePoint aNow);
  bool MakeRoom(EjectionReason aReason);
  void Eject(ServerId aServer, EjectionReason aReason, TimePoint aNow);
  void ToProbation(ServerId aServer);
  double MedianLatency();
  void AddToLongLatency(double aSample);

  HealthOptions options;
  std::vector<Server> servers;
  std::vector<Zone> zones;
  std::vector<double> latencies;
  std::vector<HealthChange> changes;
  std::size_t count = 0;
  std::size_t ejected = 0;
  /** Drawn at the last tick, from [0, 1). */
  double jitter = 0;
  /** Estimate of the 99th percentile, in ticks. */
  double longLatency = 0;
  std::uint64_t responses = 0;
};

} // namespace sequoiakeel
