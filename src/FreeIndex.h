#pragma once

#include "generated/Resources.h"

#include <cstddef>
#include <optional>
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

  /** First worker with room for aNeeded. */
  std::optional<std::size_t> First(const Resources& aNeeded) const;

private:
  void Visit(std::size_t aNode,
             const Resources& aNeeded,
             std::vector<std::size_t>& aOut,
             std::size_t aLimit) const;

  std::size_t workers;
  /** Number of leaves, a power of two; node 1 is the root. */
  std::size_t leaves = 1;
  std::vector<Resources> nodes;
};

} // namespace sequoiakeel
