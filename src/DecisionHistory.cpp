#include "DecisionHistory.h"

#include <utility>

namespace sequoiakeel {

void
DecisionHistory::Add(const std::string& aJob,
                     std::string aEvent,
                     std::string aReason,
                     TimePoint aNow)
{
  this->Count(aEvent);
  Record& record = this->jobs[aJob];
  this->byUse.erase(record.used);
  record.used = ++this->sequence;
  this->byUse[record.used] = aJob;
  record.decisions.push_back({ aNow, std::move(aEvent), std::move(aReason) });
  if (record.decisions.size() > kDecisionsPerJob) {
    record.decisions.pop_front();
  }
  if (this->jobs.size() > kJobsRemembered) {
    this->DropOldest();
  }
}

std::vector<JobDecision>
DecisionHistory::Of(const std::string& aJob, TimePoint aNow) const
{
  std::vector<JobDecision> result;
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return result;
  }
  for (const Decision& decision : found->second.decisions) {
    const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - decision.at);
    result.push_back({ age.count(), decision.event, decision.reason });
  }
  return result;
}

void
DecisionHistory::DropOldest()
{
  const auto oldest = this->byUse.begin();
  this->jobs.erase(oldest->second);
  this->byUse.erase(oldest);
}

} // namespace sequoiakeel
