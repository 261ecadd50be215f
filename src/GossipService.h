#pragma once

#include "Gossip.h"
#include "MembershipView.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Settings of the gossip service of one process. */
struct GossipSettings
{
  /** Name, zone, region, role, address and port of this process. With port 0
   * the operating system assigns a port. Incarnation 0 is replaced by the
   * current time in microseconds. */
  MemberRow own;
  /** Endpoints through which this process joins: one of them is contacted in
   * each round while no other member is known, and periodically afterwards. */
  std::vector<GossipEndpoint> seeds;
  /** Seed of the random number generator that selects peers; with 0 a random
   * seed is used. */
  std::uint64_t randomSeed = 0;
};

/** Runs Gossip over a UDP socket. The constructor, SetOnGeneration and Start
 * are not thread safe; all other methods are. */
class GossipService : public MembershipView
{
public:
  /** Called with a member that announced a higher configuration generation than
   * this process has. Must not block; no lock of the service is held. */
  using OnGeneration = std::function<void(const MemberRow&)>;

  /** Binds the socket. aClock must outlive the service. Throws UserError if
   * the endpoint cannot be bound. */
  GossipService(boost::asio::any_io_executor aExecutor,
                const GossipSettings& aSettings,
                const Clock& aClock);
  ~GossipService() override;

  /** Sets the callback. Call before Start. */
  void SetOnGeneration(OnGeneration aCallback);

  /** Starts sending and receiving. Precondition: called once. */
  void Start();

  /** Closes the socket; no callback is started afterwards. May be called from
   * any thread and more than once. */
  void Stop();

  /** Returns the port that the socket is bound to. */
  std::uint16_t Port() const;

  MemberRow OwnRow() const override;
  std::vector<Member> Members() const override;
  StoreReports CountStoreReports(std::size_t aPlannersExpected) const override;
  void AnnounceGeneration(std::uint64_t aGeneration) override;

  /** Set fields of the own row. */
  void SetLoad(std::uint32_t aPermille);
  void SetStoreReachable(bool aReachable);

  /** Immediately notifies peers that this process is leaving; the peers forward
   * the notification to others. */
  void AnnounceLeaving();

  /** Record and query evidence about leaving hosts; new evidence is sent to
   * peers immediately, except that of SetDocumentLeaving, which stays local. */
  void SetHostList(std::uint64_t aRevision,
                   std::span<const std::string> aLeaving);
  void SetDocumentLeaving(std::span<const std::string> aLeaving);
  void ReportRefusal(std::string_view aHost);
  bool IsLeaving(std::string_view aHost) const;
  std::vector<std::string> LeavingHostNames() const;

  /** Returns whether this process is one of the two members of its availability
   * zone that poll the host list. */
  bool PollsHostList() const;

  GossipCounters Counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace sequoiakeel
