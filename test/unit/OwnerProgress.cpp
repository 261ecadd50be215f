/**
 * Guards against an owner that is taken for healthy while it gets nowhere, and
 * against owners that replace one another without end.
 */
#include "OwnerProgress.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::seconds;

namespace {

const TimePoint kBegun{ seconds(100) };

} // namespace

TEST_CASE("a duty that never advances stalls from its beginning")
{
  OwnerProgress progress;
  CHECK(progress.StalledFor(kBegun) == Duration::zero());
  progress.Begin(OwnerDuty::LoadState, kBegun);
  progress.Begin(OwnerDuty::LoadState, kBegun + seconds(3));
  CHECK(progress.StalledFor(kBegun + seconds(5)) == seconds(5));
  progress.Advance(OwnerDuty::LoadState, kBegun + seconds(5));
  CHECK(progress.StalledFor(kBegun + seconds(6)) == seconds(1));
  progress.Finish(OwnerDuty::LoadState);
  CHECK(progress.StalledFor(kBegun + seconds(60)) == Duration::zero());
}

TEST_CASE("progress in one duty does not hide a stall in another")
{
  OwnerProgress progress;
  progress.Begin(OwnerDuty::ReadInbox, kBegun);
  progress.Begin(OwnerDuty::ReadRegistry, kBegun);
  progress.Advance(OwnerDuty::ReadRegistry, kBegun + seconds(8));
  CHECK(progress.StalledFor(kBegun + seconds(9)) == seconds(9));
}

TEST_CASE("owners that do not get further than others are left more time")
{
  StallLimit limit;
  limit.OwnerChanged();
  const Duration first = limit.Get();
  limit.OwnerChanged();
  CHECK(limit.Get() == 2 * first);
  limit.OwnerServes();
  limit.OwnerChanged();
  CHECK(limit.Get() == first);
  for (int i = 0; i < 100; ++i) {
    limit.OwnerChanged();
  }
  CHECK(limit.Get() > 2 * first);
  CHECK(limit.Get() < 100 * first);
}
