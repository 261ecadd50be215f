#include "EndpointText.h"
#include "Error.h"
#include "JobCommands.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <iostream>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

using namespace sequoiakeel;

namespace asio = boost::asio;

namespace {

constexpr const char* kFooter =
  "Exit codes: 0 ok, 1 failure, 2 findings or wrong usage, 3 lost race, "
  "4 not run or unavailable, 5 outcome unknown, 6 job failed or cancelled.";

using RemoteCommand =
  std::function<asio::awaitable<CommandResult>(OperatorClient&)>;

/** Values of the command-line options. */
struct Options
{
  std::string entry;
  bool json = false;
  std::string file;
  std::string host;
  std::string job;
  std::string key;
  std::string author = DefaultAuthor();
  std::optional<std::uint64_t> base;
  std::int64_t timeout = 0;
  bool progressShown = false;
  /** Action of the chosen subcommand; exactly one of the two is set. */
  std::function<CommandResult()> local;
  RemoteCommand remote;
};

asio::awaitable<CommandResult>
RunWith(OperatorClient& aClient, const RemoteCommand& aCommand)
{
  CommandResult result = co_await aCommand(aClient);
  co_return result;
}

CommandResult
RunRemote(const Options& aOptions)
{
  UserAssert(
    !aOptions.entry.empty(),
    "no entry given: use --entry ADDRESS:PORT or set SEQUOIAKEEL_ENTRY");
  asio::io_context context(1);
  OperatorClient client(context.get_executor(), ParseEndpoint(aOptions.entry));
  auto future =
    asio::co_spawn(context, RunWith(client, aOptions.remote), asio::use_future);
  context.run();
  return future.get();
}

CommandResult
RunChosen(const Options& aOptions)
{
  try {
    return aOptions.local ? aOptions.local() : RunRemote(aOptions);
  } catch (const UserError& error) {
    return ErrorResult(CommandExit::Findings, error.what());
  } catch (const std::exception& error) {
    return ErrorResult(CommandExit::Failure, error.what());
  }
}

int
Print(const CommandResult& aResult, bool aJson)
{
  if (aJson) {
    std::cout << aResult.json;
  } else if (aResult.exit == CommandExit::Ok) {
    std::cout << aResult.text;
  } else {
    std::cerr << aResult.text;
  }
  std::cout.flush();
  return static_cast<int>(aResult.exit);
}

/** Overwrites the current line of the terminal. */
void
ShowProgress(std::string_view aLine)
{
  std::fprintf(
    stderr, "\r\033[K%.*s", static_cast<int>(aLine.size()), aLine.data());
}

CLI::App*
AddFileCommand(CLI::App& aApp,
               Options& aOptions,
               const char* aName,
               const char* aDescription)
{
  CLI::App* command = aApp.add_subcommand(aName, aDescription);
  command->add_option("file", aOptions.file, "JSON file")->required();
  return command;
}

CLI::App*
AddJobCommand(CLI::App& aApp,
              Options& aOptions,
              const char* aName,
              const char* aDescription)
{
  CLI::App* command = aApp.add_subcommand(aName, aDescription);
  command->add_option("job", aOptions.job, "Job id")->required();
  return command;
}

void
AddAuthor(CLI::App* aCommand, Options& aOptions)
{
  aCommand
    ->add_option("--author",
                 aOptions.author,
                 "Author of the change; by default SEQUOIAKEEL_AUTHOR or the "
                 "user's name")
    ->capture_default_str();
}

void
AddConfigurationCommands(CLI::App& aApp, Options& aOptions)
{
  AddFileCommand(
    aApp, aOptions, "validate", "Check a configuration file without an entry")
    ->callback([&aOptions] {
      aOptions.local = [&aOptions] { return ValidateFile(aOptions.file); };
    });
  AddFileCommand(
    aApp, aOptions, "diff", "Compare a file with the active configuration")
    ->callback([&aOptions] {
      aOptions.remote = [&aOptions](OperatorClient& aClient) {
        return DiffCommand(aClient, aOptions.file);
      };
    });
  CLI::App* apply = AddFileCommand(
    aApp, aOptions, "apply", "Activate the configuration in a file");
  apply->add_option("--base",
                    aOptions.base,
                    "Generation that the change is based on; by default the "
                    "one in the file, else the active one");
  AddAuthor(apply, aOptions);
  apply->callback([&aOptions] {
    aOptions.remote = [&aOptions](OperatorClient& aClient) {
      return ApplyCommand(
        aClient, ApplyOptions{ aOptions.file, aOptions.base, aOptions.author });
    };
  });
  aApp.add_subcommand("get", "Print the active configuration")
    ->callback([&aOptions] { aOptions.remote = GetCommand; });
  aApp.add_subcommand("history", "List recent configuration changes")
    ->callback([&aOptions] { aOptions.remote = HistoryCommand; });
}

void
AddFleetCommands(CLI::App& aApp, Options& aOptions)
{
  aApp
    .add_subcommand("status", "Show entries, planners, cells and leaving hosts")
    ->callback([&aOptions] { aOptions.remote = StatusCommand; });
  for (const bool leaving : { true, false }) {
    CLI::App* command =
      aApp.add_subcommand(leaving ? "drain" : "undrain",
                          leaving ? "Stop assigning new work to a host"
                                  : "Resume assigning new work to a host");
    command->add_option("host", aOptions.host, "Host")->required();
    AddAuthor(command, aOptions);
    command->callback([&aOptions, leaving] {
      aOptions.remote = [&aOptions, leaving](OperatorClient& aClient) {
        return LeavingCommand(aClient, aOptions.host, leaving, aOptions.author);
      };
    });
  }
}

void
AddJobCommands(CLI::App& aApp, Options& aOptions)
{
  CLI::App* submit =
    AddFileCommand(aApp, aOptions, "submit", "Submit a job and print its id");
  submit->add_option(
    "--key", aOptions.key, "Idempotency key; by default a new one");
  submit->callback([&aOptions] {
    aOptions.remote = [&aOptions](OperatorClient& aClient) {
      return SubmitCommand(aClient,
                           SubmitOptions{ aOptions.file, aOptions.key });
    };
  });
  AddJobCommand(aApp, aOptions, "cancel", "Cancel a job")
    ->callback([&aOptions] {
      aOptions.remote = [&aOptions](OperatorClient& aClient) {
        return CancelCommand(aClient, aOptions.job);
      };
    });
  CLI::App* wait =
    AddJobCommand(aApp, aOptions, "wait", "Wait until a job has ended");
  wait
    ->add_option(
      "--timeout", aOptions.timeout, "Timeout in seconds; 0 for no limit")
    ->check(CLI::NonNegativeNumber);
  wait->callback([&aOptions] {
    aOptions.remote = [&aOptions](OperatorClient& aClient) {
      WaitOptions options;
      options.job = aOptions.job;
      options.timeout = std::chrono::seconds(aOptions.timeout);
      if (::isatty(STDERR_FILENO) == 1) {
        options.progress = [&aOptions](std::string_view aLine) {
          aOptions.progressShown = true;
          ShowProgress(aLine);
        };
      }
      return WaitCommand(aClient, std::move(options));
    };
  });
  AddJobCommand(
    aApp, aOptions, "explain", "Show the decisions on a job and their reasons")
    ->callback([&aOptions] {
      aOptions.remote = [&aOptions](OperatorClient& aClient) {
        return ExplainCommand(aClient, aOptions.job);
      };
    });
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Operators' command line of sequoiakeel", "sequoiakeelctl");
  Options options;
  app
    .add_option("--entry",
                options.entry,
                "ADDRESS:PORT of the HTTP interface of any entry")
    ->envname("SEQUOIAKEEL_ENTRY");
  app.add_flag("--json", options.json, "Print one JSON document");
  app.set_version_flag("--version", SEQUOIAKEEL_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(kFooter);
  AddConfigurationCommands(app, options);
  AddFleetCommands(app, options);
  AddJobCommands(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? EXIT_SUCCESS
                                : static_cast<int>(CommandExit::Findings);
  }
  const CommandResult result = RunChosen(options);
  if (options.progressShown) {
    ShowProgress("");
  }
  return Print(result, options.json);
}
