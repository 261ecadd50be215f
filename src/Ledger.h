#pragma once

#include "generated/Resources.h"

#include <map>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Returns whether aNeed is at most aFree in each dimension. Thread safe. */
bool
Fits(const Resources& aNeed, const Resources& aFree);

/** Adds per dimension. Thread safe. */
Resources
Plus(const Resources& aLeft, const Resources& aRight);

/** Subtracts per dimension; the result may be negative. Thread safe. */
Resources
Minus(const Resources& aLeft, const Resources& aRight);

/**
 * Resources committed on each worker. A commitment counts the larger of the
 * declared size and the largest usage observed for the same attempt. Not thread
 * safe.
 */
class Ledger
{
public:
  /** Adds a worker or changes its capacity. If the new capacity is less than
   * the commitments on the worker, they stay, and Commit fails for this worker
   * until the sum is within the capacity again. */
  void SetCapacity(const std::string& aWorker, const Resources& aCapacity);

  /** Removes a worker. Precondition: nothing is committed on it. */
  void RemoveWorker(const std::string& aWorker);

  /** Commits aSize for a task and returns true, or returns false and changes
   * nothing if the worker is unknown, the task is committed already or the
   * worker would exceed its capacity. */
  bool Commit(const std::string& aWorker,
              const std::string& aTask,
              const Resources& aSize);

  /** Commits without checking the capacity. Used for commitments read from the
   * log: these exist even if they no longer fit the worker's current capacity.
   * Precondition: the worker is known. */
  void Restore(const std::string& aWorker,
               const std::string& aTask,
               const Resources& aSize);

  /** Raises a commitment to the observed usage where that is larger. Ignored if
   * the task has no commitment on the worker. */
  void Observe(const std::string& aWorker,
               const std::string& aTask,
               const Resources& aUsage);

  /** Releases a commitment. Precondition: it exists. */
  void Release(const std::string& aWorker, const std::string& aTask);

  /** Capacity minus commitments; negative where the worker is over its
   * capacity. Zero for an unknown worker. */
  Resources Free(const std::string& aWorker) const;

  /** Sum of the commitments on a worker. */
  Resources Committed(const std::string& aWorker) const;

  /** Number of commitments on a worker. */
  std::size_t Count(const std::string& aWorker) const;

  /** Returns whether each worker's commitments are within its capacity. */
  bool WithinCapacity() const;

private:
  struct Account
  {
    Resources capacity;
    Resources committed;
    std::map<std::string, Resources, std::less<>> tasks;
  };

  const Account* Find(const std::string& aWorker) const;

  std::map<std::string, Account, std::less<>> accounts;
};

} // namespace sequoiakeel
