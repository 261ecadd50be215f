#pragma once

#include "ConcurrencyLimit.h"
#include "RoutingPolicy.h"
#include "ServerHealth.h"

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

struct ServerTableOptions
{
  /** Availability zone of this entry. */
  std::string zone;
  /** Requests that a server is meant to run concurrently. */
  std::uint32_t slots = 8;
  /** Connections that a worker accepts from all entries together. */
  std::uint32_t connectionsPerWorker = 64;
  std::uint32_t entriesMax = 10;
  /** "naive" or "current". With "naive", the table has neither health checks
   * nor adaptive limits. */
  std::string policy = "current";
  RoutingOptions routing;
  HealthOptions health;
};

/**
 * The backend servers of one service at one entry. Updates the inputs of the
 * routing policy (ServerView), the health states and the concurrency limits
 * from the outcomes of requests. Not thread safe: each shard has its own.
 */
class ServerTable
{
public:
  explicit ServerTable(const ServerTableOptions& aOptions);

  /** Uses aPolicy instead of the policy that the options name. */
  ServerTable(const ServerTableOptions& aOptions,
              std::unique_ptr<RoutingPolicy> aPolicy);

  /** Adds a server and returns its id. If a server of that name exists, only
   * returns its id. */
  ServerId Add(const std::string& aName, const std::string& aZone);

  /** Removes a server; does nothing if it is unknown. Later feedback on
   * requests in progress at the server is ignored. */
  void Remove(const std::string& aName);

  /** Returns the id of a server; empty if unknown. */
  std::optional<ServerId> Find(std::string_view aName) const;

  void SetLeaving(ServerId aServer, bool aLeaving);

  /** Sets the number of requests that all peers together reported in progress
   * at a server. aReported is the mean time of the reports. */
  void SetPeersInFlight(ServerId aServer,
                        double aInFlight,
                        TimePoint aReported,
                        TimePoint aNow);

  /** Chooses a server for a request from this entry's zone. The index of the
   * decision refers to Views(). If the request is sent, the caller must call
   * OnStart(). */
  RoutingDecision Choose(const RequestView& aRequest,
                         TimePoint aNow,
                         Random& aRandom);

  /** Records that a request was sent to aServer. Exactly one of the calls below
   * up to OnAbandoned() must follow. */
  void OnStart(ServerId aServer, TimePoint aNow);
  void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow);
  void OnRefusal(ServerId aServer, TimePoint aNow);
  void OnFailure(ServerId aServer, TimePoint aNow);
  /** aWaited is the time since the request was sent. */
  void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow);

  /** Records that the caller disconnected or the request was abandoned, for a
   * reason unrelated to the server. */
  void OnAbandoned(ServerId aServer, TimePoint aNow);

  /** Returns the time that must be left until the deadline when a queued
   * request is sent (QueuedRequest::expected). This is twice the typical
   * latency, since about half of the requests that are sent with no more than
   * the typical latency left are answered too late. Zero if unknown. */
  Duration ExpectedLatency() const { return 2 * this->TypicalLatency(); }

  /** Returns the smoothed latency over all servers; zero if unknown. */
  Duration TypicalLatency() const;

  /** Returns an estimate of the 99th percentile of the latency over all
   * servers, for AttemptTimeout(); zero if unknown. */
  Duration P99Latency() const { return this->health.P99Latency(); }

  /** Updates the health states and the views. Call about every 50 ms. */
  void Tick(TimePoint aNow, Random& aRandom);

  /** Returns the views, valid until the next call that changes the table. */
  std::span<const ServerView> Views() const { return this->views; }

  /** Returns the changes of health states since the last call. */
  std::vector<HealthChange> TakeHealthChanges();

  /** Returns the name of a server, which may have been removed. aServer must be
   * an id that Add() returned. */
  std::string_view Name(ServerId aServer) const;

private:
  /** State of a server that is not part of its view. */
  struct Server
  {
    std::string name;
    std::string zone;
    std::size_t viewIndex = 0;
    bool known = false;
    ConcurrencyLimit limit;
    TimePoint reportedAt;
  };

  Server* FindServer(ServerId aServer);
  ServerView* EndRequest(ServerId aServer);
  void RefreshView(ServerId aServer);

  ServerTableOptions options;
  bool adaptive;
  std::unique_ptr<RoutingPolicy> policy;
  ServerHealth health;
  std::vector<ServerView> views;
  /** Indexed by ServerId; ids are never reused. A deque, so that the names that
   * views and ids refer to are not moved when servers are added. */
  std::deque<Server> servers;
  std::unordered_map<std::string_view, ServerId> ids;
  std::unordered_map<std::string, std::uint32_t> zones;
  /** Smoothed latency over all servers in ticks of Duration; zero if unknown.
   */
  double typicalLatency = 0;
};

} // namespace sequoiakeel
