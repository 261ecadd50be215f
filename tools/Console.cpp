#include "ConsolePages.h"
#include "EndpointText.h"
#include "Error.h"
#include "HttpServer.h"
#include "Log.h"
#include "Runtime.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace sequoiakeel;

namespace asio = boost::asio;

namespace {

constexpr int kExitUsage = 2;
constexpr unsigned kThreads = 2;
constexpr std::chrono::seconds kDrainTime{ 10 };

struct Options
{
  std::string listen = "127.0.0.1:8090";
  std::string entry;
  std::vector<std::string> hosts;
  std::string readyFile;
};

asio::awaitable<void>
StopAndEnd(HttpServer& aServer, Runtime& aRuntime)
{
  aServer.StopAccepting();
  const TimePoint deadline = std::chrono::steady_clock::now() + kDrainTime;
  const bool drained = co_await aServer.Drain(deadline);
  aRuntime.End(drained ? EXIT_SUCCESS : kExitForced);
}

int
RunConsole(Options aOptions)
{
  Endpoint listen = ParseEndpoint(aOptions.listen, 0);
  StartLogging("console", LogLevel::Info);
  Runtime runtime(kThreads);
  OperatorClient client(runtime.Context().get_executor(),
                        ParseEndpoint(aOptions.entry));
  std::unique_ptr<ConsolePages> pages;
  HttpServer server(runtime.Context(),
                    listen,
                    HttpServerLimits{},
                    [&pages](HttpRequest aRequest) {
                      return pages->Handle(std::move(aRequest));
                    });
  listen.port = server.Port();
  aOptions.hosts.push_back(FormatEndpoint(listen));
  pages = std::make_unique<ConsolePages>(
    client, std::move(aOptions.hosts), NewFormToken());
  server.Start();
  Event("console_ready").Add("url", "http://" + FormatEndpoint(listen) + "/");
  if (!aOptions.readyFile.empty()) {
    WriteFileAtomically(aOptions.readyFile,
                        "{\"port\": " + std::to_string(listen.port) + "}\n");
  }
  return runtime.Run([&] {
    asio::co_spawn(
      runtime.Context(), StopAndEnd(server, runtime), asio::detached);
  });
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Operators' console of sequoiakeel: forms for the configuration",
               "sequoiakeel-console");
  Options options;
  app.add_option("--listen", options.listen, "ADDRESS:PORT to serve on")
    ->capture_default_str();
  app
    .add_option("--entry",
                options.entry,
                "ADDRESS:PORT of the HTTP interface of any entry")
    ->envname("SEQUOIAKEEL_ENTRY")
    ->required();
  app.add_option("--host",
                 options.hosts,
                 "Additional HOST:PORT under which browsers reach the console");
  app.add_option(
    "--ready-file",
    options.readyFile,
    "File to which the bound port is written once the console is ready");
  app.set_version_flag("--version", SEQUOIAKEEL_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? EXIT_SUCCESS : kExitUsage;
  }
  try {
    return RunConsole(std::move(options));
  } catch (const UserError& error) {
    std::cerr << "sequoiakeel-console: " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "sequoiakeel-console: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
