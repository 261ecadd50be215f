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

/** Parameters of a table of servers. */
struct ServerTableOptions
{
  /** Availability zone of this entry. */
  std::string zone;
  std::uint32_t slots = 8;
  std::uint32_t connectionsPerWorker = 64;
  std::uint32_t entriesMax = 10;
  /** "naive" or "current". The naive table has neither health checks nor
   * adapted limits. */
  std::string policy = "current";
  RoutingOptions routing;
  HealthOptions health;
};

/**
 * The backend servers of one service at one entry: keeps the views of the
 * routing policy up to date from what happens to requests. Not thread safe:
 * one object for each shard.
 */
class ServerTable
{
public:
  explicit ServerTable(const ServerTableOptions& aOptions);

  /** Uses aPolicy in place of the one that the options name. */
  ServerTable(const ServerTableOptions& aOptions,
              std::unique_ptr<RoutingPolicy> aPolicy);

  /** Adds a server and returns its id; returns the known id if there is one of
   * that name. */
  ServerId Add(const std::string& aName, const std::string& aZone);

  /** Removes a server. Feedback on requests in progress there is ignored from
   * then on. */
  void Remove(const std::string& aName);

  /** Returns the id of a server; empty if unknown. */
  std::optional<ServerId> Find(std::string_view aName) const;

  /** Marks a server as leaving or not. */
  void SetLeaving(ServerId aServer, bool aLeaving);

  /** Sets the requests that the peers together reported in progress.
   * aReported is the mean time of the reports. */
  void SetPeersInFlight(ServerId aServer,
                        double aInFlight,
                        TimePoint aReported,
                        TimePoint aNow);

  /** Chooses a server for a request from this entry's zone. The index of the
   * decision refers to Views(). A choice that is used is followed by OnStart.
   */
  RoutingDecision Choose(const RequestView& aRequest,
                         TimePoint aNow,
                         Random& aRandom);

  /** A request was sent to aServer; exactly one of the next four follows. */
  void OnStart(ServerId aServer, TimePoint aNow);
  void OnResponse(ServerId aServer, Duration aLatency, TimePoint aNow);
  void OnRefusal(ServerId aServer, TimePoint aNow);
  void OnFailure(ServerId aServer, TimePoint aNow);
  /** aWaited is the time since the request was sent. */
  void OnTimeout(ServerId aServer, Duration aWaited, TimePoint aNow);

  /** The caller hung up or the request was given up; says nothing about the
   * server. */
  void OnAbandoned(ServerId aServer, TimePoint aNow);

  /** Returns the time that a queued request is given to be answered once it is
   * sent, for QueuedRequest::expected: twice the usual latency, since a request
   * sent with no more than that left is answered too late as often as not.
   * Zero if unknown. */
  Duration ExpectedLatency() const { return 2 * this->TypicalLatency(); }

  /** Returns the smoothed latency over all servers; zero if unknown. */
  Duration TypicalLatency() const;

  /** Returns the 99th percentile of the latency over all servers, estimated;
   * zero if unknown. Serves for AttemptTimeout. */
  Duration LongLatency() const { return this->health.LongLatency(); }

  /** Updates health states; call about every 50 ms. */
  void Tick(TimePoint aNow, Random& aRandom);

  /** Returns the views, valid until the next call that changes the table. */
  std::span<const ServerView> Views() const { return this->views; }

  /** Returns the changes of health since the last call. */
  std::vector<HealthChange> TakeHealthChanges();

  /** Returns the name of a server. aServer is known. */
  std::string_view Name(ServerId aServer) const;

private:
  /** What the table keeps of a server beside its view. */
  struct Server
  {
    std::string name;
    std::string zone;
    std::size_t view = 0;
    bool known = false;
    ConcurrencyLimit limit;
    TimePoint reported;
  };

  Server* FindServer(ServerId aServer);
  ServerView* Finish(ServerId aServer);
  void Refresh(ServerId aServer);

  ServerTableOptions options;
  bool adaptive;
  std::unique_ptr<RoutingPolicy> policy;
  ServerHealth health;
  std::vector<ServerView> views;
  /** By id; an id is never given again. Names stay in place. */
  std::deque<Server> servers;
  std::unordered_map<std::string_view, ServerId> ids;
  std::unordered_map<std::string, std::uint32_t> zones;
  /** Smoothed latency over all servers, in ticks. */
  double typical = 0;
};

} // namespace sequoiakeel
