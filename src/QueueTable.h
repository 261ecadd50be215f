#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** A queue that receives the jobs submitted under a host name and path prefix.
 */
struct QueueRule
{
  std::string name;
  std::string hostName;
  std::string pathPrefix;
  /** Pool of workers that runs the queue's jobs. */
  std::string service;
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  std::uint32_t maxAttempts = 1;
  double objectiveStretch = 1.0;
  std::uint32_t objectiveMs = 0;
  /** Time limit of a response. */
  std::chrono::milliseconds timeout{ 3000 };
  /** Workers need an admission ticket from an external service. */
  bool needsTickets = false;
};

/** One version of the queue definitions. */
struct QueueTable
{
  std::uint64_t version = 0;
  std::vector<QueueRule> queues;
  std::size_t maxBodyBytes = 256 * 1024;

  /** Returns the queue of a host name with the longest prefix that a path
   * starts with, or null. Thread safe. */
  const QueueRule* Match(std::string_view aHostName,
                         std::string_view aPath) const;
};

/** Holds the active queue table. Thread safe. */
class ActiveQueues
{
public:
  /** Returns the active table, or null before the first activation. */
  std::shared_ptr<const QueueTable> Get() const;

  /** Activates a table if its version is higher than that of the active one;
   * returns whether it was activated. */
  bool Activate(QueueTable aTable);

private:
  mutable std::mutex mutex;
  std::shared_ptr<const QueueTable> active;
};

} // namespace sequoiakeel
