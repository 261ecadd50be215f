#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** One server of a fleet. Names are owned by the caller. */
struct FleetServer
{
  std::string_view name;
  /** Availability zone. */
  std::string_view zone;
};

/**
 * Returns the indices, ascending, of the servers that the entry aEntry uses:
 * of each availability zone the ones with the highest rendezvous hash of entry
 * and server, aSize in all, split between the zones by their number of
 * servers. All servers if the fleet has no more than aSize. A server that
 * joins or leaves changes at most a few members of the subset. Thread safe.
 */
std::vector<std::size_t>
ChooseSubset(std::string_view aEntry,
             std::span<const FleetServer> aServers,
             std::size_t aSize);

} // namespace sequoiakeel
