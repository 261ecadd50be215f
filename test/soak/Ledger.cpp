#include "Ledger.h"

namespace sequoiakeel::soak {

namespace {

/** After this many crashes under a task that crashes its workers, the task may
 * be started fewer than this many times more by processes in touch. */
constexpr int kCrashes = 3;

/** A task may be given up after this many crashes under it. */
constexpr int kCrashesToGiveUp = 2;

} // namespace

const StepPlan*
JobLedger::StepOf(const TaskName& aName) const
{
  const auto found = this->jobs.find(aName.job);
  if (found == this->jobs.end() || aName.step >= found->second.steps.size() ||
      aName.index >= found->second.steps[aName.step].count) {
    return nullptr;
  }
  return &found->second.steps[aName.step];
}

bool
JobLedger::StepDone(const JobPlan& aJob, std::uint32_t aStep) const
{
  for (std::uint32_t i = 0; i < aJob.steps[aStep].count; ++i) {
    if (!this->everDone.contains(FormatTaskName({ aJob.id, 0, aStep, i }))) {
      return false;
    }
  }
  return true;
}

void
JobLedger::RecordStart(const std::string& aWorker,
                       const std::string& aTask,
                       std::uint64_t aRun)
{
  ++this->starts;
  ++this->startsByWorker[aWorker];
  const std::string detail =
    aTask + " run " + std::to_string(aRun) + " on " + aWorker;
  const auto name = ParseTaskName(aTask);
  if (!name || this->StepOf(*name) == nullptr) {
    this->RecordViolation("a task runs that nobody submitted", detail);
    return;
  }
  const JobPlan& job = this->jobs.at(name->job);
  if (job.refused && !job.accepted && !job.uncertain) {
    this->RecordViolation("a refused job runs", detail);
  }
  if (job.crashes && name->step == 0 && name->index == 0) {
    this->CheckCrashLimit(aTask, detail);
  }
  if (name->step > 0 && !this->StepDone(job, name->step - 1)) {
    this->RecordViolation("a step starts before the one that it waits for",
                          detail);
  }
  auto& runs = this->running[aTask];
  if (!runs.empty()) {
    this->RecordViolation("a task runs twice at a time",
                          detail + ", also on " + runs.begin()->first);
  }
  runs.insert({ aWorker, aRun });
  if (this->acknowledged.contains(aTask)) {
    this->RecordViolation("a task starts after its end was acknowledged",
                          detail);
  }
  for (const std::uint64_t done : this->unacknowledged[aTask]) {
    this->startedAfterDone.insert({ aTask, done });
  }
}

void
JobLedger::CheckCrashLimit(const std::string& aTask, const std::string& aDetail)
{
  if (!this->inTouch || this->crashes[aTask] < kCrashes) {
    return;
  }
  if (++this->startsAfterCrashes[aTask] == kCrashes) {
    this->RecordViolation("a task that crashes its workers is started on",
                          aDetail + " after " +
                            std::to_string(this->crashes[aTask]) + " crashes");
  }
}

void
JobLedger::RecordRunEnded(const std::string& aWorker,
                          const std::string& aTask,
                          std::uint64_t aRun)
{
  this->running[aTask].erase({ aWorker, aRun });
}

void
JobLedger::RecordCompletion(const std::string& aTask, std::uint64_t aRun)
{
  this->unacknowledged[aTask].insert(aRun);
  this->everDone.insert(aTask);
}

void
JobLedger::RecordAcknowledgement(const std::string& aTask,
                                 std::uint64_t aRun,
                                 bool aLeaseLapsed)
{
  this->unacknowledged[aTask].erase(aRun);
  if (aLeaseLapsed) {
    return;
  }
  if (this->startedAfterDone.contains({ aTask, aRun })) {
    this->RecordViolation("a task started again although its end was taken in",
                          aTask + " run " + std::to_string(aRun));
  }
  this->acknowledged.insert(aTask);
}

void
JobLedger::RecordCompletionLost(const std::string& aTask, std::uint64_t aRun)
{
  this->unacknowledged[aTask].erase(aRun);
}

void
JobLedger::CheckReportedState(const std::string& aJob,
                              const std::string& aState)
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    this->RecordViolation("a job is shown that nobody submitted", aJob);
    return;
  }
  const JobPlan& job = found->second;
  if (aState == "completed") {
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      if (!this->StepDone(job, step)) {
        this->RecordViolation("a job is shown as completed with open tasks",
                              aJob);
        return;
      }
    }
  }
  if (aState == "cancelled" && !job.cancelSent) {
    this->RecordViolation("a job is shown as cancelled that nobody cancelled",
                          aJob);
  }
  const std::string first = FormatTaskName({ aJob, 0, 0, 0 });
  const bool givenUp = job.crashes && this->crashes[first] >= kCrashesToGiveUp;
  if (aState == "failed" && !givenUp) {
    this->RecordViolation("a job is shown as failed without a failed run",
                          aJob);
  }
}

std::size_t
JobLedger::Running(const std::string& aJob) const
{
  const std::string prefix = aJob + ".";
  std::size_t count = 0;
  for (auto it = this->running.lower_bound(prefix);
       it != this->running.end() && it->first.starts_with(prefix);
       ++it) {
    count += it->second.size();
  }
  return count;
}

void
JobLedger::RecordViolation(const std::string& aPromise,
                           const std::string& aDetail)
{
  this->broken.push_back(aPromise + ": " + aDetail);
}

} // namespace sequoiakeel::soak
