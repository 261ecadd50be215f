#include "OperatorCommands.h"

#include "ConfigurationCheck.h"
#include "Error.h"
#include "StatusText.h"

#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <pwd.h>
#include <sstream>
#include <unistd.h>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

json
FindingsToJson(const Findings& aFindings)
{
  json list = json::array();
  for (const Finding& finding : aFindings.All()) {
    list.push_back(json{ { "place", finding.place },
                         { "line", finding.line },
                         { "message", finding.message } });
  }
  return list;
}

CommandResult
Result(CommandExit aExit, std::string aText, const json& aJson)
{
  return CommandResult{ aExit, std::move(aText), aJson.dump(2) + "\n" };
}

std::string
ListPlaces(const std::vector<std::string>& aPlaces)
{
  std::string text;
  for (const std::string& place : aPlaces) {
    text += "  " + (place.empty() ? "(the whole document)" : place) + "\n";
  }
  return text;
}

constexpr const char* kAbsent = "(absent)";

/** Parses a document and removes the fields that are set when a document is
 * applied. */
json
WithoutHead(std::string_view aDocument)
{
  json document = json::parse(aDocument);
  for (const char* name : { "generation", "write_id", "author" }) {
    document.erase(name);
  }
  return document;
}

/** Returns the value at a JSON Pointer as JSON text, or kAbsent if there is
 * none. */
std::string
ValueAt(const json& aDocument, const std::string& aPlace)
{
  try {
    return aDocument.at(json::json_pointer(aPlace)).dump();
  } catch (const json::exception&) {
    return kAbsent;
  }
}

CommandResult
LostRaceResult(const ChangeReport& aReport)
{
  std::string text = "not applied: lost the race";
  text += aReport.winner.empty() ? "" : " to " + aReport.winner;
  text += "\nthe change is based on generation " +
          std::to_string(aReport.base) + ", in force is generation " +
          std::to_string(aReport.generation) + "\n";
  if (!aReport.differences.empty()) {
    text += "fields that differ from the document in force:\n" +
            ListPlaces(aReport.differences);
  }
  text += "nothing of this change is in force; merge with what `get` prints "
          "and apply again\n";
  return Result(CommandExit::LostRace,
                std::move(text),
                json{ { "outcome", "lost-race" },
                      { "base", aReport.base },
                      { "winner", aReport.winner },
                      { "generation", aReport.generation },
                      { "differences", aReport.differences } });
}

/** Returns the parsed response of a read-only call. If the call failed, returns
 * nothing and describes the failure in aFailure. */
std::optional<json>
ReadResponse(const OperatorClient& aClient,
             const ExchangeResult& aResult,
             CommandResult& aFailure)
{
  if (!aResult.Complete() || aResult.response.status != 200) {
    aFailure =
      ErrorResult(CommandExit::NotRun,
                  "entry " + aClient.Entry() + ": " + ReasonOf(aResult));
    return std::nullopt;
  }
  json body = json::parse(aResult.response.body, nullptr, false);
  if (body.is_discarded()) {
    aFailure =
      ErrorResult(CommandExit::Failure,
                  "entry " + aClient.Entry() + ": the response is not JSON");
    return std::nullopt;
  }
  return body;
}

CommandResult
UnreachableResult(const OperatorClient& aClient, const std::string& aError)
{
  return ErrorResult(CommandExit::NotRun,
                     "entry " + aClient.Entry() + ": " + aError);
}

/** Returns the names of the cells in a document, or an empty list if the
 * document is not a JSON object. */
std::vector<std::string>
CellNames(const std::string& aDocument)
{
  std::vector<std::string> names;
  const json document = json::parse(aDocument, nullptr, false);
  if (!document.is_object()) {
    return names;
  }
  for (const json& cell : document.value("cells", json::array())) {
    names.push_back(cell.value("name", ""));
  }
  return names;
}

