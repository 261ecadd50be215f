#include "ServerSubset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace {

std::vector<std::string>
MakeNames(const std::string& aPrefix, std::size_t aCount)
{
  std::vector<std::string> names;
  for (std::size_t index = 0; index < aCount; ++index) {
    names.push_back(aPrefix + std::to_string(index));
  }
  return names;
}

} // namespace

using sequoiakeel::ChooseSubset;

// Guards against a worker that is used by more entries than the connection
// share allows for.
TEST_CASE("each server is used by exactly the allowed number of entries")
{
  const std::vector<std::string> entryNames = MakeNames("entry-", 40);
  const std::vector<std::string> serverNames = MakeNames("worker-", 220);
  const std::vector<std::string_view> entries(entryNames.begin(),
                                              entryNames.end());
  const std::vector<std::string_view> servers(serverNames.begin(),
                                              serverNames.end());
  std::vector<std::size_t> users(servers.size());
  for (const std::string_view entry : entries) {
    const std::vector<std::size_t> subset =
      ChooseSubset(entry, entries, servers, 9);
    CHECK(subset.size() > 25);
    CHECK(subset.size() < 80);
    for (const std::size_t index : subset) {
      ++users[index];
    }
  }
  CHECK(std::ranges::all_of(users, [](auto aUsers) { return aUsers == 9; }));
}

// Guards against the loss of most connections of a fleet when one entry is
// removed.
TEST_CASE("removing an entry changes only the servers that it used")
{
  const std::vector<std::string> entryNames = MakeNames("entry-", 40);
  const std::vector<std::string> serverNames = MakeNames("worker-", 220);
  const std::vector<std::string_view> entries(entryNames.begin(),
                                              entryNames.end());
  const std::vector<std::string_view> servers(serverNames.begin(),
                                              serverNames.end());
  const std::span<const std::string_view> fewer =
    std::span(entries).first(entries.size() - 1);
  const auto before = ChooseSubset(entries[0], entries, servers, 9);
  const auto after = ChooseSubset(entries[0], fewer, servers, 9);
  CHECK(std::ranges::includes(after, before));
  CHECK(after.size() <= before.size() + 10);
}

// Guards against unused workers in deployments with few entries.
TEST_CASE("a small deployment uses all servers")
{
  const std::vector<std::string> entryNames = MakeNames("entry-", 9);
  const std::vector<std::string> serverNames = MakeNames("worker-", 50);
  const std::vector<std::string_view> entries(entryNames.begin(),
                                              entryNames.end());
  const std::vector<std::string_view> servers(serverNames.begin(),
                                              serverNames.end());
  CHECK(ChooseSubset(entries[4], entries, servers, 9).size() == 50);
}
