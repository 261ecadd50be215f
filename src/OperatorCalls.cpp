#include "OperatorCalls.h"

#include "Log.h"
#include "generated/MessagesJson.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxAuthorBytes = 200;

std::optional<std::uint64_t>
ReadGeneration(const std::string& aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

json
FindingsToJson(const Findings& aFindings)
{
  json list = json::array();
  for (const Finding& finding : aFindings.All()) {
    list.push_back(json{ { "place", finding.place },
                         { "line", finding.line },
                         { "message", finding.message } });
  }
  return json{ { "findings", list } };
}

HttpResponse
ApplyResponse(const ApplyResult& aResult)
{
  switch (aResult.outcome) {
    case ApplyOutcome::Applied:
      return JsonResponse(200,
                          json{ { "generation", aResult.generation } }.dump());
    case ApplyOutcome::Conflict:
      return JsonResponse(409,
                          json{ { "winner", aResult.winner },
                                { "generation", aResult.generation },
                                { "differences", aResult.differences } }
                            .dump());
    case ApplyOutcome::Invalid:
      return JsonResponse(422, FindingsToJson(aResult.findings).dump());
    case ApplyOutcome::NotApplied:
      return JsonResponse(
        503,
        json{ { "error", "not-applied" }, { "reason", aResult.reason } }
          .dump());
    case ApplyOutcome::Unknown:
      break;
  }
  return JsonResponse(
    504, json{ { "error", "unknown" }, { "reason", aResult.reason } }.dump());
}

} // namespace

OperatorCalls::OperatorCalls(std::string aEntry,
                             ConfigurationAgent& aAgent,
                             const GossipService& aGossip,
                             PlannerDirectory& aDirectory)
  : entry(std::move(aEntry))
  , agent(&aAgent)
  , gossip(&aGossip)
  , directory(&aDirectory)
{
}

asio::awaitable<HttpResponse>
OperatorCalls::Configuration(HttpRequest aMessage)
{
  if (aMessage.method == "PUT") {
    HttpResponse response = co_await this->Apply(std::move(aMessage));
    co_return response;
  }
  if (aMessage.method != "GET") {
    co_return JsonResponse(405, R"({"error":"method-not-allowed"})");
  }
  std::string document = this->agent->Document();
  if (document.empty()) {
    co_return JsonResponse(404, R"({"error":"no-configuration"})");
  }
  co_return JsonResponse(200, std::move(document));
}

asio::awaitable<HttpResponse>
OperatorCalls::Apply(HttpRequest aMessage)
{
  const std::optional<std::uint64_t> base =
    ReadGeneration(QueryParameter(aMessage.target, "base"));
  if (!base) {
    co_return JsonResponse(
      400, R"({"error":"the query parameter base must be a generation"})");
  }
  std::string author(aMessage.headers.Get("Sequoiakeel-Author"));
  if (author.empty() || author.size() > kMaxAuthorBytes) {
    co_return JsonResponse(
      400,
      R"({"error":"the header Sequoiakeel-Author must name the author in at most 200 bytes"})");
  }
  const ApplyResult result =
    co_await this->agent->Apply(std::move(aMessage.body), *base, author);
  Event("configuration_apply")
    .Add("author", author)
    .Add("base", *base)
    .Add("outcome", static_cast<int>(result.outcome))
    .Add("generation", result.generation);
  co_return ApplyResponse(result);
}

HttpResponse
OperatorCalls::History() const
{
  json list = json::array();
  for (const ConfigurationChange& change : this->agent->History()) {
    list.push_back(json{ { "generation", change.generation },
                         { "author", change.author },
                         { "changed", change.changed } });
  }
  return JsonResponse(200, list.dump());
}

asio::awaitable<HttpResponse>
OperatorCalls::Status()
{
  const std::vector<CellReport> reports = co_await this->directory->Cells();
  json cells = json::array();
  for (const CellReport& report : reports) {
    json cell = report.status;
    cell["planner"] = report.planner;
    cells.push_back(std::move(cell));
  }
  json members = json::array();
  for (const Member& member : this->gossip->Members()) {
    json row = member.row;
    row["suspect"] = member.suspect;
    members.push_back(std::move(row));
  }
  const json body{ { "entry", this->entry },
                   { "configuration_generation", this->agent->Generation() },
                   { "members", std::move(members) },
                   { "cells", std::move(cells) },
                   { "leaving_hosts", this->gossip->LeavingHostNames() } };
  co_return JsonResponse(200, body.dump());
}

} // namespace sequoiakeel
