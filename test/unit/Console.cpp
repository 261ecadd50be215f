#include "ConfigurationCheck.h"
#include "ConfigurationForm.h"
#include "ConsolePages.h"
#include "OperatorCommands.h"

#include <boost/asio/io_context.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sequoiakeel;
using nlohmann::json;

namespace {

namespace asio = boost::asio;

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

FormFields
SmallForm()
{
  return FormFields{ { "/cells/0/name", "north" },
                     { "/cells/0/zone", "zone-1" },
                     { "/cells/0/racks", "rack-1\r\n\r\n rack-2 \r\n" },
                     { "/services/0/name", "quote" },
                     { "/services/0/deadline_ms", "2000" },
                     { "/services/0/idempotent", "false" },
                     { "/limits/retry_percent", "20" } };
}

/** Sends one request to a console whose entry is unreachable. */
HttpResponse
Ask(const std::string& aMethod,
    const std::string& aTarget,
    const std::string& aBody,
    const std::string& aHost,
    const std::string& aOrigin)
{
  asio::io_context context(1);
  OperatorClient client(context.get_executor(), Endpoint{ "127.0.0.1", 1 });
  ConsolePages pages(client, { "127.0.0.1:8090" }, "secret");
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers.Set("Host", aHost);
  if (!aOrigin.empty()) {
    request.headers.Set("Origin", aOrigin);
  }
  auto future =
    asio::co_spawn(context, pages.Handle(std::move(request)), asio::use_future);
  context.run();
  return future.get();
}

} // namespace

// Guards against script injection through text in a configuration.
TEST_CASE("text from documents and findings is escaped")
{
  CHECK(EscapeHtml("<a b='c' d=\"e\">&") ==
        "&lt;a b=&#39;c&#39; d=&quot;e&quot;&gt;&amp;");
  FormFields form = SmallForm();
  form["/cells/0/name"] = "\"><script>alert(1)</script>";
  form["/cells/0/racks"] = "</textarea><script>";
  const std::string document = DocumentFromForm(form);
  const std::string page =
    RenderConfigurationForm(document, CheckConfiguration(document));
  CHECK_FALSE(Contains(page, "<script>"));
  CHECK(Contains(page, "&lt;script&gt;"));
}

// Guards against fields that are lost, reordered or given another type when a
// document is converted to a form and back.
TEST_CASE("a form becomes the document and the document the same form")
{
  FormFields form = SmallForm();
  const json document = json::parse(DocumentFromForm(form));
  CHECK(document["cells"][0]["racks"] == json::array({ "rack-1", "rack-2" }));
  CHECK(document["services"][0]["deadline_ms"] == 2000);
  CHECK(document["services"][0]["idempotent"] == false);
  CHECK(document["limits"]["retry_percent"] == 20);
  CHECK(document["teams"] == json::array());
  CHECK(CheckConfiguration(document.dump()).Ok());

  form["add"] = "/teams";
  form["/cells/0 remove"] = "yes";
  const json edited = json::parse(DocumentFromForm(form));
  CHECK(edited["teams"].size() == 1);
  CHECK(edited["cells"].empty());
  const FormFields fields = ParseForm("%2Fcells%2F0%2Fname=a+b%26&x&y=%zz");
  CHECK(fields.at("/cells/0/name") == "a b&");
  CHECK(fields.at("x").empty());
  CHECK(fields.at("y") == "%zz");
}

// Guards against a review that omits items added to a list.
TEST_CASE("the difference shows items that were added")
{
  const std::vector<DocumentChange> changes =
    DocumentChanges(R"({"generation":1,"teams":[{"name":"a"}]})",
                    R"({"teams":[{"name":"b"},{"name":"c"}]})");
  CHECK(ChangesText(changes) == "/teams/0/name\n  - \"a\"\n  + \"b\"\n"
                                "/teams/1\n  - (absent)\n  + "
                                "{\"name\":\"c\"}\n");
}

// Guards against findings that are not shown next to their field, and against
// dropping non-numeric input of a numeric field instead of reporting it.
TEST_CASE("findings stand beside their field")
{
  FormFields form = SmallForm();
  form["/services/0/deadline_ms"] = "soon";
  const std::string document = DocumentFromForm(form);
  const Findings findings = CheckConfiguration(document);
  REQUIRE_FALSE(findings.Ok());
  const std::string page = RenderConfigurationForm(document, findings);
  const std::size_t field = page.find("name=\"/services/0/deadline_ms\"");
  REQUIRE(field != std::string::npos);
  const std::size_t finding = page.find("<strong class=finding>", field);
  REQUIRE(finding != std::string::npos);
  CHECK(finding < page.find("</div>", field));
  CHECK(Contains(page, "value=\"soon\""));
}

// Guards against cross-site request forgery, where a page of another origin
// makes a change through an operator's browser, and against DNS rebinding.
TEST_CASE("changes are taken only from the console's own pages")
{
  const std::string host = "127.0.0.1:8090";
  const std::string own = "http://127.0.0.1:8090";
  const std::string body = "token=secret&base=1&author=anna&document=%7B%7D";
  CHECK(Ask("POST", "/apply", body, host, "").status == 403);
  CHECK(Ask("POST", "/apply", body, host, "null").status == 403);
  CHECK(Ask("POST", "/apply", body, host, "http://evil.test").status == 403);
  CHECK(Ask("POST", "/apply", "token=guess&base=1", host, own).status == 403);
  CHECK(Ask("GET", "/", "", "evil.test", "").status == 421);
  // A request from the console's own page passes these checks; the document
  // then fails validation.
  CHECK(Ask("POST", "/apply", body, host, own).status == 422);
}
