#include "OperatorClient.h"

#include "ConfigurationCheck.h"
#include "ConfigurationWriter.h"
#include "EndpointText.h"
#include "Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/** Maximum number of attempts to drain or undrain a host when concurrent
 * changes are applied first. */
constexpr int kLeavingAttempts = 10;
constexpr std::size_t kMaxAuthorBytes = 200;

/** Parses a JSON body. Returns an empty object if the text is not valid JSON or
 * not an object. */
json
ReadObject(std::string_view aText)
{
  json value = json::parse(aText, nullptr, false);
  return value.is_object() ? value : json::object();
}

template<class Type>
Type
Field(const json& aObject, const char* aName, Type aDefault)
{
  try {
    return aObject.value(aName, aDefault);
  } catch (const json::exception&) {
    return aDefault;
  }
}

std::vector<std::string>
TextList(const json& aObject, const char* aName)
{
  std::vector<std::string> list;
  const auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_array()) {
    return list;
  }
  for (const json& item : *found) {
    if (item.is_string()) {
      list.push_back(item.get<std::string>());
    }
  }
  return list;
}

void
CheckAuthor(const std::string& aAuthor)
{
  const bool printable =
    std::all_of(aAuthor.begin(), aAuthor.end(), [](unsigned char aByte) {
      return aByte >= 0x20 && aByte != 0x7f;
    });
  UserAssert(!aAuthor.empty() && aAuthor.size() <= kMaxAuthorBytes && printable,
             "the author must be 1 to 200 bytes without control characters");
}

