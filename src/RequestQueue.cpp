#include "RequestQueue.h"

#include "Error.h"

#include <algorithm>
#include <deque>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace sequoiakeel {

namespace {

/** Weight of the latest interval in the moving average of the intervals between
 * departures. */
constexpr double kIntervalWeight = 0.05;
/** Number of departures after which the moving average is used. */
constexpr std::uint32_t kIntervalSamples = 20;

/** First-in, first-out queue. */
class NaiveQueue : public RequestQueue
{
public:
  explicit NaiveQueue(std::size_t aLimit)
    : limit(aLimit)
  {
  }

  void SetWeight(const std::string&, std::uint32_t) override {}

  std::optional<QueueRefusal> Push(QueuedRequest aRequest,
                                   TimePoint aNow) override
  {
    if (aRequest.deadline <= aNow) {
      return QueueRefusal::DeadlinePassed;
    }
    if (this->requests.size() >= this->limit) {
      return QueueRefusal::QueueFull;
    }
    this->requests.push_back(std::move(aRequest));
    return std::nullopt;
  }

  const QueuedRequest* Front(TimePoint aNow) override
  {
    while (!this->requests.empty() && this->requests.front().deadline <= aNow) {
      this->DropAt(this->requests.begin());
    }
    return this->requests.empty() ? nullptr : &this->requests.front();
  }

  std::optional<QueuedRequest> Pop(TimePoint aNow) override
  {
    if (this->Front(aNow) == nullptr) {
      return std::nullopt;
    }
    QueuedRequest request = std::move(this->requests.front());
    this->requests.pop_front();
    return request;
  }

  bool Remove(std::uint64_t aId) override
  {
    const auto place = std::ranges::find(
      this->requests, aId, [](const auto& aRequest) { return aRequest.id; });
    if (place == this->requests.end()) {
      return false;
    }
    this->requests.erase(place);
    return true;
  }

  void Expire(TimePoint aNow) override
  {
    auto place = this->requests.begin();
    while (place != this->requests.end()) {
      place = place->deadline <= aNow ? this->DropAt(place) : place + 1;
    }
  }

  std::vector<DroppedRequest> TakeDropped() override
  {
    return std::exchange(this->dropped, {});
  }

  std::size_t Size() const override { return this->requests.size(); }

  Duration ExpectedWait(std::string_view, TimePoint) const override
  {
    return Duration(0);
  }

private:
  std::deque<QueuedRequest>::iterator DropAt(
    std::deque<QueuedRequest>::iterator aPlace)
  {
    this->dropped.push_back({ aPlace->id, QueueRefusal::DeadlinePassed });
    return this->requests.erase(aPlace);
  }

  std::size_t limit;
  std::deque<QueuedRequest> requests;
  std::vector<DroppedRequest> dropped;
};

/** Sort key of a request within its team: urgent ones first, then by deadline,
 * then by arrival. */
using Rank = std::tuple<bool, TimePoint, std::uint64_t>;

/** The waiting requests of one team and its weight. */
struct TeamQueue
{
  std::uint32_t weight = 1;
  /** Start tag of the team's next request, in virtual time (start-time fair
   * queueing): the team with the lowest tag is served next. */
  double startTag = 0;
  std::map<Rank, QueuedRequest> requests;
};

/** Earliest deadline first within a team, weighted fair between teams. */
class CurrentQueue : public RequestQueue
{
public:
  explicit CurrentQueue(std::size_t aLimit)
    : limit(aLimit)
  {
  }

  void SetWeight(const std::string& aTeam, std::uint32_t aWeight) override
  {
    UserAssert(aWeight > 0, "the weight of team " + aTeam + " is not positive");
    this->teams[aTeam].weight = aWeight;
  }

  std::optional<QueueRefusal> Push(QueuedRequest aRequest,
                                   TimePoint aNow) override
  {
    InternalAssert(!this->positions.contains(aRequest.id),
                   "the request id is already in the queue");
    if (aRequest.deadline <= aNow) {
      return QueueRefusal::DeadlinePassed;
    }
    TeamQueue& team = this->teams[aRequest.team];
    const Rank rank{ !aRequest.urgent, aRequest.deadline, this->arrivals++ };
    if (this->IsDeadlineUnreachable(team, rank, aRequest, aNow)) {
      return QueueRefusal::DeadlineUnreachable;
    }
    if (this->size >= this->limit) {
      const std::optional<QueueRefusal> refusal = this->DropOverShare(team);
      if (refusal) {
        return refusal;
      }
    }
    if (team.requests.empty()) {
      // A team accumulates no credit while it is idle.
      team.startTag = std::max(team.startTag, this->virtualTime);
    }
    if (this->size == 0) {
      this->lastDeparture = aNow;
    }
    this->positions.emplace(aRequest.id, QueuePosition{ aRequest.team, rank });
    team.requests.emplace(rank, std::move(aRequest));
    ++this->size;
    return std::nullopt;
  }

