#include "ServerSubset.h"

#include <cstdint>

namespace sequoiakeel {

namespace {

/** FNV-1a, 64 bits. Returns the same value in every process, as all entries
 * must compute the same ranks. */
std::uint64_t
Hash(std::string_view aText)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char byte : aText) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
  }
  return hash;
}

/** Combines two hashes so that the ranks of different pairs are independent
 * (finalizer of SplitMix64). */
std::uint64_t
Mix(std::uint64_t aEntry, std::uint64_t aServer)
{
  std::uint64_t mixed = aEntry + aServer * 0x9E3779B97F4A7C15ULL;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

} // namespace

std::vector<std::size_t>
ChooseSubset(std::string_view aEntry,
             std::span<const std::string_view> aEntries,
             std::span<const std::string_view> aServers,
             std::size_t aEntriesPerServer)
{
  std::vector<std::uint64_t> others;
  others.reserve(aEntries.size());
  for (const std::string_view name : aEntries) {
    if (name != aEntry) {
      others.push_back(Hash(name));
    }
  }
  const std::uint64_t own = Hash(aEntry);
  std::vector<std::size_t> subset;
  for (std::size_t index = 0; index < aServers.size(); ++index) {
    const std::uint64_t server = Hash(aServers[index]);
    const std::uint64_t rank = Mix(own, server);
    std::size_t higher = 0;
    for (const std::uint64_t other : others) {
      const std::uint64_t otherRank = Mix(other, server);
      const bool wins = otherRank > rank || (otherRank == rank && other > own);
      higher += wins ? 1 : 0;
    }
    if (higher < aEntriesPerServer) {
      subset.push_back(index);
    }
  }
  return subset;
}

} // namespace sequoiakeel
