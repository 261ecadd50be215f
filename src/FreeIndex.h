#pragma once

#include "generated/Resources.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sequoiakeel {

/** Finds workers with room without a look at each: a tree whose nodes hold the
 * largest free amounts below them. Not thread safe. */
class FreeIndex
{
public:
  /** aFree is the free amount of each worker; negative: accepts nothing. */
  explicit FreeIndex(std::span<const Resources> aFree);

  /** Changes one worker's free amount. aWorker must be below the size. */
  void Set(std::size_t aWorker, const Resources& aFree);

  /** Free amount of a worker. aWorker must be below the size. */
  const Resources& Free(std::size_t aWorker) const
  {
    return this->nodes[this->leaves + aWorker];
  }

  /** Sets aOut to the workers with room for aNeeded, in ascending order. */
  void Collect(const Resources& aNeeded, std::vector<std::size_t>& aOut) const;

  /** Sets aOut to the first aLimit workers with room for aNeeded from aStart
   * on, then from the beginning. aStart must be below the size. */
  void CollectFrom(const Resources& aNeeded,
                   std::size_t aStart,
                   std::size_t aLimit,
                   std::vector<std::size_t>& aOut) const;

private:
  /** Workers that a search looks for. */
  struct Search
  {
    const Resources& needed;
    std::size_t begin;
    std::size_t end;
    std::size_t limit;
  };

  /** Searches below a node whose leaves start at aFirst. */
  void Visit(const Search& aSearch,
             std::size_t aNode,
             std::size_t aFirst,
             std::size_t aWidth,
             std::vector<std::size_t>& aOut) const;

  std::size_t workers;
  /** Number of leaves, a power of two; node 1 is the root. */
  std::size_t leaves = 1;
  std::vector<Resources> nodes;
};

} // namespace sequoiakeel
