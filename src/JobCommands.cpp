#include "JobCommands.h"

#include "ConfigurationWriter.h"
#include "Error.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <random>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kWaitPoll{ 500 };
/** Time without an answer about the job after which the wait command ends. It
 * is several times as long as a planner's lease and the hand-over of its cells
 * take together, so that the command outlasts the loss of a planner. */
constexpr std::chrono::seconds kMaxSilence{ 60 };

json
BodyOf(const ExchangeResult& aResult)
{
  json body = json::parse(aResult.response.body, nullptr, false);
  return body.is_object() ? body : json::object();
}

std::string
TextField(const json& aBody, const char* aName)
{
  const auto found = aBody.find(aName);
  const bool text = found != aBody.end() && found->is_string();
  return text ? found->get<std::string>() : std::string();
}

/** Throws UserError unless the text can be a job id. The id is inserted into
 * the path of a request without escaping. */
void
CheckJobId(const std::string& aJob)
{
  const bool plain =
    std::all_of(aJob.begin(), aJob.end(), [](unsigned char aByte) {
      return std::isalnum(aByte) != 0 || aByte == '.' || aByte == '-';
    });
  UserAssert(!aJob.empty() && plain, "'" + aJob + "' is not a job id");
}

void
CheckKey(const std::string& aKey)
{
  constexpr std::size_t kMaxKeyBytes = 200;
  const bool printable =
    std::all_of(aKey.begin(), aKey.end(), [](unsigned char aByte) {
      return aByte > 0x20 && aByte < 0x7f;
    });
  UserAssert(aKey.size() <= kMaxKeyBytes && printable,
             "the key must be at most 200 printable characters without spaces");
}

std::string
NewKey()
{
  constexpr const char* kDigits = "0123456789abcdef";
  std::random_device device;
  std::string key = "ctl-";
  for (int i = 0; i < 16; ++i) {
    key += kDigits[device() % 16];
  }
  return key;
}

/** Returns the exit code for the result of a call that changes state. */
CommandExit
ExitOf(const ExchangeResult& aResult)
{
  if (aResult.progress == ExchangeProgress::NotSent) {
    return CommandExit::NotRun;
  }
  if (!aResult.Complete()) {
    return CommandExit::Unknown;
  }
  const unsigned status = aResult.response.status;
  if (status >= 200 && status < 300) {
    return CommandExit::Ok;
  }
  if (status == 404) {
    return CommandExit::Failure;
  }
  const std::string_view outcome =
    aResult.response.headers.Get("Sequoiakeel-Outcome");
  if (outcome == "unknown" || status == 504) {
    return CommandExit::Unknown;
  }
  return status == 400 ? CommandExit::Findings : CommandExit::NotRun;
}

CommandResult
JobResult(CommandExit aExit,
          std::string aText,
          json aBody,
          const char* aOutcome)
{
  aBody["outcome"] = aOutcome;
  return CommandResult{ aExit, std::move(aText), aBody.dump(2) + "\n" };
}

/** Returns the command's result for a call that did not succeed. */
CommandResult
RefusedResult(const ExchangeResult& aResult, const std::string& aSource)
{
  const CommandExit exit = ExitOf(aResult);
  const Findings findings = FindingsOf(aResult.response.body);
  if (exit == CommandExit::Findings && !findings.Ok()) {
    return FindingsResult(aSource, findings);
  }
  const std::string reason = ReasonOf(aResult);
  if (exit == CommandExit::NotRun || exit == CommandExit::Findings) {
    return ErrorResult(exit, "not run: " + reason);
  }
  return ErrorResult(exit, reason);
}

CommandResult
UnknownSubmission(const ExchangeResult& aResult, const SubmitOptions& aOptions)
{
  json body = aResult.Complete() ? BodyOf(aResult) : json::object();
  const std::string job = TextField(body, "job_id");
  std::string text = "outcome unknown: " + ReasonOf(aResult) + "\n";
  text += job.empty() ? "" : "job id if it was accepted: " + job + "\n";
  text += "to find out, repeat with the same key, which makes no second job:\n"
          "  sequoiakeelctl submit " +
          aOptions.file + " --key " + aOptions.key + "\n";
  body["key"] = aOptions.key;
  body["error"] = ReasonOf(aResult);
  return JobResult(
    CommandExit::Unknown, std::move(text), std::move(body), "unknown");
}

std::string
ProgressLine(const std::string& aJob, const json& aStatus)
{
  const auto count = [&](const char* aName) {
    return std::to_string(aStatus.value(aName, 0u));
  };
  std::string line = aJob + ": " + TextField(aStatus, "state");
  const std::string reason = TextField(aStatus, "reason");
  line += reason.empty() ? "" : " (" + reason + ")";
  return line + ", tasks " + count("tasks_queued") + " queued, " +
         count("tasks_running") + " running, " + count("tasks_finished") +
         " finished, " + count("evictions") + " evictions";
}

/** Returns the command's result if the job has ended, otherwise empty. */
std::optional<CommandResult>
EndOfJob(const std::string& aJob, const json& aStatus)
{
  const std::string state = TextField(aStatus, "state");
  if (state != "finished" && state != "failed" && state != "cancelled") {
    return std::nullopt;
  }
  const CommandExit exit =
    state == "finished" ? CommandExit::Ok : CommandExit::JobFailed;
  return JobResult(
    exit, ProgressLine(aJob, aStatus) + "\n", aStatus, state.c_str());
}

