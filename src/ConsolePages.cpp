#include "ConsolePages.h"

#include "ConfigurationCheck.h"
#include "ConfigurationForm.h"
#include "Error.h"
#include "Log.h"
#include "OperatorCommands.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr const char* kHead =
  "<!doctype html><html lang=en><head><meta charset=utf-8>"
  "<meta name=viewport content=\"width=device-width\">"
  "<title>sequoiakeel</title><style>"
  "body{font:15px sans-serif;max-width:60em;margin:1em auto;padding:0 1em}"
  "fieldset{margin:.6em 0;border:1px solid #bbb}"
  "fieldset.item{background:#f6f6f6}legend{font-weight:bold}"
  ".field{display:grid;grid-template-columns:13em 18em 1fr;gap:.6em;"
  "margin:.3em 0}"
  "label.remove{display:block;margin-top:.5em}"
  "small{color:#555}.finding{color:#a00}pre{overflow:auto;background:#f6f6f6;"
  "padding:.6em}nav a{margin-right:1em}"
  "</style></head><body><nav><a href=\"/\">Configuration</a>"
  "<a href=\"/status\">Status</a></nav>";
constexpr const char* kFoot = "</body></html>\n";

HttpResponse
Page(unsigned aStatus, const std::string& aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.Set("Content-Type", "text/html; charset=utf-8");
  response.headers.Set("Cache-Control", "no-store");
  response.headers.Set("X-Frame-Options", "DENY");
  response.headers.Set("X-Content-Type-Options", "nosniff");
  response.headers.Set("Referrer-Policy", "same-origin");
  response.headers.Set("Content-Security-Policy",
                       "default-src 'none'; style-src 'unsafe-inline'; "
                       "form-action 'self'; frame-ancestors 'none'");
  response.body = kHead + aBody + kFoot;
  return response;
}

HttpResponse
MessagePage(unsigned aStatus, std::string_view aTitle, std::string_view aText)
{
  return Page(aStatus,
              "<h1>" + EscapeHtml(aTitle) + "</h1><pre>" + EscapeHtml(aText) +
                "</pre>");
}

std::string
FieldOf(const FormFields& aFields, const std::string& aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? std::string() : found->second;
}

/** Compares tokens in constant time for a given length, so that response times
 * do not reveal how much of a guessed token is correct. */
bool
SameToken(std::string_view aLeft, std::string_view aRight)
{
  unsigned difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (std::size_t i = 0; i < std::min(aLeft.size(), aRight.size()); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i] ^ aRight[i]);
  }
  return difference == 0;
}

std::uint64_t
ReadBase(const std::string& aText)
{
  std::uint64_t base = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, base);
  UserAssert(!aText.empty() && error == std::errc() && rest == end,
             "the form names no generation");
  return base;
}

unsigned
StatusOf(CommandExit aExit)
{
  switch (aExit) {
    case CommandExit::Ok:
      return 200;
    case CommandExit::Findings:
      return 422;
    case CommandExit::LostRace:
      return 409;
    case CommandExit::NotRun:
      return 503;
    default:
      return 504;
  }
}

} // namespace

std::string
NewFormToken()
{
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr int kTokenDigits = 32;
  std::random_device device;
  std::string token;
  for (int i = 0; i < kTokenDigits; ++i) {
    token += kDigits[device() % 16];
  }
  return token;
}

ConsolePages::ConsolePages(OperatorClient& aClient,
                           std::vector<std::string> aHosts,
                           std::string aToken)
  : client(&aClient)
  , hosts(std::move(aHosts))
  , token(std::move(aToken))
{
}

asio::awaitable<HttpResponse>
ConsolePages::Handle(HttpRequest aRequest)
{
  HttpResponse response;
  if (!this->AllowsHost(aRequest)) {
    co_return MessagePage(421,
                          "Unknown host",
                          "The console does not serve this host name. Name it "
                          "with --host when starting the console.");
  }
  const std::string path(TargetPath(aRequest.target));
  if (aRequest.method == "GET" && (path == "/" || path == "/status")) {
    if (path == "/") {
      response = co_await this->Edit();
    } else {
      response = co_await this->Status();
    }
    co_return response;
  }
  if (aRequest.method != "POST" || (path != "/review" && path != "/apply")) {
    co_return MessagePage(404, "Not found", "There is no such page.");
  }
  try {
    FormFields fields = ParseForm(aRequest.body);
    if (!this->AllowsChange(aRequest, fields)) {
      Event("console_refused", LogLevel::Warning)
        .Add("origin", aRequest.headers.Get("Origin"));
      co_return MessagePage(403,
                            "Refused",
                            "The form does not come from this console, or the "
                            "console was restarted. Load the page again.");
    }
    if (path == "/review") {
      response = co_await this->Review(std::move(fields));
    } else {
      response = co_await this->Apply(std::move(fields));
    }
  } catch (const UserError& error) {
    response = MessagePage(400, "Wrong input", error.what());
  }
  co_return response;
}

bool
ConsolePages::AllowsHost(const HttpRequest& aRequest) const
{
  const std::string host(aRequest.headers.Get("Host"));
  return std::find(this->hosts.begin(), this->hosts.end(), host) !=
         this->hosts.end();
}