std::string
HistoryText(const json& aHistory)
{
  std::string text;
  for (const json& change : aHistory) {
    text += "generation " +
            std::to_string(change.value("generation", std::uint64_t{ 0 })) +
            " by " + change.value("author", "") + "\n" +
            ListPlaces(change.value("changed", std::vector<std::string>{}));
  }
  return text;
}

} // namespace

std::vector<DocumentChange>
DocumentChanges(std::string_view aBefore, std::string_view aAfter)
{
  const json before = WithoutHead(aBefore);
  const json after = WithoutHead(aAfter);
  std::map<std::string, std::size_t> appended;
  std::vector<DocumentChange> changes;
  for (const json& operation : json::diff(before, after)) {
    DocumentChange change;
    change.place = operation.at("path").get<std::string>();
    change.before = ValueAt(before, change.place);
    const auto value = operation.find("value");
    change.after = value == operation.end() ? kAbsent : value->dump();
    if (change.place.ends_with("/-")) {
      // JSON Patch denotes an item appended to an array by "-" instead of an
      // index; replace it by the index of the new item.
      change.place.pop_back();
      const json::json_pointer list(
        change.place.substr(0, change.place.size() - 1));
      const std::size_t index =
        before.at(list).size() + appended[change.place]++;
      change.place += std::to_string(index);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

std::string
ChangesText(const std::vector<DocumentChange>& aChanges)
{
  std::string text;
  for (const DocumentChange& change : aChanges) {
    text +=
      change.place + "\n  - " + change.before + "\n  + " + change.after + "\n";
  }
  return text;
}

std::string
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream content;
  content << file.rdbuf();
  UserAssert(static_cast<bool>(file), aPath + ": cannot be read");
  return content.str();
}

std::string
DefaultAuthor()
{
  for (const char* name : { "SEQUOIAKEEL_AUTHOR", "LOGNAME", "USER" }) {
    const char* value = std::getenv(name);
    if (value != nullptr && *value != '\0') {
      return value;
    }
  }
  const passwd* user = ::getpwuid(::getuid());
  return user == nullptr ? "unnamed" : user->pw_name;
}

CommandResult
FindingsResult(const std::string& aSource, const Findings& aFindings)
{
  return Result(CommandExit::Findings,
                aFindings.Format(aSource),
                json{ { "outcome", "invalid" },
                      { "file", aSource },
                      { "findings", FindingsToJson(aFindings) } });
}

CommandResult
ErrorResult(CommandExit aExit, const std::string& aMessage)
{
  std::string outcome = "failed";
  if (aExit == CommandExit::NotRun) {
    outcome = "not-run";
  } else if (aExit == CommandExit::Unknown) {
    outcome = "unknown";
  }
  return Result(aExit,
                aMessage + "\n",
                json{ { "outcome", outcome }, { "error", aMessage } });
}

CommandResult
ValidateFile(const std::string& aPath)
{
  const Findings findings = CheckConfiguration(ReadTextFile(aPath));
  if (!findings.Ok()) {
    return FindingsResult(aPath, findings);
  }
  return Result(CommandExit::Ok,
                aPath + ": ok\n",
                json{ { "outcome", "ok" },
                      { "file", aPath },
                      { "findings", json::array() } });
}

CommandResult
ChangeResult(const std::string& aSource, const ChangeReport& aReport)
{
  const std::string generation = std::to_string(aReport.generation);
  switch (aReport.end) {
    case ChangeEnd::Applied:
      return Result(
        CommandExit::Ok,
        "applied as generation " + generation + "\n",
        json{ { "outcome", "applied" }, { "generation", aReport.generation } });
    case ChangeEnd::Unchanged:
      return Result(CommandExit::Ok,
                    "already in force, generation " + generation + "\n",
                    json{ { "outcome", "unchanged" },
                          { "generation", aReport.generation } });
    case ChangeEnd::LostRace:
      return LostRaceResult(aReport);
    case ChangeEnd::Invalid:
      return FindingsResult(aSource, aReport.findings);
    case ChangeEnd::NotApplied:
      return ErrorResult(CommandExit::NotRun, "not applied: " + aReport.reason);
    case ChangeEnd::Unknown:
      break;
  }
  return ErrorResult(CommandExit::Unknown,
                     "outcome unknown (" + aReport.reason +
                       "); `get` shows whether generation " +
                       std::to_string(aReport.base + 1) + " is this change");
}

asio::awaitable<CommandResult>
DiffCommand(OperatorClient& aClient, std::string aFile)
{
  const std::string text = ReadTextFile(aFile);
  const Findings findings = CheckConfiguration(text);
  if (!findings.Ok()) {
    co_return FindingsResult(aFile, findings);
  }
  const ActiveDocument active = co_await aClient.Active();
  if (!active.known) {
    co_return UnreachableResult(aClient, active.error);
  }
  const std::string before = active.text.empty() ? "{}" : active.text;
  const std::vector<DocumentChange> changes = DocumentChanges(before, text);
  json list = json::array();
  for (const DocumentChange& change : changes) {
    list.push_back(json{ { "place", change.place },
                         { "active", change.before },
                         { "file", change.after } });
  }
  std::string lines = ChangesText(changes);
  if (lines.empty()) {
    lines = "no difference to generation " +
            std::to_string(active.head.generation) + "\n";
  }
  co_return Result(CommandExit::Ok,
                   std::move(lines),
                   json{ { "generation", active.head.generation },
                         { "differences", std::move(list) } });
}

asio::awaitable<CommandResult>
ApplyCommand(OperatorClient& aClient, ApplyOptions aOptions)
{
  ChangeRequest request;
  request.document = ReadTextFile(aOptions.file);
  request.base = aOptions.base;
  request.author = aOptions.author;
  const ChangeReport report = co_await aClient.Apply(std::move(request));
  co_return ChangeResult(aOptions.file, report);
}

asio::awaitable<CommandResult>
GetCommand(OperatorClient& aClient)
{
  const ActiveDocument active = co_await aClient.Active();
  if (!active.known) {
    co_return UnreachableResult(aClient, active.error);
  }
  if (active.text.empty()) {
    co_return UnreachableResult(aClient, "no configuration is active");
  }
  CommandResult result;
  result.json = json::parse(active.text).dump(2) + "\n";
  result.text = result.json;
  co_return result;
}

asio::awaitable<CommandResult>
HistoryCommand(OperatorClient& aClient)
{
  const ExchangeResult result =
    co_await aClient.Call("GET", "/v1/configuration/history", {}, {});
  CommandResult failure;
  const std::optional<json> body = ReadResponse(aClient, result, failure);
  if (!body) {
    co_return failure;
  }
  co_return Result(CommandExit::Ok, HistoryText(*body), *body);
}

asio::awaitable<CommandResult>
StatusCommand(OperatorClient& aClient)
{
  const ExchangeResult result =
    co_await aClient.Call("GET", "/v1/status", {}, {});
  CommandResult failure;
  const std::optional<json> body = ReadResponse(aClient, result, failure);
  if (!body) {
    co_return failure;
  }
  const ActiveDocument active = co_await aClient.Active();
  const std::vector<std::string> cells = CellNames(active.text);
  std::string text = StatusText(result.response.body, cells);
  co_return Result(CommandExit::Ok, std::move(text), *body);
}

asio::awaitable<CommandResult>
LeavingCommand(OperatorClient& aClient,
               std::string aHost,
               bool aLeaving,
               std::string aAuthor)
{
  const ChangeReport report =
    co_await aClient.SetLeaving(aHost, aLeaving, std::move(aAuthor));
  CommandResult result = ChangeResult("leaving_hosts", report);
  if (result.exit == CommandExit::Ok) {
    result.text = aHost + (aLeaving ? " is leaving, " : " is not leaving, ") +
                  "generation " + std::to_string(report.generation) + "\n";
  }
  co_return result;
}

} // namespace sequoiakeel
