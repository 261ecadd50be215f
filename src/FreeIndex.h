#pragma once

#include "generated/Resources.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sequoiakeel {

/** Finds workers with enough free capacity without scanning all of them: a
 * binary tree in which each node holds, for each resource, the largest free
 * amount among the workers below it. Not thread safe. */
class FreeIndex
{
public:
  /** aFree holds the free capacity of each worker. A worker with a negative
   * amount is never found. */
  explicit FreeIndex(std::span<const Resources> aFree);

  /** Sets the free capacity of a worker. aWorker must be less than the number
   * of workers. */
  void Set(std::size_t aWorker, const Resources& aFree);

  /** Free capacity of a worker. aWorker must be less than the number of
   * workers. */
  const Resources& Free(std::size_t aWorker) const
  {
    return this->nodes[this->leaves + aWorker];
  }

  /** Sets aOut to the indices of the workers with at least aNeeded free, in
   * ascending order. */
  void Collect(const Resources& aNeeded, std::vector<std::size_t>& aOut) const;

  /** Sets aOut to the indices of the first aLimit workers with at least aNeeded
   * free. The search starts at aStart and wraps around to index 0. aStart must
   * be less than the number of workers. */
  void CollectFrom(const Resources& aNeeded,
                   std::size_t aStart,
                   std::size_t aLimit,
                   std::vector<std::size_t>& aOut) const;

private:
  /** Search for at most `limit` workers in [begin, end) with at least `needed`
   * free. */
  struct Search
  {
    const Resources& needed;
    std::size_t begin;
    std::size_t end;
    std::size_t limit;
  };

  /** Searches the subtree of aNode, whose leaves are the workers from aFirst to
   * aFirst + aWidth - 1, and appends the workers found to aOut. */
  void Visit(const Search& aSearch,
             std::size_t aNode,
             std::size_t aFirst,
             std::size_t aWidth,
             std::vector<std::size_t>& aOut) const;

  std::size_t workers;
  /** Number of leaves, a power of two. Node 1 is the root, and worker i is node
   * leaves + i. */
  std::size_t leaves = 1;
  std::vector<Resources> nodes;
};

} // namespace sequoiakeel