  const QueuedRequest* Front(TimePoint aNow) override
  {
    TeamQueue* team = this->NextTeam(aNow);
    return team == nullptr ? nullptr : &team->requests.begin()->second;
  }

  std::optional<QueuedRequest> Pop(TimePoint aNow) override
  {
    TeamQueue* team = this->NextTeam(aNow);
    if (team == nullptr) {
      return std::nullopt;
    }
    QueuedRequest request = std::move(team->requests.begin()->second);
    this->Erase(*team, team->requests.begin(), request.id);
    this->virtualTime = team->startTag;
    team->startTag += 1.0 / team->weight;
    this->OnDeparture(aNow);
    return request;
  }

  bool Remove(std::uint64_t aId) override
  {
    const auto place = this->positions.find(aId);
    if (place == this->positions.end()) {
      return false;
    }
    TeamQueue& team = this->teams[place->second.team];
    this->Erase(team, team.requests.find(place->second.rank), aId);
    return true;
  }

  void Expire(TimePoint aNow) override
  {
    for (auto& [name, team] : this->teams) {
      auto next = team.requests.begin();
      while (next != team.requests.end()) {
        const auto place = next++;
        if (place->second.deadline <= aNow) {
          this->Drop(team, place, QueueRefusal::DeadlinePassed);
        }
      }
    }
  }

  std::vector<DroppedRequest> TakeDropped() override
  {
    return std::exchange(this->dropped, {});
  }

  std::size_t Size() const override { return this->size; }

  Duration ExpectedWait(std::string_view aTeam, TimePoint aNow) const override
  {
    const auto place = this->teams.find(aTeam);
    if (place == this->teams.end()) {
      return this->EstimateWait(TeamQueue(), 0, aNow);
    }
    return this->EstimateWait(
      place->second, place->second.requests.size(), aNow);
  }

private:
  struct QueuePosition
  {
    std::string team;
    Rank rank;
  };
  using RequestMap = std::map<Rank, QueuedRequest>;

  /** Returns whether the response to a request sent at aStart is not expected
   * before the request's deadline. */
  static bool MissesDeadline(const QueuedRequest& aRequest, TimePoint aStart)
  {
    return aStart + aRequest.expectedLatency >= aRequest.deadline;
  }

  bool IsDeadlineUnreachable(const TeamQueue& aTeam,
                             const Rank& aRank,
                             const QueuedRequest& aRequest,
                             TimePoint aNow) const
  {
    if (this->size == 0) {
      return false;
    }
    const auto next = aTeam.requests.lower_bound(aRank);
    const auto ahead = std::distance(aTeam.requests.begin(), next);
    const Duration wait =
      this->EstimateWait(aTeam, static_cast<std::size_t>(ahead), aNow);
    return MissesDeadline(aRequest, aNow + wait);
  }

  /** Returns the expected wait of a request with aAhead other requests of its
   * team ahead of it; zero while the drain rate is unknown. */
  Duration EstimateWait(const TeamQueue& aTeam,
                        std::size_t aAhead,
                        TimePoint aNow) const
  {
    if (this->departures < kIntervalSamples || this->size == 0) {
      return Duration(0);
    }
    std::uint64_t weights = aTeam.weight;
    std::size_t others = 0;
    for (const auto& [name, team] : this->teams) {
      if (&team == &aTeam || team.requests.empty()) {
        continue;
      }
      weights += team.weight;
      others += team.requests.size();
    }
    const double turns = static_cast<double>(aAhead + 1);
    const double shared = turns * static_cast<double>(weights) / aTeam.weight;
    const double before = std::min(shared, turns + static_cast<double>(others));
    // If the time since the last departure exceeds the average interval between
    // departures, the queue is stalled. The time until the next departure is
    // then assumed to be at least as long as the time since the last one.
    const double stall =
      static_cast<double>((aNow - this->lastDeparture).count());
    const double wait = std::max(stall, this->departureInterval) +
                        (before - 1) * this->departureInterval;
    return Duration(static_cast<Duration::rep>(wait));
  }

