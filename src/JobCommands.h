#pragma once

#include "OperatorCommands.h"

namespace sequoiakeel {

/** Options of submit. */
struct SubmitOptions
{
  std::string file;
  /** Idempotency key; empty: a new one. */
  std::string key;
};

/** Options of wait. */
struct WaitOptions
{
  std::string job;
  /** Zero: without a limit. */
  std::chrono::seconds timeout{ 0 };
  /** Called with a line about the job after each poll; may be empty. */
  std::function<void(std::string_view)> progress;
};

/** Commands on jobs. They throw UserError for input that can't be read. The
 * client must outlive them. Thread safe. */
boost::asio::awaitable<CommandResult>
SubmitCommand(OperatorClient& aClient, SubmitOptions aOptions);
boost::asio::awaitable<CommandResult>
CancelCommand(OperatorClient& aClient, std::string aJob);
boost::asio::awaitable<CommandResult>
WaitCommand(OperatorClient& aClient, WaitOptions aOptions);
boost::asio::awaitable<CommandResult>
ExplainCommand(OperatorClient& aClient, std::string aJob);

} // namespace sequoiakeel
