#include "Gossip.h"

#include "support/GossipNetwork.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

const GossipEndpoint kSource{ "127.0.0.1", 7000 };

MemberRow
Row(const std::string& aName)
{
  MemberRow row;
  row.name = aName;
  row.zone = "a";
  row.region = "default";
  row.address = kSource.address;
  row.port = kSource.port;
  row.incarnation = 100;
  row.heartbeat = 10;
  return row;
}

GossipDatagram
Sample()
{
  GossipDatagram datagram;
  datagram.sender = "peer";
  datagram.rows = { Row("peer"), Row("other") };
  LeavingEvidence evidence;
  evidence.host = "host-1";
  datagram.leaving = { evidence };
  datagram.beats = { 1, 2, 3 };
  datagram.wanted = { 4 };
  return datagram;
}

bool
Accepts(const GossipDatagram& aDatagram)
{
  return DecodeDatagram(EncodeDatagram(aDatagram), kSource).has_value();
}

} // namespace

// Guards against an encoding that omits a field.
TEST_CASE("a datagram is unchanged by encoding and decoding")
{
  CHECK(DecodeDatagram(EncodeDatagram(Sample()), kSource) == Sample());
}

// Guards against crashes and partial results on truncated datagrams.
TEST_CASE("every truncated or extended datagram is rejected")
{
  const std::string whole = EncodeDatagram(Sample());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeDatagram(whole.substr(0, size), kSource).has_value());
  }
  CHECK_FALSE(DecodeDatagram(whole + "x", kSource).has_value());
  CHECK_FALSE(DecodeDatagram(std::string(5000, '\x01'), kSource).has_value());
}

// Guards against a crash or an unbounded allocation caused by a corrupted
// byte. Every byte is changed, so each length, enumeration and bool is covered.
TEST_CASE("no corrupted byte crashes the decoder or inflates the result")
{
  const std::string whole = EncodeDatagram(Sample());
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const int value : { 0x00, 0x01, 0x02, 0x7f, 0x80, 0xff }) {
      std::string changed = whole;
      changed[at] = static_cast<char>(value);
      const auto datagram = DecodeDatagram(changed, kSource);
      if (!datagram) {
        continue;
      }
      CHECK(datagram->rows.size() + datagram->beats.size() < whole.size());
      CHECK(ToString(datagram->rows[0].role) != "invalid");
    }
  }
}

// Guards against accepting a forged sender or rows with invalid fields.
TEST_CASE("inconsistent datagrams are rejected")
{
  REQUIRE(Accepts(Sample()));
  GossipDatagram datagram = Sample();
  datagram.sender = "other";
  CHECK_FALSE(Accepts(datagram));
  datagram = Sample();
  datagram.rows.clear();
  CHECK_FALSE(Accepts(datagram));
  const std::vector<std::function<void(MemberRow&)>> faults{
    [](MemberRow& aRow) { aRow.name.clear(); },
    [](MemberRow& aRow) { aRow.name = std::string(61, 'n'); },
    [](MemberRow& aRow) { aRow.name = "two words"; },
    [](MemberRow& aRow) { aRow.address = "not an address"; },
    [](MemberRow& aRow) { aRow.port = 0; },
    [](MemberRow& aRow) { aRow.port = 70000; },
    [](MemberRow& aRow) { aRow.zone.clear(); },
    [](MemberRow& aRow) { aRow.heartbeat = 1ULL << 40; },
  };
  for (const auto& fault : faults) {
    datagram = Sample();
    fault(datagram.rows[1]);
    CHECK_FALSE(Accepts(datagram));
  }
  datagram = Sample();
  datagram.leaving[0].host.clear();
  CHECK_FALSE(Accepts(datagram));
  const std::string bytes = EncodeDatagram(Sample());
  CHECK_FALSE(DecodeDatagram(bytes, { "127.0.0.2", 7000 }).has_value());
  CHECK_FALSE(DecodeDatagram(bytes, { "127.0.0.1", 7001 }).has_value());
}

// Guards against invalid datagrams that are missing from the counters.
TEST_CASE("traffic and rejected datagrams are counted")
{
  ManualClock clock;
  Gossip gossip(Row("own"), { kSource }, clock, 1);
  gossip.Receive("nonsense", kSource);
  gossip.Receive(EncodeDatagram(Sample()), kSource);
  const std::vector<OutgoingDatagram> out = gossip.Round();
  CHECK(gossip.Counters().datagramsReceived == 2);
  CHECK(gossip.Counters().datagramsRejected == 1);
  CHECK(gossip.Counters().bytesReceived == 8 + EncodeDatagram(Sample()).size());
  CHECK(gossip.Counters().datagramsSent >= out.size());
}

// Guards against a membership that does not discover all members, removes live
// ones or keeps dead ones, at a size where not all rows fit into a datagram.
TEST_CASE("fifty members know each other despite loss; a dead one is removed")
{
  NetworkPlan plan;
  plan.members = 50;
  plan.seed = 50;
  plan.lossPercent = 10;
  GossipNetwork network(plan);
  network.Run(20s);
  network.Stop(7);
  for (int second = 0; second < 40; ++second) {
    network.Run(1s);
    for (std::size_t index = 0; index < network.Count(); ++index) {
      const std::size_t known = network.At(index).Table().Members().size();
      CHECK((index == 7 || known >= 49));
    }
  }
  for (std::size_t index = 0; index < network.Count(); ++index) {
    CHECK((index == 7 || network.At(index).Table().Members().size() == 49));
  }
}

// Guards against the two sides of a healed partition not discovering each
// other again.
TEST_CASE("the membership recovers after a partition of one hour")
{
  NetworkPlan plan;
  plan.seed = 9;
  GossipNetwork network(plan);
  network.Run(10s);
  network.blocked = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom < 4) != (aTo < 4);
  };
  network.Run(1h);
  CHECK(network.At(0).Table().Members().size() == 4);
  CHECK(network.At(8).Table().Members().size() == 5);
  network.blocked = nullptr;
  network.Run(30s);
  for (std::size_t index = 0; index < network.Count(); ++index) {
    CHECK(network.At(index).Table().Members().size() == 9);
  }
}
