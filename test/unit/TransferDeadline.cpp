/**
 * Guards against a limit on an exchange that does not follow from what it
 * carries, and against a peer that is waited for although it sends nothing.
 */
#include "TransferDeadline.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kSilence{ 1000 };
constexpr std::size_t kSlowestLink = 10'000'000 / 8;
const TimePoint kBegun{ seconds(100) };

TransferDeadline
Begin(TransferTimeout aTimeout = TransferTimeout::Silence(kSilence))
{
  return TransferDeadline(kBegun, aTimeout);
}

/** Sends a request and receives aBytes with aBandwidth, in pieces; returns
 * whether the exchange was given up before. */
bool
GivesUp(std::size_t aBytes, std::size_t aBandwidth)
{
  constexpr std::size_t kPiece = 1000;
  TransferDeadline deadline = Begin();
  deadline.Sent(200, kBegun);
  TimePoint now = kBegun;
  for (std::size_t carried = 0; carried < aBytes; carried += kPiece) {
    now += std::chrono::nanoseconds(kPiece * 1'000'000'000 / aBandwidth);
    if (now > deadline.Expiry()) {
      return true;
    }
    deadline.Received(kPiece, now);
  }
  return false;
}

} // namespace

TEST_CASE("a peer that never answers is given up after the time-out")
{
  TransferDeadline deadline = Begin();
  deadline.Sent(200, kBegun + milliseconds(300));
  CHECK(deadline.Expiry() >= kBegun + kSilence);
  CHECK(deadline.Expiry() < kBegun + kSilence + milliseconds(2));
}

TEST_CASE("a peer that stops in the middle is given up after the time-out")
{
  TransferDeadline deadline = Begin();
  deadline.Sent(200, kBegun);
  deadline.Received(1'000'000, kBegun + milliseconds(800));
  CHECK(deadline.Expiry() == kBegun + milliseconds(800) + kSilence);
}

TEST_CASE("a response of any size completes on the slowest link")
{
  for (const std::size_t megabytes : { 1, 2, 8, 50 }) {
    CHECK(!GivesUp(megabytes * 1'000'000, kSlowestLink));
    CHECK(!GivesUp(megabytes * 1'000'000, kSlowestLink / 10));
  }
}

TEST_CASE("a peer that sends little at a time is given up")
{
  CHECK(GivesUp(1'000'000, 2000));
}

TEST_CASE("a large request may take the time that its link needs")
{
  constexpr std::size_t kBytes = 1'200'000;
  TransferDeadline deadline = Begin();
  deadline.Sent(kBytes, kBegun);
  CHECK(deadline.Expiry() >=
        kBegun + kSilence + seconds(kBytes / kSlowestLink));
  deadline.Received(100, kBegun + seconds(2));
  CHECK(deadline.Expiry() == kBegun + seconds(2) + kSilence);
}

TEST_CASE("the wait of a watch does not extend the time for its response")
{
  constexpr seconds kWait{ 2 };
  TransferDeadline deadline = Begin(TransferTimeout::Silence(kSilence, kWait));
  CHECK(deadline.Expiry() == kBegun + kWait + kSilence);
  deadline.Received(100, kBegun + milliseconds(100));
  CHECK(deadline.Expiry() == kBegun + milliseconds(100) + kSilence);
}

TEST_CASE("a limit on the whole exchange holds whatever it carries")
{
  TransferDeadline whole = Begin(seconds(3));
  whole.Received(5'000'000, kBegun + milliseconds(2500));
  CHECK(whole.Expiry() == kBegun + seconds(3));
  TransferDeadline both =
    Begin(TransferTimeout::Silence(kSilence).Within(seconds(3)));
  both.Received(5'000'000, kBegun + milliseconds(2500));
  CHECK(both.Expiry() == kBegun + seconds(3));
}
