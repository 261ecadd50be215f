/**
 * Guards against starts in an availability zone that the operator has closed,
 * with a real scheduler process and a worker in each of two zones.
 */
#include "soak/SchedulerFixture.h"

#include <csignal>

using namespace sequoiakeel;

namespace {

/** Time within which a zone has to be closed. */
constexpr std::chrono::milliseconds kCloseWithin{ 5000 };

constexpr std::uint16_t kPort = 21800;
constexpr int kJobs = 10;
const std::string kRequest = "op/evacuate/z1";

class TwoZones : public soak::SchedulerFixture
{
public:
  TwoZones()
    : SchedulerFixture("closed-zone",
                       kPort,
                       { { "zone_close_ms", kCloseWithin.count() } },
                       nlohmann::json::object(),
                       { "z1", "z2" })
  {
    REQUIRE(this->Until([this] { return this->SubmitOne() == 200; }));
  }

  void Pass(std::chrono::milliseconds aTime)
  {
    const TimePoint end = std::chrono::steady_clock::now() + aTime;
    this->Until([end] { return std::chrono::steady_clock::now() > end; });
  }

  /** Submits jobs and waits until all of their tasks have started. */
  void RunJobs()
  {
    const std::uint64_t before = this->ledger.Starts();
    int accepted = 0;
    REQUIRE(this->Until([&] {
      accepted += this->SubmitOne() == 200 ? 1 : 0;
      return accepted == kJobs;
    }));
    REQUIRE(
      this->Until([&] { return this->ledger.Starts() >= before + kJobs; }));
  }
};

} // namespace

TEST_CASE("a zone takes no starts from the promised time on until it is opened")
{
  TwoZones system;
  system.RunJobs();
  system.Put(kRequest, nlohmann::json::object());
  system.Pass(kCloseWithin);
  const std::uint64_t before = system.ledger.StartsOn("z1");
  system.RunJobs();
  CHECK(system.ledger.StartsOn("z1") == before);
  system.store.Remove(kRequest);
  CHECK(system.Until([&] {
    system.SubmitOne();
    return system.ledger.StartsOn("z1") > before;
  }));
}

// Guards against a new owner that starts tasks before it knows which zones are
// closed.
TEST_CASE("a process that is killed and restarted starts nothing in the zone")
{
  TwoZones system;
  system.Put(kRequest, nlohmann::json::object());
  system.Pass(kCloseWithin);
  const std::uint64_t before = system.ledger.StartsOn("z1");
  system.process->Signal(SIGKILL);
  system.process->Wait();
  system.StartProcess();
  system.RunJobs();
  CHECK(system.ledger.StartsOn("z1") == before);
}
