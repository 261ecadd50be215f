#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/**
 * Returns the indices, ascending, of the servers that the entry aEntry uses: a
 * server is used by the aEntriesPerServer entries with the highest rendezvous
 * hash of entry and server. So no server is used by more entries than that as
 * long as the entries agree on aEntries; aEntriesPerServer is below entries_max
 * to leave room for entries that do not agree yet. All servers if there are no
 * more entries than aEntriesPerServer. A change of one entry changes the
 * subsets only where that entry ranks among the highest.
 *
 * aEntries holds aEntry and has no duplicates. Thread safe.
 */
std::vector<std::size_t>
ChooseSubset(std::string_view aEntry,
             std::span<const std::string_view> aEntries,
             std::span<const std::string_view> aServers,
             std::size_t aEntriesPerServer);

} // namespace sequoiakeel
