/**
 * Guards against a write of many large records whose response, should it
 * conflict, is over the limit, so that the same write is sent again for good.
 */
#include "ResponseMemory.h"
#include "TransactionalStore.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

/** Fills a transaction with records of aBytes; returns their number. */
std::size_t
Fill(std::size_t aBytes)
{
  StoreTransaction change;
  change.expect.push_back({ "owner", 1 });
  while (change.HasRoomFor(aBytes)) {
    const std::string key = std::to_string(change.puts.size());
    change.expect.push_back({ key, 1 });
    change.puts.push_back({ key, std::string(aBytes, 'x') });
  }
  REQUIRE(change.Size() <= kMaxTransactionEntries);
  return change.puts.size();
}

} // namespace

TEST_CASE("small records fill the entries of a transaction")
{
  CHECK(Fill(1000) == 15);
}

TEST_CASE("large records stay below the limit of a response")
{
  constexpr std::size_t kRecord = 300'000;
  CHECK(Fill(kRecord) * kRecord * 3 / 2 < ResponseLimits().maxBodyBytes);
  CHECK(Fill(kRecord) > 1);
}

TEST_CASE("a record of the largest size is written alone")
{
  CHECK(Fill(2 * kMaxTransactionBytes) == 1);
}
