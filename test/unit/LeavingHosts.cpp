#include "LeavingHosts.h"

#include "support/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

using Names = std::vector<std::string>;

LeavingEvidence
Report(const std::string& aHost, std::uint32_t aAgeMs)
{
  LeavingEvidence evidence;
  evidence.host = aHost;
  evidence.ageMs = aAgeMs;
  return evidence;
}

} // namespace

// Guards against reports that expire too early or too late, and against an
// expiry of hosts that the host list or the configuration document names.
TEST_CASE("refusals and reports expire, the list and the document do not")
{
  ManualClock clock;
  LeavingHosts hosts(clock);
  CHECK(hosts.ReportRefusal("refusing"));
  CHECK(hosts.Merge(Report("reported", 10000)));
  hosts.SetHostList(7, Names{ "listed" });
  hosts.SetDocument(Names{ "written" });
  CHECK(hosts.All() == Names{ "listed", "refusing", "reported", "written" });
  clock.Advance(20s);
  CHECK(hosts.All() == Names{ "listed", "refusing", "written" });
  clock.Advance(10s);
  hosts.Tick();
  CHECK(hosts.All() == Names{ "listed", "written" });
  clock.Advance(24h);
  hosts.Tick();
  CHECK(hosts.All() == Names{ "listed", "written" });
  hosts.SetHostList(8, Names{});
  hosts.SetDocument(Names{});
  CHECK(hosts.All().empty());
}

// Guards against a report that never expires because two peers send it to each
// other and its age starts anew each time.
TEST_CASE("a report keeps its age when it is forwarded")
{
  ManualClock clock;
  LeavingHosts one(clock);
  LeavingHosts two(clock);
  one.ReportRefusal("host");
  for (int second = 0; second < 30; ++second) {
    CHECK(two.IsLeaving("host") == (second > 0));
    for (const LeavingEvidence& evidence : one.Next(4, 600)) {
      two.Merge(evidence);
    }
    for (const LeavingEvidence& evidence : two.Next(4, 600)) {
      one.Merge(evidence);
    }
    clock.Advance(1s);
  }
  CHECK_FALSE(one.IsLeaving("host"));
  CHECK_FALSE(two.IsLeaving("host"));
  CHECK(one.Next(4, 600).empty());
}

// Guards against a stale copy of the host list, from a poll or from a peer,
// that overwrites a newer one.
TEST_CASE("an entry of the host list is replaced only by a higher revision")
{
  ManualClock clock;
  LeavingHosts hosts(clock);
  LeavingEvidence evidence = Report("host", 0);
  evidence.listRevision = 12;
  CHECK(hosts.Merge(evidence));
  hosts.SetHostList(10, Names{});
  CHECK(hosts.IsLeaving("host"));
  evidence.withdrawn = true;
  evidence.listRevision = 11;
  CHECK_FALSE(hosts.Merge(evidence));
  CHECK(hosts.IsLeaving("host"));
  CHECK(hosts.SetHostList(13, Names{}));
  CHECK_FALSE(hosts.IsLeaving("host"));
  evidence.withdrawn = false;
  evidence.listRevision = 12;
  CHECK_FALSE(hosts.Merge(evidence));
  CHECK_FALSE(hosts.IsLeaving("host"));
  CHECK_FALSE(hosts.SetHostList(9, Names{ "host" }));
  CHECK_FALSE(hosts.IsLeaving("host"));
}

// Guards against an update to the peers for each request that a leaving host
// refuses, and against renewals that are never sent to the peers.
TEST_CASE("a repeated refusal is forwarded after a third of its lifetime")
{
  ManualClock clock;
  LeavingHosts hosts(clock);
  CHECK(hosts.ReportRefusal("host"));
  clock.Advance(9s);
  CHECK_FALSE(hosts.ReportRefusal("host"));
  clock.Advance(10s);
  CHECK(hosts.ReportRefusal("host"));
  clock.Advance(29s);
  CHECK(hosts.IsLeaving("host"));
}

// Guards against old evidence that takes the space of new evidence in the
// datagrams, and against datagrams that exceed their size.
TEST_CASE("new evidence is sent first and the rest round robin within the size")
{
  ManualClock clock;
  LeavingHosts hosts(clock);
  hosts.SetHostList(1, Names{ "h1", "h2", "h3" });
  CHECK(hosts.NextUnsent(600).size() == 3);
  CHECK(hosts.NextUnsent(600).empty());
  hosts.ReportRefusal("new");
  CHECK(hosts.Next(1, 600).front().host == "new");
  std::set<std::string> seen;
  for (int turn = 0; turn < 3; ++turn) {
    seen.insert(hosts.Next(1, 600).front().host);
  }
  CHECK(seen == std::set<std::string>{ "h1", "h2", "h3" });
  CHECK(hosts.Next(4, 21 + 3).size() == 1);
  CHECK(hosts.Next(4, 10).empty());
}
