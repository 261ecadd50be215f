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

/** A planner that owns some cells and keeps accepted jobs in memory. Thread
 * safe. The io_context must stop before the object is destroyed. */
class FakePlanner
{
public:
  FakePlanner(boost::asio::io_context& aContext,
              std::string aName,
              std::vector<std::string> aCells);

  /** Returns the membership row of this planner. */
  MemberRow Row() const;

  /** The next aCount submissions are accepted, but their replies are lost. */
  void LoseReplies(int aCount);

  /** Refuses new jobs with aReason; an empty reason accepts them again. */
  void Refuse(const std::string& aReason);

  /** Sets the owned cells. The planner status still lists the cells passed to
   * the constructor. */
  void SetOwned(std::vector<std::string> aCells);

  /** Makes queries for the job in other cells report that it moved to aCell. */
  void MoveJob(const std::string& aJobId, const std::string& aCell);

  /** Returns the cell of each accepted job, by job id. */
  std::map<std::string, std::string> Jobs();

  /** Returns the ids of the cancelled jobs, in the order of the requests. */
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

/** A membership with fixed rows; the first is the own row. Thread safe. */
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
