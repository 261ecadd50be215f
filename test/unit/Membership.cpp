#include "Membership.h"

#include "Gossip.h"
#include "support/ManualClock.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20261204;

MemberRow
Row(const std::string& aName, std::uint64_t aHeartbeat = 10)
{
  MemberRow row;
  row.name = aName;
  row.zone = "a";
  row.region = "default";
  row.address = "127.0.0.1";
  row.port = 7000;
  row.role = MemberRole::Planner;
  row.incarnation = 100;
  row.heartbeat = aHeartbeat;
  return row;
}

GossipDatagram
From(const MemberRow& aRow)
{
  GossipDatagram datagram;
  datagram.sender = aRow.name;
  datagram.rows.push_back(aRow);
  return datagram;
}

std::uint64_t
HeartbeatOf(const Membership& aTable, const std::string& aName)
{
  const std::optional<Member> member = aTable.Find(aName);
  return member ? member->row.heartbeat : 0;
}

} // namespace

// Guards against a delayed datagram that reverts a member to an older state.
TEST_CASE("only a higher incarnation or heartbeat replaces a row")
{
  ManualClock clock;
  Membership table(Row("own"), clock);
  MemberRow row = Row("peer", 10);
  table.Merge(From(row));
  row.heartbeat = 9;
  row.leaving = true;
  table.Merge(From(row));
  CHECK(HeartbeatOf(table, "peer") == 10);
  CHECK_FALSE(table.Find("peer")->row.leaving);
  row.incarnation = 101;
  row.heartbeat = 1;
  table.Merge(From(row));
  CHECK(table.Find("peer")->row.leaving);
  row.incarnation = 100;
  row.heartbeat = 5000;
  table.Merge(From(row));
  CHECK(HeartbeatOf(table, "peer") == 1);
}

// Guards against losing a change of a row because a beat (compact heartbeat
// update) with a later heartbeat arrived first, either directly or through a
// member that has the later heartbeat but not the change.
TEST_CASE("a row is merged although a beat supplied a later heartbeat")
{
  ManualClock clock;
  Membership origin(Row("origin"), clock);
  Membership middle(Row("middle"), clock);
  Membership table(Row("own"), clock);
  std::mt19937_64 random(kSeed);
  MemberRow row = Row("peer", 10);
  middle.Merge(From(row));
  table.Merge(From(row));
  row.heartbeat = 12;
  row.configurationGeneration = 2;
  const MemberRow newerRow = row;
  // A beat consists of the member's hash, the low bits of its heartbeat and its
  // report about the store.
  const std::uint32_t hash = MemberHash("peer", row.incarnation);
  GossipDatagram beat;
  beat.sender = "origin";
  beat.beats.push_back(hash << (32 - kMemberHashBits) | 20U << 1 | 1U);
  middle.Merge(beat);
  table.Merge(beat);
  REQUIRE(HeartbeatOf(table, "peer") == 20);
  table.Merge(From(newerRow));
  CHECK(table.Find("peer")->row.configurationGeneration == 2);
  CHECK(HeartbeatOf(table, "peer") == 20);
  for (int round = 0; round < 10; ++round) {
    table.Merge(middle.Compose({}, random));
  }
  CHECK(table.Find("peer")->row.configurationGeneration == 2);
}

// Guards against a process that lets peers overwrite its own row.
TEST_CASE("the own row is not replaced by a row from a peer")
{
  ManualClock clock;
  Membership table(Row("own"), clock);
  MemberRow forged = Row("own", 9999);
  forged.leaving = true;
  GossipDatagram datagram = From(Row("peer"));
  datagram.rows.push_back(forged);
  table.Merge(datagram);
  CHECK_FALSE(table.Own().leaving);
}

