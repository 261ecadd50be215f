#include "ScheduledWorker.h"

#include "Error.h"

#include <algorithm>

namespace sequoiakeel {

Commitment*
ScheduledWorker::Find(const std::string& aTask)
{
  const auto found = this->commitments.find(aTask);
  return found == this->commitments.end() ? nullptr : &found->second;
}

void
ScheduledWorker::Commit(const std::string& aTask, Commitment aCommitment)
{
  this->AddToSums(aCommitment, 1);
  ++this->countByStep[aCommitment.stepKey];
  const bool added =
    this->commitments.emplace(aTask, std::move(aCommitment)).second;
  InternalAssert(added, "the task already has a commitment on this worker");
}

void
ScheduledWorker::Release(const std::string& aTask)
{
  const auto found = this->commitments.find(aTask);
  if (found == this->commitments.end()) {
    return;
  }
  this->AddToSums(found->second, -1);
  const auto step = this->countByStep.find(found->second.stepKey);
  if (--step->second == 0) {
    this->countByStep.erase(step);
  }
  this->commitments.erase(found);
}

void
ScheduledWorker::NoteFillerEnd(const Commitment& aCommitment, TimePoint aNow)
{
  if (!aCommitment.step.filler) {
    return;
  }
  std::erase_if(this->endedFillers, [aNow](const EndedFiller& aFiller) {
    return aNow - aFiller.endedAt > kFillerHistory;
  });
  this->endedFillers.push_back(EndedFiller{ aCommitment.step.image,
                                            aCommitment.FillerUse(),
                                            aCommitment.BeganAt(),
                                            aNow });
}

std::map<std::string, double>
ScheduledWorker::FillerShares(TimePoint aNow, Duration aWindow) const
{
  std::map<std::string, double> shares;
  const auto add = [&](const std::string& aImage,
                       std::int64_t aCpuMilli,
                       TimePoint aFrom,
                       TimePoint aUntil) {
    const Duration ran = aUntil - std::max(aFrom, aNow - aWindow);
    if (ran <= Duration::zero()) {
      return;
    }
    const double part = std::chrono::duration<double>(ran).count() /
                        std::chrono::duration<double>(aWindow).count();
    shares[aImage] += part * this->ShareOf(static_cast<double>(aCpuMilli));
  };
  for (const auto& [task, commitment] : this->commitments) {
    if (commitment.step.filler &&
        commitment.phase != CommitmentPhase::Starting) {
      add(commitment.step.image,
          commitment.FillerUse(),
          commitment.BeganAt(),
          aNow);
    }
  }
  for (const EndedFiller& filler : this->endedFillers) {
    add(filler.image, filler.cpuMilli, filler.beganAt, filler.endedAt);
  }
  return shares;
}

void
ScheduledWorker::AddToSums(const Commitment& aCommitment, int aSign)
{
  this->fillerSpare.reset();
  this->usedByShortRuns.reset();
  CommittedCapacity& sum = this->committed;
  const WorkflowStep& step = aCommitment.step;
  this->suspects += aCommitment.suspect ? aSign : 0;
  sum.unknownSizes += aCommitment.sizeKnown ? 0 : aSign;
  sum.memoryMb += aSign * static_cast<std::int64_t>(step.memoryMb);
  sum.accelerators += aSign * static_cast<std::int64_t>(step.accelerators);
  const std::int64_t cpu = aSign * static_cast<std::int64_t>(step.cpuMilli);
  if (step.filler) {
    sum.fillerCpuMilli += cpu;
    return;
  }
  sum.cpuMilli += cpu;
  if (step.latencyTargetMs > 0) {
    sum.servingCpuMilli += cpu;
  }
}

const WorkerCapacity&
ScheduledWorker::UsedByShortRuns() const
{
  if (this->usedByShortRuns) {
    return *this->usedByShortRuns;
  }
  WorkerCapacity& sum = this->usedByShortRuns.emplace();
  for (const auto& [task, commitment] : this->commitments) {
    if (!commitment.IsShort()) {
      continue;
    }
    const WorkflowStep& step = commitment.step;
    sum.cpuMilli += step.filler ? 0 : static_cast<std::int64_t>(step.cpuMilli);
    sum.memoryMb += static_cast<std::int64_t>(step.memoryMb);
    sum.accelerators += static_cast<std::int64_t>(step.accelerators);
  }
  return sum;
}

void
ScheduledWorker::MarkStopping(const std::string& aTask)
{
  Commitment* const commitment = this->Find(aTask);
  if (commitment == nullptr) {
    return;
  }
  commitment->phase = CommitmentPhase::Stopping;
  this->usedByShortRuns.reset();
}

bool
ScheduledWorker::AllRunsProven(TimePoint aNow,
                               const std::string& aExceptStep) const
{
  return std::all_of(
    this->commitments.begin(), this->commitments.end(), [&](const auto& aItem) {
      const Commitment& commitment = aItem.second;
      return commitment.IsProven(aNow) ||
             (!aExceptStep.empty() && commitment.stepKey == aExceptStep);
    });
}

bool
ScheduledWorker::IsolatesSuspect(TimePoint aNow) const
{
  return this->suspects > 0 &&
         std::any_of(this->commitments.begin(),
                     this->commitments.end(),
                     [aNow](const auto& aItem) {
                       return aItem.second.suspect &&
                              !aItem.second.IsProven(aNow);
                     });
}

bool
ScheduledWorker::Fits(const WorkflowStep& aStep) const
{
  return this->FitsBeside(this->reserved, aStep);
}

bool
ScheduledWorker::FitsBesideRuns(const WorkflowStep& aStep) const
{
  return this->FitsBeside(ReservedCapacity(), aStep);
}

bool
ScheduledWorker::FitsUntil(const WorkflowStep& aStep, TimePoint aEnd) const
{
  ReservedCapacity counted = this->reserved;
  for (const BackfillableReservation& reservation : this->backfillable) {
    if (reservation.expectedAt < aEnd) {
      continue;
    }
    counted.cpuMilli -= reservation.size.cpuMilli;
    counted.memoryMb -= reservation.size.memoryMb;
    counted.accelerators -= reservation.size.accelerators;
  }
  return this->FitsBeside(counted, aStep);
}

bool
ScheduledWorker::FitsBeside(const ReservedCapacity& aReserved,
                            const WorkflowStep& aStep) const
{
  const WorkerCapacity& room = this->description.capacity;
  const CommittedCapacity& used = this->committed;
  if (used.memoryMb + aReserved.memoryMb + aStep.memoryMb > room.memoryMb ||
      used.accelerators + aReserved.accelerators + aStep.accelerators >
        room.accelerators) {
    return false;
  }
  return aStep.filler ||
         used.cpuMilli + aReserved.cpuMilli + aStep.cpuMilli <= room.cpuMilli;
}

bool
ScheduledWorker::IsExceededFor(const WorkflowStep& aStep) const
{
  const WorkerCapacity& room = this->description.capacity;
  const CommittedCapacity& used = this->committed;
  const bool usesCpu = !aStep.filler && aStep.cpuMilli > 0;
  return (usesCpu && used.cpuMilli > room.cpuMilli) ||
         (aStep.memoryMb > 0 && used.memoryMb > room.memoryMb) ||
         (aStep.accelerators > 0 && used.accelerators > room.accelerators);
}

void
ScheduledWorker::Reserve(const WorkflowStep& aStep)
{
  this->reserved.cpuMilli += aStep.filler ? 0 : aStep.cpuMilli;
  this->reserved.memoryMb += aStep.memoryMb;
  this->reserved.accelerators += aStep.accelerators;
}

void
ScheduledWorker::ReserveBackfillable(const WorkflowStep& aStep,
                                     TimePoint aExpectedAt)
{
  this->Reserve(aStep);
  BackfillableReservation& reservation = this->backfillable.emplace_back();
  reservation.size.cpuMilli = aStep.filler ? 0 : aStep.cpuMilli;
  reservation.size.memoryMb = aStep.memoryMb;
  reservation.size.accelerators = aStep.accelerators;
  reservation.expectedAt = aExpectedAt;
}

double
ScheduledWorker::ShareOf(double aCpuMilli) const
{
  const std::int64_t processors =
    std::max<std::int64_t>(1, this->description.capacity.cpuMilli);
  return aCpuMilli / static_cast<double>(processors);
}

std::uint32_t
ScheduledWorker::CountOfStep(const std::string& aStepKey) const
{
  const auto found = this->countByStep.find(aStepKey);
  return found == this->countByStep.end() ? 0 : found->second;
}

std::uint64_t
ScheduledWorker::ClockAt(TimePoint aNow) const
{
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - this->clockReadAt);
  return this->clockReadingMs +
         static_cast<std::uint64_t>(std::max<std::int64_t>(0, elapsed.count()));
}

int
ScheduledWorker::FillerPercent(const std::string& aImage) const
{
  const auto found = this->fillerPercents.find(aImage);
  return found == this->fillerPercents.end() ? 100 : found->second;
}

double
ScheduledWorker::WorstLatencyRatio() const
{
  double worst = 0;
  for (const auto& [task, commitment] : this->commitments) {
    if (!commitment.HasLatencyTarget() ||
        commitment.phase != CommitmentPhase::Running) {
      continue;
    }
    worst = std::max(worst, commitment.LatencyRatio());
  }
  return worst;
}

} // namespace sequoiakeel
