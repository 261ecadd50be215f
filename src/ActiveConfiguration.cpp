#include "ActiveConfiguration.h"

#include "Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <xxhash.h>

namespace sequoiakeel {

namespace {

using nlohmann::json;

/** Maximum nesting depth of a document. Serializing JSON recurses once for each
 * level, so deeper documents could exhaust the stack. */
constexpr int kMaxDepth = 64;

constexpr const char* kGenerationField = "generation";
constexpr const char* kWriteIdField = "write_id";
constexpr const char* kAuthorField = "author";

json
Parse(std::string_view aText)
{
  const auto limitDepth = [](int aDepth, json::parse_event_t, json&) {
    UserAssert(aDepth <= kMaxDepth, "the JSON text is nested too deeply");
    return true;
  };
  try {
    return json::parse(aText, limitDepth);
  } catch (const json::exception& error) {
    throw UserError(error.what());
  }
}

json
ParseDocument(std::string_view aText)
{
  json document = Parse(aText);
  UserAssert(document.is_object(), "the document is not a JSON object");
  return document;
}

DocumentHead
HeadOf(const json& aDocument)
{
  try {
    return DocumentHead{
      aDocument.value(kGenerationField, std::uint64_t{ 0 }),
      aDocument.value(kWriteIdField, std::string()),
      aDocument.value(kAuthorField, std::string()),
    };
  } catch (const json::exception& error) {
    throw UserError(error.what());
  }
}

std::vector<std::string>
PathsOf(const json& aPatch)
{
  std::set<std::string> paths;
  for (const json& operation : aPatch) {
    paths.insert(operation.at("path").get<std::string>());
  }
  for (const char* field : { kGenerationField, kWriteIdField, kAuthorField }) {
    paths.erase(std::string("/") + field);
  }
  return std::vector<std::string>(paths.begin(), paths.end());
}

} // namespace

std::string
CanonicalDocument(std::string_view aText)
{
  return ParseDocument(aText).dump();
}

DocumentHead
ReadDocumentHead(std::string_view aText)
{
  return HeadOf(ParseDocument(aText));
}

std::string
WithDocumentHead(std::string_view aText, const DocumentHead& aHead)
{
  json document = ParseDocument(aText);
  document[kGenerationField] = aHead.generation;
  document[kWriteIdField] = aHead.writeId;
  document[kAuthorField] = aHead.author;
  try {
    return document.dump();
  } catch (const json::exception& error) {
    throw UserError(error.what());
  }
}

std::vector<std::string>
DifferingFields(std::string_view aOne, std::string_view aOther)
{
  return PathsOf(json::diff(ParseDocument(aOne), ParseDocument(aOther)));
}

std::uint64_t
DocumentHash(std::string_view aCanonical)
{
  return XXH64(aCanonical.data(), aCanonical.size(), 0);
}

bool
ActiveConfiguration::Activate(std::string_view aDocument)
{
  const json next = ParseDocument(aDocument);
  const DocumentHead head = HeadOf(next);
  if (head.generation <= this->generation) {
    return false;
  }
  Change change;
  change.summary = { head.generation, head.writeId, head.author, { "" } };
  change.from = this->generation;
  if (this->generation > 0) {
    const json patch = json::diff(Parse(this->document), next);
    change.summary.changed = PathsOf(patch);
    change.patch = patch.dump();
  }
  this->changes.push_back(std::move(change));
  if (this->changes.size() > kKeptChanges) {
    this->changes.pop_front();
  }
  this->generation = head.generation;
  this->document = next.dump();
  return true;
}

ConfigurationReply
ActiveConfiguration::ReplyTo(const FetchConfiguration& aRequest) const
{
  ConfigurationReply reply;
  reply.generation = this->generation;
  reply.documentHash = DocumentHash(this->document);
  if (aRequest.haveGeneration >= this->generation) {
    return reply;
  }
  reply.body = this->document;
  const auto first =
    std::ranges::find(this->changes, aRequest.haveGeneration, &Change::from);
  if (aRequest.haveGeneration == 0 || first == this->changes.end()) {
    return reply;
  }
  json operations = json::array();
  for (auto change = first; change != this->changes.end(); ++change) {
    const json patch = Parse(change->patch);
    operations.insert(operations.end(), patch.begin(), patch.end());
  }
  std::string text = operations.dump();
  if (text.size() < reply.body.size()) {
    reply.isPatch = true;
    reply.body = std::move(text);
  }
  return reply;
}

std::optional<std::string>
ActiveConfiguration::Resolve(const ConfigurationReply& aReply) const
{
  if (aReply.generation <= this->generation || aReply.body.empty()) {
    return std::nullopt;
  }
  try {
    json next = Parse(aReply.body);
    if (aReply.isPatch) {
      next = Parse(this->document).patch(next);
    }
    std::string text = next.dump();
    if (DocumentHash(text) != aReply.documentHash || !next.is_object() ||
        HeadOf(next).generation != aReply.generation) {
      return std::nullopt;
    }
    return text;
  } catch (const UserError&) {
    return std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::vector<ConfigurationChange>
ActiveConfiguration::History() const
{
  std::vector<ConfigurationChange> history;
  for (const Change& change : this->changes) {
    history.push_back(change.summary);
  }
  return history;
}

} // namespace sequoiakeel
