#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/**
 * Returns the indices of the servers that the entry aEntry uses, in ascending
 * order. Each server is used by the aEntriesPerServer entries with the highest
 * rendezvous hash of entry and server. No server is therefore used by more
 * entries than that as long as the entries agree on aEntries; aEntriesPerServer
 * is below entries_max to allow for entries that do not agree yet. All servers
 * are used if there are at most aEntriesPerServer entries. Adding or removing
 * an entry changes the users only of the servers for which that entry ranks
 * among the highest.
 *
 * aEntries must contain aEntry and no duplicates. Thread safe.
 */
std::vector<std::size_t>
ChooseSubset(std::string_view aEntry,
             std::span<const std::string_view> aEntries,
             std::span<const std::string_view> aServers,
             std::size_t aEntriesPerServer);

} // namespace sequoiakeel
