#include "ServerHealth.h"

#include "support/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Health check of twelve servers in three zones, with a manual clock. */
struct Fleet
{
  ManualClock clock;
  Random random{ 7 };
  ServerHealth health;

  Fleet()
  {
    for (ServerId id = 0; id < 12; ++id) {
      this->health.Add(id, id / 4);
    }
  }

  void Answer(ServerId aServer, Duration aLatency = milliseconds(40))
  {
    this->health.OnStart(aServer, this->clock.Now() - aLatency);
    this->health.OnResponse(aServer, aLatency, this->clock.Now());
  }

  void AnswerAll(int aTimes = 20)
  {
    for (int time = 0; time < aTimes; ++time) {
      for (ServerId id = 0; id < 12; ++id) {
        this->Answer(id);
      }
    }
  }

  void Fail(ServerId aServer)
  {
    this->health.OnStart(aServer, this->clock.Now());
    this->health.OnFailure(aServer, this->clock.Now());
  }

  void Tick(Duration aStep)
  {
    this->clock.Advance(aStep);
    this->health.Tick(this->clock.Now(), this->random);
  }
};

} // namespace

// Guards against a server that stays in use although it fails all requests,
// which makes it appear fast.
TEST_CASE("a half-dead server is ejected and readmitted after trial requests")
{
  Fleet fleet;
  fleet.AnswerAll();
  for (int failure = 0; failure < 4; ++failure) {
    fleet.Fail(5);
  }
  CHECK(fleet.health.State(5) == HealthState::Ejected);
  const std::vector<HealthChange> changes = fleet.health.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(ToText(changes[0].reason) == "half-dead");
  fleet.Tick(milliseconds(900));
  CHECK(fleet.health.State(5) == HealthState::Ejected);
  fleet.Tick(milliseconds(500));
  CHECK(fleet.health.State(5) == HealthState::Probation);
  CHECK(fleet.health.TrialAllowed(5));
  fleet.health.OnStart(5, fleet.clock.Now());
  CHECK_FALSE(fleet.health.TrialAllowed(5));
  fleet.health.OnFailure(5, fleet.clock.Now());
  // The next ejection is longer.
  CHECK(fleet.health.State(5) == HealthState::Ejected);
  fleet.Tick(milliseconds(1500));
  CHECK(fleet.health.State(5) == HealthState::Ejected);
  fleet.Tick(milliseconds(1200));
  for (int trial = 0; trial < 3; ++trial) {
    CHECK(fleet.health.State(5) == HealthState::Probation);
    fleet.Answer(5);
  }
  CHECK(fleet.health.State(5) == HealthState::Healthy);
}

// Guards against a server that fails most of its requests but never four in a
// row, so that consecutive failures do not eject it.
TEST_CASE("a failing server is ejected by its share of failures")
{
  Fleet fleet;
  for (int request = 0; request < 20; ++request) {
    fleet.Fail(3);
    fleet.Fail(3);
    fleet.Answer(3);
  }
  CHECK(fleet.health.State(3) == HealthState::Ejected);
  CHECK(fleet.health.TakeChanges()[0].reason == EjectionReason::Failing);
}

// Guards against the ejection of servers that are healthy but busy.
TEST_CASE("refusals do not eject a server")
{
  Fleet fleet;
  for (int refusal = 0; refusal < 50; ++refusal) {
    fleet.health.OnStart(1, fleet.clock.Now());
    fleet.health.OnRefusal(1, fleet.clock.Now());
  }
  CHECK(fleet.health.State(1) == HealthState::Healthy);
}

// Guards against requests that accumulate at a server that answers none.
TEST_CASE("a black hole is ejected before its requests time out")
{
  Fleet fleet;
  fleet.AnswerAll();
  fleet.health.OnStart(2, fleet.clock.Now());
  fleet.health.OnStart(2, fleet.clock.Now());
  fleet.Tick(milliseconds(150));
  CHECK(fleet.health.State(2) == HealthState::Healthy);
  fleet.Tick(milliseconds(100));
  CHECK(fleet.health.State(2) == HealthState::Ejected);
  CHECK(IsUnresponsive(fleet.health.TakeChanges()[0].reason));
}

// Guards against requests that are lost at one server after another of a failed
// zone, and against ejections when this entry itself is disconnected.
TEST_CASE("an unresponsive zone is ejected as a whole if others answer")
{
  Fleet fleet;
  fleet.AnswerAll();
  for (ServerId id = 0; id < 4; ++id) {
    fleet.health.OnStart(id, fleet.clock.Now());
  }
  SUBCASE("others answer")
  {
    fleet.clock.Advance(milliseconds(60));
    fleet.Answer(9);
    fleet.Tick(milliseconds(1));
    CHECK(fleet.health.EjectedCount() == 4);
    CHECK(fleet.health.State(0) == HealthState::Ejected);
    CHECK(fleet.health.State(4) == HealthState::Healthy);
    CHECK(fleet.health.TakeChanges()[0].reason == EjectionReason::ZoneSilent);
  }
  SUBCASE("nobody answers")
  {
    fleet.Tick(milliseconds(61));
    CHECK(fleet.health.EjectedCount() == 0);
  }
}

// Guards against a host slowed by batch tasks that delays one request in fifty,
// and against the ejection of so many slow servers that capacity is missing.
TEST_CASE("slow servers are ejected up to their share")
{
  Fleet fleet;
  fleet.AnswerAll();
  for (int response = 0; response < 60; ++response) {
    fleet.Answer(6, milliseconds(400));
    fleet.Answer(7, milliseconds(400));
  }
  fleet.Tick(milliseconds(1));
  CHECK(fleet.health.EjectedCount() == 1);
  CHECK(fleet.health.TakeChanges()[0].reason == EjectionReason::Slow);
}

// Guards against the ejection of so many servers that the others are
// overloaded.
TEST_CASE("at most half is ejected and more severe faults take precedence")
{
  Fleet fleet;
  fleet.AnswerAll();
  for (int response = 0; response < 60; ++response) {
    fleet.Answer(11, milliseconds(400));
  }
  fleet.Tick(milliseconds(1));
  CHECK(fleet.health.State(11) == HealthState::Ejected);
  for (ServerId id = 0; id < 12; ++id) {
    for (int failure = 0; failure < 6; ++failure) {
      fleet.Fail(id);
    }
    CHECK(fleet.health.EjectedCount() <= 6);
  }
  CHECK(fleet.health.EjectedCount() == 6);
  CHECK(fleet.health.State(0) == HealthState::Ejected);
  CHECK(fleet.health.State(11) != HealthState::Ejected);
  fleet.health.Remove(0);
  CHECK(fleet.health.EjectedCount() == 5);
}