// Guards against a dead member that is never removed, or is added again by an
// old row that is still being gossiped.
TEST_CASE("an unresponsive member is suspect, then removed, and stays removed")
{
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  Membership table(Row("own"), clock);
  table.Merge(From(Row("peer", 50)));
  clock.Advance(5s - 1ms);
  CHECK_FALSE(table.Find("peer")->suspect);
  clock.Advance(1ms);
  CHECK(table.Find("peer")->suspect);
  CHECK(table.Compose({}, random).rows.size() == 1);
  CHECK(table.Compose({}, random).beats.empty());
  clock.Advance(10s - 1ms);
  CHECK(table.Tick().empty());
  clock.Advance(1ms);
  CHECK(table.Tick() == std::vector<std::string>{ "peer" });
  table.Merge(From(Row("peer", 50)));
  CHECK_FALSE(table.Find("peer").has_value());
  table.Merge(From(Row("peer", 51)));
  CHECK(table.Find("peer").has_value());
}

// Guards against beats that do not renew a member, and against store reports
// that are updated only by full rows.
TEST_CASE("a beat renews a known member and reports an unknown one")
{
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  Membership sender(Row("sender"), clock);
  Membership table(Row("own"), clock);
  for (int index = 0; index < 40; ++index) {
    const MemberRow row = Row("peer-" + std::to_string(index));
    sender.Merge(From(row));
    if (index < 39) {
      table.Merge(From(row));
    }
  }
  clock.Advance(4s);
  for (int index = 0; index < 40; ++index) {
    MemberRow row = Row("peer-" + std::to_string(index), 50);
    row.storeReachable = false;
    sender.Merge(From(row));
  }
  std::vector<std::uint32_t> unknown;
  for (int round = 0; round < 6; ++round) {
    const MergeResult merged = table.Merge(sender.Compose({}, random));
    unknown.insert(unknown.end(), merged.unknown.begin(), merged.unknown.end());
  }
  clock.Advance(2s);
  for (int index = 0; index < 39; ++index) {
    const auto member = table.Find("peer-" + std::to_string(index));
    REQUIRE(member.has_value());
    CHECK_FALSE(member->suspect);
    CHECK_FALSE(member->row.storeReachable);
  }
  const std::uint32_t missing = MemberHash("peer-39", 100);
  CHECK((table.Find("peer-39").has_value() ||
         std::ranges::find(unknown, missing) != unknown.end()));
}

// Guards against a dead member that is renewed by the beats of another member
// with the same hash.
TEST_CASE("members with the same hash are renewed only by rows")
{
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  std::map<std::uint32_t, std::string> seen;
  std::string one;
  std::string two;
  for (int index = 0; two.empty(); ++index) {
    const std::string name = "member-" + std::to_string(index);
    const auto [found, isNew] = seen.emplace(MemberHash(name, 100), name);
    one = found->second;
    two = isNew ? "" : name;
  }
  Membership table(Row("own"), clock);
  table.Merge(From(Row(one, 10)));
  table.Merge(From(Row(two, 10)));
  for (int index = 0; index < 100; ++index) {
    table.Merge(From(Row("other-" + std::to_string(index), 10)));
  }
  clock.Advance(4s);
  GossipDatagram datagram = From(Row("peer", 1));
  datagram.beats = { MemberHash(one, 100) << (32 - kMemberHashBits) | 50 << 1 };
  table.Merge(datagram);
  CHECK(HeartbeatOf(table, one) == 10);
  CHECK(HeartbeatOf(table, two) == 10);
  for (int round = 0; round < 10; ++round) {
    const GossipDatagram sent = table.Compose({}, random);
    const auto holds = [&sent](const std::string& aName) {
      return std::ranges::find(sent.rows, aName, &MemberRow::name) !=
             sent.rows.end();
    };
    CHECK((holds(one) || holds(two)));
  }
}

