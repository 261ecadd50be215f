#include "EntryService.h"
#include "Error.h"
#include "Log.h"
#include "Runtime.h"
#include "SettingsFile.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/asio/co_spawn.hpp>

using namespace sequoiakeel;

namespace asio = boost::asio;

namespace {

struct Options
{
  std::string settingsFile;
  std::string readyFile;
  bool check = false;
};

asio::awaitable<void>
StartAndReport(EntryService& aService, std::string aReadyFile)
{
  const bool ready = co_await aService.Start();
  if (ready && !aReadyFile.empty()) {
    WriteFileAtomically(
      aReadyFile,
      "{\"http_port\": " + std::to_string(aService.HttpPort()) +
        ", \"peer_port\": " + std::to_string(aService.PeerPort()) + "}\n");
  }
}

asio::awaitable<void>
StopAndEnd(EntryService& aService, Runtime& aRuntime)
{
  const bool drained = co_await aService.Stop();
  aRuntime.End(drained ? EXIT_SUCCESS : kExitForced);
}

/** Returns a completion handler that ends the process if a main coroutine
 * failed. */
auto
EndOnError(Runtime& aRuntime)
{
  return [&aRuntime](const std::exception_ptr& aError) {
    if (!aError) {
      return;
    }
    try {
      std::rethrow_exception(aError);
    } catch (const std::exception& error) {
      Event("entry_failed", LogLevel::Error).Add("error", error.what());
    }
    aRuntime.End(EXIT_FAILURE);
  };
}

int
RunEntry(const Options& aOptions, Settings aSettings)
{
  StartLogging(aSettings.name, ParseLogLevel(aSettings.logLevel));
  Runtime runtime(static_cast<unsigned>(aSettings.threads));
  EntryService service(runtime.Context(), std::move(aSettings));
  asio::co_spawn(runtime.Context(),
                 StartAndReport(service, aOptions.readyFile),
                 EndOnError(runtime));
  return runtime.Run([&service, &runtime] {
    asio::co_spawn(
      runtime.Context(), StopAndEnd(service, runtime), EndOnError(runtime));
  });
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Entry of sequoiakeel: routes requests and forwards jobs");
  Options options;
  app.add_option("--settings", options.settingsFile, "Settings file")
    ->required();
  app.add_flag("--check", options.check, "Check the settings and exit");
  app.add_option(
    "--ready-file",
    options.readyFile,
    "File to which the bound ports are written once the entry is ready");
  app.set_version_flag("--version", SEQUOIAKEEL_VERSION);
  CLI11_PARSE(app, argc, argv);
  try {
    Settings settings = LoadSettings(options.settingsFile);
    if (options.check) {
      std::cout << options.settingsFile << ": ok\n";
      return EXIT_SUCCESS;
    }
    return RunEntry(options, std::move(settings));
  } catch (const SettingsError& error) {
    std::cerr << error.what();
    return kExitSettingsInvalid;
  } catch (const std::exception& error) {
    std::cerr << "sequoiakeel-entry: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
