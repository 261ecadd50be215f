#pragma once

#include "Clock.h"
#include "generated/Messages.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * The most recent decisions on each job, for operators. Memory is bounded:
 * kDecisionsPerJob decisions for each of the kJobsRemembered jobs with the most
 * recent decisions. The history is not durable; a new owner of the cell starts
 * with an empty one. Not thread safe.
 */
class DecisionHistory
{
public:
  /** Adds a decision. Beyond kDecisionsPerJob the oldest decision of the job is
   * dropped; beyond kJobsRemembered, the job whose last decision is oldest. */
  void Add(const std::string& aJob,
           std::string aEvent,
           std::string aReason,
           TimePoint aNow);

  /** Counts a decision that concerns no single job. */
  void Count(const std::string& aEvent) { ++this->counts[aEvent]; }

  /** Returns how often each kind of decision was added or counted. */
  const std::map<std::string, std::uint64_t>& Counts() const
  {
    return this->counts;
  }

  /** Returns a job's decisions, oldest first. */
  std::vector<JobDecision> Of(const std::string& aJob, TimePoint aNow) const;

private:
  struct Decision
  {
    TimePoint at;
    std::string event;
    std::string reason;
  };
  struct Record
  {
    std::uint64_t used = 0;
    std::deque<Decision> decisions;
  };

  void DropOldest();

  std::map<std::string, std::uint64_t> counts;
  std::uint64_t sequence = 0;
  std::map<std::string, Record> jobs;
  /** Job ids by the sequence number of their last decision, oldest first. */
  std::map<std::uint64_t, std::string> byUse;
};

inline constexpr std::size_t kDecisionsPerJob = 32;
inline constexpr std::size_t kJobsRemembered = 2000;

} // namespace sequoiakeel
