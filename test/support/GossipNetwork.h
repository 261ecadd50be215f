#pragma once

#include "Gossip.h"
#include "support/ManualClock.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Parameters of a GossipNetwork. */
struct NetworkPlan
{
  std::size_t members = 9;
  std::uint64_t seed = 1;
  int lossPercent = 0;
  GossipOptions options;
  std::size_t zones = 3;
  /** Every second member is a planner until there are this many. */
  std::size_t plannersMax = 54;
};

/** Simulated members on an in-memory network with packet loss, driven by a
 * manual clock. Not thread safe. */
class GossipNetwork
{
public:
  /** Called when a member receives a higher generation than its own. */
  using OnGeneration =
    std::function<void(std::size_t aMember, const MemberRow& aAnnouncer)>;

  explicit GossipNetwork(NetworkPlan aPlan)
    : plan(aPlan)
    , random(aPlan.seed)
  {
    for (std::size_t index = 0; index < aPlan.members; ++index) {
      this->nodes.push_back(std::make_unique<Node>());
      this->Restart(index);
      std::uniform_int_distribution<int> phase(0, 999);
      this->nodes[index]->nextRound += std::chrono::milliseconds(phase(random));
    }
  }

  /** Restarts a member with an empty table and a new incarnation. */
  void Restart(std::size_t aIndex)
  {
    Node& node = *this->nodes[aIndex];
    node.gossip = std::make_unique<Gossip>(this->RowOf(aIndex),
                                           this->Seeds(),
                                           this->clock,
                                           this->plan.seed * 1000 + aIndex,
                                           this->plan.options);
    node.nextRound = this->clock.Now();
    node.paused = false;
    node.stopped = false;
    node.waiting.clear();
  }

  /** Datagrams to a stopped member are lost; those to a paused member are
   * delivered when it resumes. */
  void Stop(std::size_t aIndex) { this->nodes[aIndex]->stopped = true; }
  void Pause(std::size_t aIndex) { this->nodes[aIndex]->paused = true; }
  void Resume(std::size_t aIndex)
  {
    Node& node = *this->nodes[aIndex];
    node.paused = false;
    for (const DatagramInTransit& datagram : std::exchange(node.waiting, {})) {
      this->Deliver(datagram);
    }
  }

  /** If set, datagrams for which this returns true are lost. */
  std::function<bool(std::size_t aFrom, std::size_t aTo)> blocked;
  OnGeneration onGeneration;

  /** Advances the clock by aTime in steps of 10 ms. */
  void Run(Duration aTime)
  {
    const TimePoint end = this->clock.Now() + aTime;
    while (this->clock.Now() < end) {
      this->clock.Advance(kStep);
      this->DeliverDue();
      this->RunRounds();
    }
  }

  /** Runs until aDone returns true or aLimit has passed. Returns the simulated
   * time taken. */
  Duration RunUntil(const std::function<bool()>& aDone, Duration aLimit)
  {
    const TimePoint start = this->clock.Now();
    while (!aDone() && this->clock.Now() - start < aLimit) {
      this->Run(kStep);
    }
    return this->clock.Now() - start;
  }

  /** Sends datagrams from a member; some are lost as configured. */
  void Send(std::size_t aFrom, const std::vector<OutgoingDatagram>& aOut)
  {
    for (const OutgoingDatagram& datagram : aOut) {
      const std::size_t to = datagram.target.port - kFirstPort;
      std::uniform_int_distribution<int> percent(0, 99);
      if (percent(this->random) < this->plan.lossPercent ||
          (this->blocked && this->blocked(aFrom, to))) {
        continue;
      }
      this->inTransit.push_back(DatagramInTransit{
        this->clock.Now() + kLatency, aFrom, to, datagram.bytes });
    }
  }

  Gossip& At(std::size_t aIndex) { return *this->nodes[aIndex]->gossip; }
  bool IsUp(std::size_t aIndex) const
  {
    return !this->nodes[aIndex]->stopped && !this->nodes[aIndex]->paused;
  }
  std::size_t Count() const { return this->nodes.size(); }
  std::size_t IndexOf(const MemberRow& aRow) const
  {
    return aRow.port - kFirstPort;
  }

  ManualClock clock;

private:
  static constexpr std::chrono::milliseconds kStep{ 10 };
  static constexpr std::chrono::milliseconds kLatency{ 3 };
  static constexpr std::uint32_t kFirstPort = 20000;

  struct DatagramInTransit
  {
    TimePoint due;
    std::size_t from;
    std::size_t to;
    std::string bytes;
  };
  struct Node
  {
    std::unique_ptr<Gossip> gossip;
    TimePoint nextRound;
    bool paused = false;
    bool stopped = false;
    std::vector<DatagramInTransit> waiting;
  };

  MemberRow RowOf(std::size_t aIndex)
  {
    MemberRow row;
    const bool planner = aIndex % 2 == 1 && aIndex / 2 < this->plan.plannersMax;
    row.name = (planner ? "planner-" : "entry-") + std::to_string(aIndex);
    row.zone = "zone-" + std::to_string(aIndex % this->plan.zones);
    row.region = "default";
    row.address = "127.0.0.1";
    row.port = kFirstPort + static_cast<std::uint32_t>(aIndex);
    row.role = planner ? MemberRole::Planner : MemberRole::Entry;
    row.incarnation = ++this->incarnations;
    return row;
  }

  std::vector<GossipEndpoint> Seeds() const
  {
    return { { "127.0.0.1", kFirstPort }, { "127.0.0.1", kFirstPort + 1 } };
  }

  void DeliverDue()
  {
    std::vector<DatagramInTransit> due;
    while (!this->inTransit.empty() &&
           this->inTransit.front().due <= this->clock.Now()) {
      due.push_back(std::move(this->inTransit.front()));
      this->inTransit.pop_front();
    }
    for (const DatagramInTransit& datagram : due) {
      this->Deliver(datagram);
    }
  }

  void Deliver(const DatagramInTransit& aDatagram)
  {
    if (aDatagram.to >= this->nodes.size() ||
        this->nodes[aDatagram.to]->stopped) {
      return;
    }
    Node& node = *this->nodes[aDatagram.to];
    if (node.paused) {
      node.waiting.push_back(aDatagram);
      return;
    }
    const GossipEndpoint source{
      "127.0.0.1", kFirstPort + static_cast<std::uint32_t>(aDatagram.from)
    };
    this->Send(aDatagram.to, node.gossip->Receive(aDatagram.bytes, source));
    const std::optional<MemberRow> announcer = node.gossip->TakeNewGeneration();
    if (announcer && this->onGeneration) {
      this->onGeneration(aDatagram.to, *announcer);
    }
  }

  void RunRounds()
  {
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      Node& node = *this->nodes[index];
      if (!this->IsUp(index) || this->clock.Now() < node.nextRound) {
        continue;
      }
      node.nextRound = this->clock.Now() + kGossipInterval;
      this->Send(index, node.gossip->Round());
    }
  }

  NetworkPlan plan;
  std::mt19937_64 random;
  std::uint64_t incarnations = 1000;
  std::vector<std::unique_ptr<Node>> nodes;
  std::deque<DatagramInTransit> inTransit;
};

} // namespace sequoiakeel
