/**
 * Guards against a process that reports that it is ready although it has not
 * been able to read the configuration for long, while the store answers it.
 */
#include "soak/SchedulerFixture.h"

using namespace sequoiakeel;

namespace {

constexpr std::uint16_t kPort = 22100;
const std::string kDocumentKey = "op/config";

} // namespace

TEST_CASE("a process that cannot read the configuration is not ready")
{
  soak::SchedulerFixture system("stale-configuration",
                                kPort,
                                nlohmann::json::object(),
                                nlohmann::json::object(),
                                { "z1" });
  const auto isReady = [&] { return system.ReadyStatus() == 200; };
  REQUIRE(system.Until(isReady));
  system.store.RejectReadsOf(kDocumentKey);
  CHECK(system.Until([&] { return !isReady(); }));
  // Callers whose connections stay are served with the last configuration.
  CHECK(system.SubmitOne() == 200);
  system.store.RejectReadsOf("");
  CHECK(system.Until(isReady));
}
