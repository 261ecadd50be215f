#pragma once

#include "OperatorCommands.h"

namespace sequoiakeel {

/** Options of the submit command. */
struct SubmitOptions
{
  std::string file;
  /** Idempotency key; if empty, a new one is generated. */
  std::string key;
};

/** Options of the wait command. */
struct WaitOptions
{
  std::string job;
  /** Longest time to wait for the end of the job; zero means no limit. */
  std::chrono::seconds timeout{ 0 };
  /** Called with a line on the job's progress after each poll; may be empty. */
  std::function<void(std::string_view)> progress;
};

/** Commands on jobs. They throw UserError for an invalid job id or key and for
 * a file that can't be read. The client must outlive them. Thread safe. */
boost::asio::awaitable<CommandResult>
SubmitCommand(OperatorClient& aClient, SubmitOptions aOptions);
boost::asio::awaitable<CommandResult>
CancelCommand(OperatorClient& aClient, std::string aJob);
boost::asio::awaitable<CommandResult>
WaitCommand(OperatorClient& aClient, WaitOptions aOptions);
boost::asio::awaitable<CommandResult>
ExplainCommand(OperatorClient& aClient, std::string aJob);

} // namespace sequoiakeel