// Guards against datagrams that exceed the maximum size, and against recent
// changes that are delayed by unchanged rows.
TEST_CASE("a datagram respects the size limit and has the newest changes")
{
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  MemberRow own = Row(std::string(60, 'o'));
  own.zone = std::string(60, 'z');
  own.region = std::string(60, 'r');
  Membership table(own, clock);
  for (int index = 0; index < 200; ++index) {
    table.Merge(From(Row("member-" + std::to_string(index), 10)));
  }
  clock.Advance(4s);
  MemberRow changed = Row("member-77", 60);
  changed.configurationGeneration = 5;
  table.Merge(From(changed));
  for (int round = 0; round < 100; ++round) {
    const GossipDatagram datagram = table.Compose({}, random);
    CHECK(EncodeDatagram(datagram).size() <= kMaxDatagramBytes);
    REQUIRE(datagram.rows.size() >= 2);
    CHECK(datagram.rows[0].name == own.name);
    CHECK(datagram.rows[1].name == "member-77");
  }
}

// Guards against a majority of outdated store reports that were delivered only
// now, for example after this process was paused.
TEST_CASE("only recent store reports of planners are counted")
{
  ManualClock clock;
  MemberRow own = Row("own");
  own.role = MemberRole::Entry;
  Membership table(own, clock);
  const auto report = [&](int aIndex, std::uint64_t aHeartbeat) {
    MemberRow row = Row("planner-" + std::to_string(aIndex), aHeartbeat);
    row.storeReachable = false;
    table.Merge(From(row));
  };
  for (int tenth = 0; tenth <= 60; tenth += 10) {
    for (int index = 0; index < 3; ++index) {
      report(index, 100 + tenth);
    }
    clock.Advance(1s);
  }
  CHECK(table.CountStoreReports(5).majorityUnreachable);
  CHECK_FALSE(table.CountStoreReports(6).majorityUnreachable);
  clock.Advance(2s);
  CHECK(table.CountStoreReports(5).majorityUnreachable);
  clock.Advance(1s);
  CHECK(table.CountStoreReports(5).unreachable == 0);
  // Written 2 s after the previous report; now about 2 s old.
  report(0, 180);
  // Now almost 4 s old, which is more than kStoreReportMaxAge.
  report(1, 161);
  report(2, 161);
  CHECK(table.CountStoreReports(5).unreachable == 1);
}

// Guards against rank changes among the remaining members when one is removed,
// and against one member that ranks first for most keys.
TEST_CASE("removing a member keeps the rendezvous order of the others")
{
  std::vector<std::string> names;
  for (int index = 0; index < 9; ++index) {
    names.push_back("planner-" + std::to_string(index));
  }
  std::map<std::string, int> wins;
  for (int key = 0; key < 900; ++key) {
    const std::string text = "cell-" + std::to_string(key);
    std::vector<std::string> ranked = RankByRendezvous(text, names);
    ++wins[ranked.front()];
    std::erase(ranked, "planner-4");
    std::vector<std::string> fewer = names;
    std::erase(fewer, "planner-4");
    CHECK(RankByRendezvous(text, fewer) == ranked);
  }
  for (const auto& [name, count] : wins) {
    CHECK(count > 60);
    CHECK(count < 150);
  }
}

// Guards against sending datagrams to members that cannot forward them.
TEST_CASE("peers are chosen among live members")
{
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  Membership table(Row("own"), clock);
  table.Merge(From(Row("silent")));
  clock.Advance(6s);
  MemberRow leaving = Row("leaving");
  leaving.leaving = true;
  table.Merge(From(leaving));
  for (int index = 0; index < 4; ++index) {
    table.Merge(From(Row("live-" + std::to_string(index))));
  }
  for (int draw = 0; draw < 100; ++draw) {
    const std::vector<MemberRow> peers = table.PickPeers(2, random);
    REQUIRE(peers.size() == 2);
    CHECK(peers[0].name != peers[1].name);
    CHECK(peers[0].name.starts_with("live-"));
    CHECK(peers[1].name.starts_with("live-"));
  }
}
