#pragma once

#include "ConfigurationAgent.h"
#include "support/GossipNetwork.h"
#include "support/ScriptedStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Simulated processes, each with a ConfigurationAgent, that share a
 * GossipNetwork and a ScriptedStore. Not thread safe. */
class ConfigurationFleet
{
public:
  explicit ConfigurationFleet(NetworkPlan aPlan)
    : network(aPlan)
  {
    this->processes.resize(aPlan.members);
    this->network.onGeneration = [this](std::size_t aMember,
                                        const MemberRow& aAnnouncer) {
      if (this->processes[aMember].agent) {
        this->Agent(aMember).OnGenerationAnnounced(aAnnouncer);
      }
    };
    for (std::size_t index = 0; index < aPlan.members; ++index) {
      this->StartAgent(index);
    }
  }

  /** Replaces the agent of a member with a new one without a configuration. */
  void StartAgent(std::size_t aIndex)
  {
    Process& process = this->processes[aIndex];
    process.view = std::make_unique<View>(*this, aIndex);
    process.activated.clear();
    ConfigurationTimes times;
    times.startupWindow = std::chrono::milliseconds(40);
    times.retryDelay = std::chrono::milliseconds(1);
    process.agent = std::make_unique<ConfigurationAgent>(
      this->context.get_executor(),
      this->store,
      *process.view,
      [this, aIndex](MemberRow aPeer, FetchConfiguration aRequest) {
        return this->Fetch(aIndex, std::move(aPeer), aRequest);
      },
      [](std::string_view) { return Findings(); },
      [&process](std::uint64_t aGeneration, const std::string&) {
        process.activated.push_back(aGeneration);
      },
      times);
  }

  /** Advances the manual clock by aTime. Each running process polls once a
   * second. */
  void Run(Duration aTime)
  {
    const TimePoint end = this->network.clock.Now() + aTime;
    while (this->network.clock.Now() < end) {
      this->network.Run(std::chrono::milliseconds(10));
      if (this->network.clock.Now() >= this->nextPoll) {
        this->nextPoll += std::chrono::seconds(1);
        this->PollAll();
      }
      this->context.restart();
      this->context.poll();
    }
  }

  /** Runs a coroutine to completion and returns its result. */
  template<typename Result>
  Result Await(boost::asio::awaitable<Result> aTask)
  {
    std::optional<Result> result;
    boost::asio::co_spawn(this->context,
                          std::move(aTask),
                          [&result](std::exception_ptr aError, Result aResult) {
                            if (aError) {
                              std::rethrow_exception(aError);
                            }
                            result = std::move(aResult);
                          });
    while (!result) {
      this->context.restart();
      if (this->context.run_one() == 0) {
        throw std::runtime_error(
          "the coroutine is blocked and cannot complete");
      }
    }
    return std::move(*result);
  }

  ApplyResult Apply(std::size_t aIndex,
                    const std::string& aDocument,
                    std::uint64_t aBase,
                    const std::string& aAuthor = "ann")
  {
    return this->Await(this->Agent(aIndex).Apply(aDocument, aBase, aAuthor));
  }

  ConfigurationAgent& Agent(std::size_t aIndex)
  {
    return *this->processes[aIndex].agent;
  }

  /** Returns the generations that a process activated, in order of
   * activation. */
  const std::vector<std::uint64_t>& Activated(std::size_t aIndex) const
  {
    return this->processes[aIndex].activated;
  }

  /** Returns the number of running processes whose active generation is
   * aGeneration. */
  std::size_t CountAt(std::uint64_t aGeneration)
  {
    std::size_t count = 0;
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      count += this->network.IsUp(index) &&
                   this->Agent(index).Generation() == aGeneration
                 ? 1
                 : 0;
    }
    return count;
  }

  GossipNetwork network;
  ScriptedStore store;
  boost::asio::io_context context;
  /** If set, may modify each reply; gets the indexes of the requesting and the
   * replying process. */
  std::function<void(std::size_t aFrom, std::size_t aTo, ConfigurationReply&)>
    modifyReply;

private:
  class View : public MembershipView
  {
  public:
    View(ConfigurationFleet& aFleet, std::size_t aIndex)
      : fleet(aFleet)
      , index(aIndex)
    {
    }
    MemberRow OwnRow() const override { return this->Table().Own(); }
    std::vector<Member> Members() const override
    {
      return this->Table().Members();
    }
    StoreReports CountStoreReports(std::size_t aExpected) const override
    {
      return this->Table().CountStoreReports(aExpected);
    }
    void AnnounceGeneration(std::uint64_t aGeneration) override
    {
      Gossip& gossip = this->fleet.network.At(this->index);
      gossip.AnnounceGeneration(aGeneration);
      this->fleet.network.Send(this->index, gossip.Flush());
    }

  private:
    const Membership& Table() const
    {
      return this->fleet.network.At(this->index).Table();
    }
    ConfigurationFleet& fleet;
    std::size_t index;
  };

  struct Process
  {
    std::unique_ptr<View> view;
    std::unique_ptr<ConfigurationAgent> agent;
    std::vector<std::uint64_t> activated;
  };

  boost::asio::awaitable<std::optional<ConfigurationReply>>
  Fetch(std::size_t aFrom, MemberRow aPeer, FetchConfiguration aRequest)
  {
    const std::size_t to = this->network.IndexOf(aPeer);
    const bool cut = this->network.blocked && this->network.blocked(aFrom, to);
    if (!this->network.IsUp(to) || cut) {
      co_return std::nullopt;
    }
    ConfigurationReply reply = this->Agent(to).ReplyTo(aRequest);
    if (this->modifyReply) {
      this->modifyReply(aFrom, to, reply);
    }
    co_return reply;
  }

  void PollAll()
  {
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      if (this->network.IsUp(index)) {
        boost::asio::co_spawn(
          this->context, this->Agent(index).Poll(), boost::asio::detached);
      }
    }
  }

  std::vector<Process> processes;
  TimePoint nextPoll = this->network.clock.Now();
};

} // namespace sequoiakeel
