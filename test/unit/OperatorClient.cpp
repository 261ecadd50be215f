#include "OperatorClient.h"
#include "HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sequoiakeel;
using nlohmann::json;

namespace {

namespace asio = boost::asio;

constexpr const char* kBefore =
  R"({"cells":[],"services":[],"task_classes":[],"teams":[{"name":"a"}]})";
constexpr const char* kWanted =
  R"({"cells":[],"services":[],"task_classes":[],"teams":[{"name":"b"}]})";
constexpr const char* kOther =
  R"({"cells":[],"services":[],"task_classes":[],"teams":[{"name":"c"}]})";

std::string
Active(const char* aDocument, std::uint64_t aGeneration, const char* aAuthor)
{
  return WithDocumentHead(aDocument, DocumentHead{ aGeneration, "w", aAuthor });
}

/** Entry that responds to a change with status 504 and from then on returns
 * `after` as the active document. */
struct FakeEntry
{
  std::string after;
  json history = json::array();
  bool changed = false;

  asio::awaitable<HttpResponse> Answer(HttpRequest aRequest)
  {
    if (aRequest.method == "PUT") {
      this->changed = true;
      co_return JsonResponse(504, R"({"error":"unknown","reason":"lost"})");
    }
    if (TargetPath(aRequest.target) == "/v1/configuration/history") {
      co_return JsonResponse(200, this->history.dump());
    }
    co_return JsonResponse(
      200, this->changed ? this->after : Active(kBefore, 1, "before"));
  }
};

ChangeReport
ApplyTo(FakeEntry aEntry)
{
  asio::io_context context(1);
  HttpServer server(context,
                    Endpoint{ "127.0.0.1", 0 },
                    HttpServerLimits{},
                    [&aEntry](HttpRequest aRequest) {
                      return aEntry.Answer(std::move(aRequest));
                    });
  server.Start();
  OperatorTimes times;
  times.resolve = std::chrono::milliseconds(50);
  times.poll = std::chrono::milliseconds(5);
  OperatorClient client(
    context.get_executor(), Endpoint{ "127.0.0.1", server.Port() }, times);
  ChangeRequest request;
  request.document = kWanted;
  request.author = "anna";
  auto future =
    asio::co_spawn(context, client.Apply(std::move(request)), asio::use_future);
  while (future.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    context.run_one();
  }
  return future.get();
}

} // namespace

// Guards against reporting a guess after a 504 response instead of reading the
// active configuration back.
TEST_CASE("an unknown outcome is resolved by reading back")
{
  FakeEntry entry;
  entry.after = Active(kWanted, 2, "anna");
  CHECK(ApplyTo(entry).end == ChangeEnd::Applied);

  entry.after = Active(kOther, 2, "birgit");
  const ChangeReport lost = ApplyTo(entry);
  CHECK(lost.end == ChangeEnd::LostRace);
  CHECK(lost.winner == "birgit");
  CHECK(lost.differences == std::vector<std::string>{ "/teams/0/name" });

  entry.after = Active(kBefore, 1, "before");
  CHECK(ApplyTo(entry).end == ChangeEnd::Unknown);
}

// Guards against reporting a lost race for a change that took effect and was
// replaced before it could be read back, and against the reverse.
TEST_CASE("a change that was replaced is judged by the history")
{
  FakeEntry entry;
  entry.after = Active(kOther, 3, "birgit");
  CHECK(ApplyTo(entry).end == ChangeEnd::Unknown);

  entry.history = json::array({ json{ { "generation", 2 },
                                      { "author", "anna" },
                                      { "changed", { "/teams/0/name" } } } });
  const ChangeReport applied = ApplyTo(entry);
  CHECK(applied.end == ChangeEnd::Applied);
  CHECK(applied.generation == 2);

  entry.history[0]["author"] = "birgit";
  CHECK(ApplyTo(entry).end == ChangeEnd::LostRace);
}