std::string
ExplainText(const json& aBody)
{
  std::string text;
  const json none = json::array();
  for (const json& decision : aBody.value("decisions", none)) {
    const auto seconds = decision.value("age_ms", std::int64_t{ 0 }) / 1000;
    text += std::to_string(seconds) +
            " s ago: " + TextField(decision, "event") + ", " +
            TextField(decision, "reason") + "\n";
  }
  return text.empty() ? "no decisions are kept for this job\n" : text;
}

} // namespace

asio::awaitable<CommandResult>
SubmitCommand(OperatorClient& aClient, SubmitOptions aOptions)
{
  if (aOptions.key.empty()) {
    aOptions.key = NewKey();
  }
  CheckKey(aOptions.key);
  std::string spec = ReadTextFile(aOptions.file);
  HttpHeaders headers;
  headers.Set("Idempotency-Key", aOptions.key);
  headers.Set("Content-Type", "application/json");
  const ExchangeResult result = co_await aClient.Call(
    "POST", "/v1/jobs", std::move(spec), std::move(headers));
  const CommandExit exit = ExitOf(result);
  if (exit == CommandExit::Unknown) {
    co_return UnknownSubmission(result, aOptions);
  }
  if (exit != CommandExit::Ok) {
    co_return RefusedResult(result, aOptions.file);
  }
  json body = BodyOf(result);
  body["key"] = aOptions.key;
  std::string text = TextField(body, "job_id") + "\n";
  co_return JobResult(exit, std::move(text), std::move(body), "accepted");
}

asio::awaitable<CommandResult>
CancelCommand(OperatorClient& aClient, std::string aJob)
{
  CheckJobId(aJob);
  std::string target = "/v1/jobs/" + aJob;
  const ExchangeResult result =
    co_await aClient.Call("DELETE", std::move(target), {}, {});
  const CommandExit exit = ExitOf(result);
  if (exit == CommandExit::Unknown) {
    co_return ErrorResult(exit,
                          "outcome unknown: " + ReasonOf(result) +
                            "; cancelling again does no harm");
  }
  if (exit != CommandExit::Ok) {
    co_return RefusedResult(result, aJob);
  }
  // Query the state, since a job that had already ended is not "cancelled" but
  // keeps its state.
  target = "/v1/jobs/" + aJob;
  const ExchangeResult query =
    co_await aClient.Call("GET", std::move(target), {}, {});
  if (query.Complete() && query.response.status == 200) {
    json status = BodyOf(query);
    const std::string state = TextField(status, "state");
    std::string line = ProgressLine(aJob, status) + "\n";
    co_return JobResult(
      exit, std::move(line), std::move(status), state.c_str());
  }
  json body = BodyOf(result);
  co_return JobResult(
    exit, aJob + ": cancellation accepted\n", std::move(body), "cancelled");
}

asio::awaitable<CommandResult>
WaitCommand(OperatorClient& aClient, WaitOptions aOptions)
{
  CheckJobId(aOptions.job);
  const TimePoint start = std::chrono::steady_clock::now();
  TimePoint heard = start;
  const std::string target = "/v1/jobs/" + aOptions.job;
  std::string last = aOptions.job + ": not seen";
  while (true) {
    std::string copy = target;
    const ExchangeResult result =
      co_await aClient.Call("GET", std::move(copy), {}, {});
    const TimePoint now = std::chrono::steady_clock::now();
    if (result.Complete() && result.response.status == 200) {
      heard = now;
      const json status = BodyOf(result);
      std::optional<CommandResult> end = EndOfJob(aOptions.job, status);
      if (end) {
        co_return std::move(*end);
      }
      last = ProgressLine(aOptions.job, status);
    } else if (result.Complete() && result.response.status == 404) {
      co_return ErrorResult(CommandExit::Failure,
                            aOptions.job + ": " + ReasonOf(result));
    } else if (now - heard >= kMaxSilence) {
      co_return ErrorResult(CommandExit::NotRun,
                            aOptions.job + ": " + ReasonOf(result));
    }
    if (aOptions.progress) {
      aOptions.progress(last);
    }
    const bool limited = aOptions.timeout > std::chrono::seconds::zero();
    if (limited && now - start >= aOptions.timeout) {
      co_return ErrorResult(CommandExit::Failure, "not ended in time: " + last);
    }
    co_await SleepFor(kWaitPoll);
  }
}

asio::awaitable<CommandResult>
ExplainCommand(OperatorClient& aClient, std::string aJob)
{
  CheckJobId(aJob);
  std::string target = "/v1/jobs/" + aJob + "/explain";
  const ExchangeResult result =
    co_await aClient.Call("GET", std::move(target), {}, {});
  if (!result.Complete() || result.response.status != 200) {
    const bool absent = result.Complete() && result.response.status == 404;
    co_return ErrorResult(absent ? CommandExit::Failure : CommandExit::NotRun,
                          aJob + ": " + ReasonOf(result));
  }
  const json body = BodyOf(result);
  co_return JobResult(CommandExit::Ok, ExplainText(body), body, "ok");
}

} // namespace sequoiakeel
