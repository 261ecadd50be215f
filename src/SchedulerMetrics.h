#pragma once

#include "SchedulerObserver.h"
#include "TransactionalStore.h"

#include <memory>
#include <string>
#include <string_view>

namespace sequoiakeel {

/**
 * Counters and latency histograms of a scheduler process in the Prometheus text
 * format. Labels take values from fixed tables only. Thread safe.
 */
class SchedulerMetrics : public SchedulerObserver
{
public:
  SchedulerMetrics();
  SchedulerMetrics(const SchedulerMetrics&) = delete;
  SchedulerMetrics& operator=(const SchedulerMetrics&) = delete;
  ~SchedulerMetrics() override;

  void TaskStarted(Duration aWaited) override;
  void StartTurnedAway(OrderResult aResult) override;
  void RunEnded(RunEnd aEnd) override;
  void RunLost() override;
  void RunPreempted() override;
  void JobEnded(WorkflowState aState, Duration aAge) override;
  void FillersAdjusted() override;

  /** A caller's request was answered. aCall and aOutcome come from fixed
   * tables. */
  void CallerAnswered(std::string_view aCall,
                      std::string_view aOutcome,
                      Duration aElapsed);

  /** A call to the store ended. */
  void StoreAnswered(std::string_view aCall,
                     StoreResult aResult,
                     Duration aElapsed);

  /** Ownership of a cell was won or lost, for a reason of a fixed table. */
  void OwnershipChanged(std::string_view aChange);

  /** Returns all metrics in the text format. */
  std::string Export();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace sequoiakeel