bool
ConsolePages::AllowsChange(const HttpRequest& aRequest,
                           const FormFields& aFields) const
{
  const std::string host(aRequest.headers.Get("Host"));
  const std::string origin(aRequest.headers.Get("Origin"));
  // The scheme is https if a proxy in front of the console terminates TLS.
  const bool same = origin == "http://" + host || origin == "https://" + host;
  return same && SameToken(FieldOf(aFields, "token"), this->token);
}

std::string
ConsolePages::Hidden(std::string_view aName, std::string_view aValue) const
{
  return "<input type=hidden name=\"" + EscapeHtml(aName) + "\" value=\"" +
         EscapeHtml(aValue) + "\">";
}

HttpResponse
ConsolePages::FormPage(const std::string& aDocument,
                       const std::string& aBase,
                       const std::string& aAuthor,
                       const Findings& aFindings,
                       const std::string& aMessage) const
{
  std::string body = "<h1>Configuration</h1><p>Based on generation " +
                     EscapeHtml(aBase) + " through entry " +
                     EscapeHtml(this->client->Entry()) + ".</p>";
  if (!aMessage.empty()) {
    body += "<p class=finding>" + EscapeHtml(aMessage) + "</p>";
  }
  if (!aFindings.Ok()) {
    body += "<p class=finding>Nothing was changed; these fields need a "
            "correction:</p><ul>";
    for (const Finding& finding : aFindings.All()) {
      body += "<li><a href=\"#" + EscapeHtml(finding.place) + "\">" +
              EscapeHtml(finding.place) + "</a> " +
              EscapeHtml(finding.message) + "</li>";
    }
    body += "</ul>";
  }
  // Pressing Enter activates the first submit button of a form, so a review
  // button precedes all other buttons.
  body += "<form method=post action=\"/review\">" +
          this->Hidden("token", this->token) + this->Hidden("base", aBase) +
          "<div class=field><label for=author>Your name *</label>"
          "<input id=author name=author required maxlength=200 value=\"" +
          EscapeHtml(aAuthor) +
          "\"><small>Shown in the history and to whoever loses a race against "
          "this change.</small></div>"
          "<button name=review value=yes>Review changes</button>";
  body += RenderConfigurationForm(aDocument, aFindings);
  body += "<button name=review value=yes>Review changes</button></form>";
  return Page(aFindings.Ok() ? 200 : 422, body);
}

asio::awaitable<HttpResponse>
ConsolePages::Edit()
{
  const ActiveDocument active = co_await this->client->Active();
  if (!active.known) {
    co_return MessagePage(503, "Entry not reached", active.error);
  }
  const std::string document = active.text.empty() ? "{}" : active.text;
  const std::string base = std::to_string(active.head.generation);
  co_return this->FormPage(document, base, "", Findings(), "");
}

asio::awaitable<HttpResponse>
ConsolePages::Review(FormFields aFields)
{
  const std::string base = FieldOf(aFields, "base");
  const std::string author = FieldOf(aFields, "author");
  const std::uint64_t generation = ReadBase(base);
  const std::string document =
    FieldOf(aFields, "document").empty()
      ? DocumentFromForm(aFields)
      : CanonicalDocument(FieldOf(aFields, "document"));
  if (aFields.contains("add") || aFields.contains("back")) {
    co_return this->FormPage(document, base, author, Findings(), "");
  }
  const Findings findings = CheckConfiguration(document);
  if (!findings.Ok()) {
    co_return this->FormPage(document, base, author, findings, "");
  }
  const ActiveDocument active = co_await this->client->Active();
  if (!active.known) {
    co_return this->FormPage(document, base, author, Findings(), active.error);
  }
  const std::string before = active.text.empty() ? "{}" : active.text;
  const std::vector<DocumentChange> changes = DocumentChanges(before, document);
  std::string body = "<h1>Review</h1>";
  if (active.head.generation != generation) {
    body += "<p class=finding>Generation " +
            std::to_string(active.head.generation) + " by " +
            EscapeHtml(active.head.author) +
            " is active by now; applying will lose the race. Load the "
            "configuration again.</p>";
  }
  body += changes.empty()
            ? "<p>No difference to the active configuration.</p>"
            : "<pre>" + EscapeHtml(ChangesText(changes)) + "</pre>";
  const std::string fields =
    this->Hidden("token", this->token) + this->Hidden("base", base) +
    this->Hidden("author", author) + this->Hidden("document", document);
  body += "<form method=post action=\"/apply\">" + fields +
          "<button>Apply</button></form>"
          "<form method=post action=\"/review\">" +
          fields +
          "<button name=back value=yes>Back to the form</button></form>";
  co_return Page(200, body);
}

asio::awaitable<HttpResponse>
ConsolePages::Apply(FormFields aFields)
{
  ChangeRequest request;
  request.document = FieldOf(aFields, "document");
  request.base = ReadBase(FieldOf(aFields, "base"));
  request.author = FieldOf(aFields, "author");
  const ChangeReport report = co_await this->client->Apply(std::move(request));
  const CommandResult result = ChangeResult("document", report);
  co_return MessagePage(
    StatusOf(result.exit),
    result.exit == CommandExit::Ok ? "Applied" : "Not applied or unknown",
    result.text);
}

asio::awaitable<HttpResponse>
ConsolePages::Status()
{
  const CommandResult result = co_await StatusCommand(*this->client);
  co_return MessagePage(StatusOf(result.exit), "Status", result.text);
}

} // namespace sequoiakeel
