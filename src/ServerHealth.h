#pragma once

#include "Clock.h"
#include "Random.h"
#include "RoutingPolicy.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Why a server is ejected (takes no requests). */
enum class EjectionReason : std::uint8_t
{
  None,
  /** The server fails a large share of its requests. */
  Failing,
  /** The server fails all recent requests, possibly fast. */
  HalfDead,
  /** The server accepts requests and answers none of them. */
  BlackHole,
  /** No server in the availability zone answers, while servers in other zones
   * do. */
  ZoneSilent,
  /** The server is several times slower than the median server. */
  Slow,
};

/** Returns the reason as it is written in log lines, such as "half-dead".
 * Thread safe. */
std::string_view
ToText(EjectionReason aReason);

/** Returns whether requests in progress on a server ejected for this reason are
 * unlikely to be answered and should be retried at once. Thread safe. */
bool
IsUnresponsive(EjectionReason aReason);

struct HealthOptions
{
  /** Maximum share of the servers that may be ejected at a time. */
  double maxEjectedShare = 0.5;
  /** If at least this share of the servers is ejected, no further server is
   * ejected for being slow. */
  double maxSlowShare = 0.1;
  /** Number of consecutive failures or timeouts after which a server is
   * ejected. */
  std::uint32_t consecutiveFailures = 4;
  /** Share of failed requests among the recent ones from which a server is
   * ejected. */
  double failedShare = 0.5;
  /** Minimum number of recent requests, with decay, for a server to be judged
   * by its share of failures or by its latency. */
  double minimumSamples = 8;
  /** Ratio to the median latency of all servers above which a server counts as
   * slow. */
  double slowRatio = 4;
  /** Shortest time without a reply after which a server with requests in
   * progress counts as a black hole. */
  Duration unresponsiveAfter = std::chrono::milliseconds(200);
  /** Length of the first ejection; it doubles each time up to maxEjection. */
  Duration firstEjection = std::chrono::seconds(1);
  Duration maxEjection = std::chrono::seconds(30);
  /** Number of successful trial requests that end probation. */
  std::uint32_t trials = 3;
};

/** A change of a server's health state, for the log. */
struct HealthChange
{
  ServerId server = 0;
  HealthState state = HealthState::Healthy;
  EjectionReason reason = EjectionReason::None;
};

/**
 * Detects servers that fail, hang or are slow (outlier detection). Ejects them
 * and readmits them after a probation with trial requests. An explicit refusal
 * does not count as a failure.
 *
 * Never ejects more than the configured share of the servers, so that the
 * others are not overloaded. If more servers are bad, those with the most
 * severe faults are ejected. Not thread safe: each shard has its own.
 */
class ServerHealth
{
public:
  explicit ServerHealth(const HealthOptions& aOptions = {});

  /** Adds a server in the healthy state. aServer must not be known yet. aZone
   * is the index of its availability zone, a small number. */
  void Add(ServerId aServer, std::uint32_t aZone);

  /** Removes a server and its state; does nothing if it is unknown. */
  void Remove(ServerId aServer);

  // Feedback about requests. Feedback about an unknown server is ignored.

  /** Records that a request was sent to aServer. */
  void OnStart(ServerId aServer, TimePoint aNow);

  /** Records a complete response. */
  void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow);

  /** Records that aServer explicitly refused a request. The server responds, so
   * the request counts neither as a success nor as a failure. */
  void OnRefusal(ServerId aServer, TimePoint aNow);

  /** Records that the connection failed or that the server returned an error.
   */
  void OnFailure(ServerId aServer, TimePoint aNow);

  /** Records that no complete response arrived within aWaited. */
  void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow);

  /** Records that a request was abandoned for a reason unrelated to aServer. */
  void OnAbandoned(ServerId aServer);

  /** Starts the probation of servers whose ejection has expired, and ejects
   * unresponsive zones, unresponsive servers and slow servers. Call about every
   * 50 ms. */
  void Tick(TimePoint aNow, Random& aRandom);

  /** Returns the server's state; Ejected if it is unknown. */
  HealthState State(ServerId aServer) const;

  /** Returns whether a server on probation may receive a trial request now. */
  bool TrialAllowed(ServerId aServer) const;

  /** Returns the smoothed latency of a server; zero if unknown. */
  Duration Latency(ServerId aServer) const;

  /** Returns an estimate of the 99th percentile of the latency over all
   * servers; zero if there are too few responses yet. */
  Duration P99Latency() const;

  std::size_t EjectedCount() const { return this->ejected; }

  /** Returns the changes of health states since the last call. */
  std::vector<HealthChange> TakeChanges();

private:
  struct Server
  {
    bool known = false;
    HealthState state = HealthState::Healthy;
    EjectionReason reason = EjectionReason::None;
    /** Exponentially decayed counts of recent responses and failures. */
    double answered = 0;
    double failed = 0;
    std::uint32_t failuresInRow = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t ejections = 0;
    std::uint32_t goodTrials = 0;
    /** Smoothed latency in ticks of Duration; zero if unknown. */
    double latency = 0;
    std::uint32_t zone = 0;
    /** Time of the last response, refusal or failure. */
    TimePoint lastOutcome;
    /** Time of the last response, refusal or failure, or of a later request
     * that was sent while no other was in progress. If requests are in
     * progress, a reply has been due since then. */
    TimePoint replyDueSince;
    TimePoint ejectedUntil;
    TimePoint healthySince;
  };

  /** State of an availability zone at the last tick. */
  struct Zone
  {
    bool responding = false;
    /** Number of healthy servers whose reply is overdue. */
    std::size_t overdueServers = 0;
    bool unresponsive = false;
  };

  bool Known(ServerId aServer) const;
  Server* Find(ServerId aServer);
  Server* EndRequest(ServerId aServer, TimePoint aNow);
  void RecordFailure(ServerId aServer, bool aTimedOut, TimePoint aNow);
  void RecordSuccess(ServerId aServer, TimePoint aNow);
  void CheckZones(TimePoint aNow);
  Duration ScaledP99Latency(double aRatio) const;
  void CheckUnresponsive(ServerId aServer, TimePoint aNow);
  void CheckSlow(ServerId aServer, double aMedian, TimePoint aNow);
  bool FreeEjectionSlot(EjectionReason aReason);
  void Eject(ServerId aServer, EjectionReason aReason, TimePoint aNow);
  void StartProbation(ServerId aServer);
  double MedianLatency();
  void UpdateP99Latency(double aSample);

  HealthOptions options;
  std::vector<Server> servers;
  std::vector<Zone> zones;
  std::vector<double> latencies;
  std::vector<HealthChange> changes;
  std::size_t count = 0;
  std::size_t ejected = 0;
  /** Jitter of the next ejection, drawn from [0, 1). */
  double jitter = 0;
  /** Estimate of the 99th percentile of the latency, in ticks of Duration. */
  double p99Latency = 0;
  std::uint64_t responses = 0;
};

} // namespace sequoiakeel