std::optional<std::uint64_t>
GenerationIn(const std::string& aDocument)
{
  const json document = ReadObject(aDocument);
  const auto found = document.find("generation");
  if (found == document.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

/** Converts the response to PUT /v1/configuration to a report. */
ChangeReport
ReadAnswer(const HttpResponse& aResponse)
{
  const json body = ReadObject(aResponse.body);
  ChangeReport report;
  report.generation = Field<std::uint64_t>(body, "generation", 0);
  report.reason = Field<std::string>(body, "reason", "");
  if (report.reason.empty()) {
    report.reason = Field<std::string>(
      body, "error", "status " + std::to_string(aResponse.status));
  }
  switch (aResponse.status) {
    case 200:
      report.end = ChangeEnd::Applied;
      break;
    case 409:
      report.end = ChangeEnd::LostRace;
      report.winner = Field<std::string>(body, "winner", "");
      report.differences = TextList(body, "differences");
      break;
    case 422:
      report.end = ChangeEnd::Invalid;
      report.findings = FindingsOf(aResponse.body);
      break;
    case 504:
      report.end = ChangeEnd::Unknown;
      break;
    default:
      report.end = ChangeEnd::NotApplied;
      break;
  }
  return report;
}

std::string
WithLeaving(const std::string& aDocument,
            const std::string& aHost,
            bool aLeaving)
{
  json document = json::parse(aDocument);
  json hosts = json::array();
  for (const json& host : document.value("leaving_hosts", json::array())) {
    if (host != aHost) {
      hosts.push_back(host);
    }
  }
  if (aLeaving) {
    hosts.push_back(aHost);
  }
  document["leaving_hosts"] = std::move(hosts);
  return document.dump();
}

/** Returns a random delay, so that clients that lost the same race do not retry
 * at the same time. */
std::chrono::milliseconds
RetryPause()
{
  std::random_device device;
  std::uniform_int_distribution<int> pause(20, 200);
  return std::chrono::milliseconds(pause(device));
}

} // namespace

std::string
ReasonOf(const ExchangeResult& aResult)
{
  if (!aResult.Complete()) {
    return aResult.timedOut ? "no whole response in time" : aResult.error;
  }
  const json body = ReadObject(aResult.response.body);
  for (const char* name : { "reason", "error" }) {
    const std::string text = Field<std::string>(body, name, "");
    if (!text.empty()) {
      return text;
    }
  }
  const std::string_view reason =
    aResult.response.headers.Get("Sequoiakeel-Reason");
  return reason.empty() ? "status " + std::to_string(aResult.response.status)
                        : std::string(reason);
}

Findings
FindingsOf(std::string_view aBody)
{
  Findings findings;
  const json body = ReadObject(aBody);
  const auto list = body.find("findings");
  if (list == body.end() || !list->is_array()) {
    return findings;
  }
  for (const json& item : *list) {
    if (!item.is_object()) {
      continue;
    }
    findings.Add(Field<std::string>(item, "place", ""),
                 Field<std::string>(item, "message", ""),
                 Field<std::size_t>(item, "line", 0));
  }
  return findings;
}

OperatorClient::OperatorClient(asio::any_io_executor aExecutor,
                               Endpoint aEntry,
                               OperatorTimes aTimes)
  : client(std::move(aExecutor), aEntry)
  , entry(std::move(aEntry))
  , times(aTimes)
{
}

std::string
OperatorClient::Entry() const
{
  return FormatEndpoint(this->entry);
}

asio::awaitable<ExchangeResult>
OperatorClient::Call(std::string aMethod,
                     std::string aTarget,
                     std::string aBody,
                     HttpHeaders aHeaders)
{
  HttpRequest request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  request.headers = std::move(aHeaders);
  request.body = std::move(aBody);
  ExchangeResult result = co_await this->client.Call(
    std::move(request), TransferTimeout::Silence(this->times.call));
  co_return result;
}

asio::awaitable<ActiveDocument>
OperatorClient::Active()
{
  ActiveDocument active;
  const ExchangeResult result =
    co_await this->Call("GET", "/v1/configuration", {}, {});
  if (!result.Complete()) {
    active.error = ReasonOf(result);
    co_return active;
  }
  if (result.response.status == 404) {
    active.known = true;
    co_return active;
  }
  if (result.response.status != 200) {
    active.error = ReasonOf(result);
    co_return active;
  }
  try {
    active.text = CanonicalDocument(result.response.body);
    active.head = ReadDocumentHead(active.text);
    active.known = true;
  } catch (const UserError& error) {
    active.error = error.what();
  }
  co_return active;
}

asio::awaitable<ChangeReport>
OperatorClient::Apply(ChangeRequest aRequest)
{
  CheckAuthor(aRequest.author);
  ChangeReport report;
  report.findings = CheckConfiguration(aRequest.document);
  if (!report.findings.Ok()) {
    report.end = ChangeEnd::Invalid;
    co_return report;
  }
  const ActiveDocument active = co_await this->Active();
  if (!active.known) {
    report.reason = active.error;
    co_return report;
  }
  if (!aRequest.base) {
    aRequest.base = GenerationIn(aRequest.document);
  }
  if (!aRequest.base) {
    aRequest.base = active.head.generation;
  }
  const std::uint64_t base = *aRequest.base;
  std::string before;
  if (active.head.generation == base) {
    before = active.text;
  }
  report = co_await this->Send(std::move(aRequest), std::move(before));
  report.base = base;
  co_return report;
}

asio::awaitable<ChangeReport>
OperatorClient::Send(ChangeRequest aRequest, std::string aBefore)
{
  HttpHeaders headers;
  headers.Set("Sequoiakeel-Author", aRequest.author);
  headers.Set("Content-Type", "application/json");
  std::string target =
    "/v1/configuration?base=" + std::to_string(*aRequest.base);
  std::string body = aRequest.document;
  const ExchangeResult result = co_await this->Call(
    "PUT", std::move(target), std::move(body), std::move(headers));
  ChangeReport report;
  if (result.progress == ExchangeProgress::NotSent) {
    report.reason = ReasonOf(result);
    co_return report;
  }
  if (result.Complete()) {
    report = ReadAnswer(result.response);
  } else {
    report.end = ChangeEnd::Unknown;
    report.reason = ReasonOf(result);
  }
  if (report.end == ChangeEnd::Unknown) {
    std::string reason = report.reason;
    report = co_await this->Resolve(
      std::move(aRequest), std::move(aBefore), std::move(reason));
    co_return report;
  }
  if (report.end == ChangeEnd::LostRace && report.differences.empty() &&
      report.generation > *aRequest.base) {
    report.end = ChangeEnd::Unchanged;
  }
  co_return report;
}

/** Resolves an unknown outcome: polls the entry until its active generation is
 * above the base, then determines whose change that was. */
asio::awaitable<ChangeReport>
OperatorClient::Resolve(ChangeRequest aRequest,
                        std::string aBefore,
                        std::string aReason)
{
  ChangeReport report;
  ActiveDocument active = co_await this->AwaitGeneration(*aRequest.base + 1);
  if (!active.known || active.head.generation <= *aRequest.base) {
    report.end = ChangeEnd::Unknown;
    report.reason = std::move(aReason);
    co_return report;
  }
  report = co_await this->ResolveByHistory(
    std::move(aRequest), std::move(aBefore), std::move(active));
  co_return report;
}

/** Determines whether this change or another one became the generation after
 * the base. */
asio::awaitable<ChangeReport>
OperatorClient::ResolveByHistory(ChangeRequest aRequest,
                                 std::string aBefore,
                                 ActiveDocument aActive)
{
  const std::uint64_t next = *aRequest.base + 1;
  ChangeReport report;
  report.generation = aActive.head.generation;
  report.winner = aActive.head.author;
  report.differences = DifferingFields(aRequest.document, aActive.text);
  report.end = ChangeEnd::LostRace;
  if (aActive.head.generation == next) {
    const bool own =
      aActive.head.author == aRequest.author && report.differences.empty();
    report.end = own ? ChangeEnd::Applied : ChangeEnd::LostRace;
    co_return report;
  }
  // The active generation is a later one: the change may have taken effect and
  // have been replaced since, so the history has to be read.
  const ExchangeResult result =
    co_await this->Call("GET", "/v1/configuration/history", {}, {});
  report.end = ChangeEnd::Unknown;
  report.reason = "replaced before it was read back";
  if (!result.Complete() || result.response.status != 200 || aBefore.empty()) {
    co_return report;
  }
  std::vector<std::string> wanted = DifferingFields(aBefore, aRequest.document);
  std::sort(wanted.begin(), wanted.end());
  const json history = json::parse(result.response.body, nullptr, false);
  for (const json& change : history) {
    if (!change.is_object() ||
        Field<std::uint64_t>(change, "generation", 0) != next) {
      continue;
    }
    std::vector<std::string> changed = TextList(change, "changed");
    std::sort(changed.begin(), changed.end());
    const std::string author = Field<std::string>(change, "author", "");
    if (author != aRequest.author) {
      report.end = ChangeEnd::LostRace;
      report.winner = author;
      report.reason.clear();
    } else if (changed == wanted) {
      report.end = ChangeEnd::Applied;
      report.generation = next;
      report.reason.clear();
    }
  }
  co_return report;
}

/** Polls until the entry has activated at least aGeneration or the time limit
 * `resolve` has passed. Returns the result of the last read. */
asio::awaitable<ActiveDocument>
OperatorClient::AwaitGeneration(std::uint64_t aGeneration)
{
  const TimePoint limit =
    std::chrono::steady_clock::now() + this->times.resolve;
  while (true) {
    ActiveDocument active = co_await this->Active();
    const bool reached = active.known && active.head.generation >= aGeneration;
    if (aGeneration == 0 || reached ||
        std::chrono::steady_clock::now() >= limit) {
      co_return active;
    }
    co_await SleepFor(this->times.poll);
  }
}

asio::awaitable<ChangeReport>
OperatorClient::SetLeaving(std::string aHost,
                           bool aLeaving,
                           std::string aAuthor)
{
  ChangeReport report;
  std::uint64_t known = 0;
  for (int attempt = 0; attempt < kLeavingAttempts; ++attempt) {
    // After a lost race the entry may not have activated the winner's
    // generation yet.
    const ActiveDocument active = co_await this->AwaitGeneration(known);
    if (!active.known || active.text.empty()) {
      report.reason =
        active.known ? "no configuration is active" : active.error;
      co_return report;
    }
    ChangeRequest request;
    request.document = WithLeaving(active.text, aHost, aLeaving);
    request.base = active.head.generation;
    request.author = aAuthor;
    if (DifferingFields(request.document, active.text).empty()) {
      report.end = ChangeEnd::Unchanged;
      report.generation = active.head.generation;
      co_return report;
    }
    report = co_await this->Apply(std::move(request));
    if (report.end != ChangeEnd::LostRace) {
      co_return report;
    }
    known = report.generation;
    const std::chrono::milliseconds pause = RetryPause();
    co_await SleepFor(pause);
  }
  co_return report;
}

} // namespace sequoiakeel
