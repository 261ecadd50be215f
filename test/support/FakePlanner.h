#pragma once

#include "MembershipView.h"
#include "PeerRpc.h"
#include "generated/Messages.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A planner that accepts jobs in memory, as the owner of some cells. Thread
 * safe. The io_context must stop before the object ends. */
class FakePlanner
{
public:
  FakePlanner(boost::asio::io_context& aContext,
              std::string aName,
              std::vector<std::string> aCells);

  /** Returns its row in the membership. */
  MemberRow Row() const;

  /** The next aCount submissions are accepted, but their replies are lost. */
  void LoseReplies(int aCount);

  /** Refuses submissions with a reason; empty: accepts them. */
  void Refuse(const std::string& aReason);

  /** Sets the cells that it owns; it still reports the ones it had at first. */
  void SetOwned(std::vector<std::string> aCells);

  /** Records that a job of its cells moved. */
  void MoveJob(const std::string& aJobId, const std::string& aCell);

  /** Returns the accepted jobs with the cell of each. */
  std::map<std::string, std::string> Jobs();

  /** Returns the jobs that were cancelled. */
  std::vector<std::string> Cancelled();

private:
  bool Owns(const std::string& aCell) const;
  SubmitReply Submit(const SubmitJob& aJob);
  SubmitReply Cancel(const CancelJob& aJob);
  JobStatus Query(const QueryJob& aJob);
  PlannerStatusReply Status() const;

  std::string name;
  std::vector<std::string> reported;
  PeerServer server;
  std::mutex mutex;
  std::vector<std::string> owned;
  std::map<std::string, std::string> jobs;
  std::map<std::string, std::string> moved;
  std::vector<std::string> cancelled;
  std::string refusal;
  int loseReplies = 0;
};

/** A membership that does not change by itself. Thread safe. */
class FixedMembership : public MembershipView
{
public:
  explicit FixedMembership(std::vector<MemberRow> aRows);

  MemberRow OwnRow() const override;
  std::vector<Member> Members() const override;
  StoreReports CountStoreReports(std::size_t aPlannersExpected) const override;
  void AnnounceGeneration(std::uint64_t aGeneration) override;

private:
  std::vector<MemberRow> rows;
};

} // namespace sequoiakeel