  /** Drops the last request of the team that is furthest above its weighted
   * share. If that is aTeam, drops nothing and returns why its new request is
   * refused. */
  std::optional<QueueRefusal> DropOverShare(const TeamQueue& aTeam)
  {
    TeamQueue* largest = nullptr;
    double mostPerWeight =
      static_cast<double>(aTeam.requests.size() + 1) / aTeam.weight;
    bool others = false;
    for (auto& [name, team] : this->teams) {
      if (&team == &aTeam || team.requests.empty()) {
        continue;
      }
      others = true;
      const double perWeight =
        static_cast<double>(team.requests.size()) / team.weight;
      if (perWeight > mostPerWeight) {
        mostPerWeight = perWeight;
        largest = &team;
      }
    }
    if (largest == nullptr) {
      return others ? QueueRefusal::TeamShareFull : QueueRefusal::QueueFull;
    }
    this->Drop(*largest,
               std::prev(largest->requests.end()),
               QueueRefusal::TeamShareFull);
    return std::nullopt;
  }

  /** Returns the team to serve next, or null if no request is left. Drops the
   * first requests of each team until one can be answered in time. */
  TeamQueue* NextTeam(TimePoint aNow)
  {
    TeamQueue* next = nullptr;
    for (auto& [name, team] : this->teams) {
      this->DropLate(team, aNow);
      if (team.requests.empty()) {
        continue;
      }
      if (next == nullptr || team.startTag < next->startTag) {
        next = &team;
      }
    }
    return next;
  }

  /** Drops the first requests of the team whose deadline cannot be met: sending
   * them would only make the following requests late as well. */
  void DropLate(TeamQueue& aTeam, TimePoint aNow)
  {
    while (!aTeam.requests.empty()) {
      const QueuedRequest& first = aTeam.requests.begin()->second;
      if (first.deadline <= aNow) {
        this->Drop(aTeam, aTeam.requests.begin(), QueueRefusal::DeadlinePassed);
        continue;
      }
      if (MissesDeadline(first, aNow)) {
        this->Drop(
          aTeam, aTeam.requests.begin(), QueueRefusal::DeadlineUnreachable);
        continue;
      }
      return;
    }
  }

  void Drop(TeamQueue& aTeam, RequestMap::iterator aPlace, QueueRefusal aReason)
  {
    const std::uint64_t id = aPlace->second.id;
    this->dropped.push_back({ id, aReason });
    this->Erase(aTeam, aPlace, id);
  }

  void Erase(TeamQueue& aTeam, RequestMap::iterator aPlace, std::uint64_t aId)
  {
    aTeam.requests.erase(aPlace);
    this->positions.erase(aId);
    --this->size;
  }

  void OnDeparture(TimePoint aNow)
  {
    const auto sample =
      static_cast<double>((aNow - this->lastDeparture).count());
    this->lastDeparture = aNow;
    this->departureInterval =
      this->departures == 0
        ? sample
        : this->departureInterval +
            kIntervalWeight * (sample - this->departureInterval);
    ++this->departures;
  }

  std::size_t limit;
  std::size_t size = 0;
  std::uint64_t arrivals = 0;
  std::map<std::string, TeamQueue, std::less<>> teams;
  std::unordered_map<std::uint64_t, QueuePosition> positions;
  std::vector<DroppedRequest> dropped;
  /** Start tag of the request that was popped last. */
  double virtualTime = 0;
  /** Moving average of the time between departures while requests wait, in
   * ticks of Duration. */
  double departureInterval = 0;
  std::uint32_t departures = 0;
  TimePoint lastDeparture;
};

} // namespace

std::string_view
ToText(QueueRefusal aRefusal)
{
  switch (aRefusal) {
    case QueueRefusal::QueueFull:
      return "queue-full";
    case QueueRefusal::TeamShareFull:
      return "team-share-full";
    case QueueRefusal::DeadlineUnreachable:
      return "deadline-unreachable";
    case QueueRefusal::DeadlinePassed:
      return "deadline-passed";
  }
  throw InternalError("unknown queue refusal");
}

std::unique_ptr<RequestQueue>
MakeRequestQueue(std::string_view aName, std::size_t aLimit)
{
  if (aName == "naive") {
    return std::make_unique<NaiveQueue>(aLimit);
  }
  if (aName == "current") {
    return std::make_unique<CurrentQueue>(aLimit);
  }
  throw UserError("unknown request queue: " + std::string(aName));
}

} // namespace sequoiakeel
