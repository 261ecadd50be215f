#include "FreeIndex.h"

#include "PlacementViews.h"

#include <limits>

namespace sequoiakeel {

namespace {

constexpr Resources kNothing{ -1, -1, -1 };

} // namespace

FreeIndex::FreeIndex(std::span<const Resources> aFree)
  : workers(aFree.size())
{
  while (this->leaves < this->workers) {
    this->leaves *= 2;
  }
  this->nodes.assign(2 * this->leaves, kNothing);
  for (std::size_t i = 0; i < this->workers; ++i) {
    this->nodes[this->leaves + i] = aFree[i];
  }
  for (std::size_t node = this->leaves - 1; node >= 1; --node) {
    this->nodes[node] =
      Larger(this->nodes[2 * node], this->nodes[2 * node + 1]);
  }
}

void
FreeIndex::Set(std::size_t aWorker, const Resources& aFree)
{
  std::size_t node = this->leaves + aWorker;
  this->nodes[node] = aFree;
  while (node > 1) {
    node /= 2;
    this->nodes[node] =
      Larger(this->nodes[2 * node], this->nodes[2 * node + 1]);
  }
}

void
FreeIndex::Visit(std::size_t aNode,
                 const Resources& aNeeded,
                 std::vector<std::size_t>& aOut,
                 std::size_t aLimit) const
{
  if (aOut.size() >= aLimit || !Within(aNeeded, this->nodes[aNode])) {
    return;
  }
  if (aNode < this->leaves) {
    this->Visit(2 * aNode, aNeeded, aOut, aLimit);
    this->Visit(2 * aNode + 1, aNeeded, aOut, aLimit);
    return;
  }
  if (aNode - this->leaves < this->workers) {
    aOut.push_back(aNode - this->leaves);
  }
}

void
FreeIndex::Collect(const Resources& aNeeded,
                   std::vector<std::size_t>& aOut) const
{
  aOut.clear();
  this->Visit(1, aNeeded, aOut, std::numeric_limits<std::size_t>::max());
}

std::optional<std::size_t>
FreeIndex::First(const Resources& aNeeded) const
{
  std::vector<std::size_t> found;
  this->Visit(1, aNeeded, found, 1);
  return found.empty() ? std::nullopt : std::optional(found.front());
}

} // namespace sequoiakeel
