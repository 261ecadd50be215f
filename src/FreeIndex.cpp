#include "FreeIndex.h"

#include "PlacementViews.h"

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
FreeIndex::Visit(const Search& aSearch,
                 std::size_t aNode,
                 std::size_t aFirst,
                 std::size_t aWidth,
                 std::vector<std::size_t>& aOut) const
{
  const bool outside =
    aFirst >= aSearch.end || aFirst + aWidth <= aSearch.begin;
  if (outside || aOut.size() >= aSearch.limit ||
      !Within(aSearch.needed, this->nodes[aNode])) {
    return;
  }
  if (aWidth == 1) {
    aOut.push_back(aFirst);
    return;
  }
  const std::size_t half = aWidth / 2;
  this->Visit(aSearch, 2 * aNode, aFirst, half, aOut);
  this->Visit(aSearch, 2 * aNode + 1, aFirst + half, half, aOut);
}

void
FreeIndex::Collect(const Resources& aNeeded,
                   std::vector<std::size_t>& aOut) const
{
  aOut.clear();
  const Search all{ aNeeded, 0, this->workers, this->workers };
  this->Visit(all, 1, 0, this->leaves, aOut);
}

void
FreeIndex::CollectFrom(const Resources& aNeeded,
                       std::size_t aStart,
                       std::size_t aLimit,
                       std::vector<std::size_t>& aOut) const
{
  aOut.clear();
  const Search after{ aNeeded, aStart, this->workers, aLimit };
  this->Visit(after, 1, 0, this->leaves, aOut);
  const Search before{ aNeeded, 0, aStart, aLimit };
  this->Visit(before, 1, 0, this->leaves, aOut);
}

} // namespace sequoiakeel
