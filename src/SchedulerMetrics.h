#pragma once

#include "RequestMemory.h"
#include "ResponseMemory.h"
#include "SchedulerObserver.h"
#include "TransactionalStore.h"

#include <memory>
#include <string>
#include <string_view>

namespace sequoiakeel {

/**
 * Counters and latency histograms of a scheduler process in the Prometheus text
 * format. Label values come from fixed tables, so that the number of time
 * series is bounded. Thread safe.
 */
class SchedulerMetrics : public SchedulerObserver
{
public:
  SchedulerMetrics();
  SchedulerMetrics(const SchedulerMetrics&) = delete;
  SchedulerMetrics& operator=(const SchedulerMetrics&) = delete;
  ~SchedulerMetrics() override;

  void TaskStarted(Duration aWaited) override;
  void StartRejected(WorkerCommandResult aResult) override;
  void RunEnded(RunEnd aEnd) override;
  void WorkerCrashed() override;
  void RunLost() override;
  void RunPreempted() override;
  void JobEnded(WorkflowState aState, Duration aAge) override;
  void ZonesClosed(std::size_t aCount) override;
  void FillersAdjusted() override;

  /** Records the latency of a caller's request. aCall and aOutcome must come
   * from fixed tables. */
  void CallerAnswered(std::string_view aCall,
                      std::string_view aOutcome,
                      Duration aElapsed);

  /** Records the latency of a call to the store. aCall must come from a fixed
   * table. */
  void StoreAnswered(std::string_view aCall,
                     StoreResult aResult,
                     Duration aElapsed);

  /** Counts a change of the ownership of a cell. aChange is the kind of change,
   * such as "won" or "lost". It must be one of a fixed set of names, which
   * bounds the number of time series. */
  void OwnershipChanged(std::string_view aChange);

  /** Sets what the connections of the process hold. */
  void SetRequestMemory(const RequestMemoryUsage& aUsage);

  /** Sets what the responses of workers hold. */
  void SetResponseMemory(const ResponseMemoryUsage& aUsage);

  /** Returns all metrics in the Prometheus text format. */
  std::string Export();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace sequoiakeel
