#include "SchemaCheck.h"

#include "JsonPositions.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace sequoiakeel {

using nlohmann::json;

namespace {

/** Maximum nesting depth of a document. Deeper input could overflow the stack
 * of the recursive parsers. */
constexpr int kMaxDepth = 64;

/** Converts a valijson error context such as <root>["teams"][0] to a JSON
 * Pointer. */
std::string
PointerOf(const std::vector<std::string>& aContext)
{
  std::string pointer;
  for (const std::string& part : aContext) {
    if (part.size() < 2 || part.front() != '[') {
      continue;
    }
    std::string_view token = std::string_view(part).substr(1, part.size() - 2);
    if (token.size() >= 2 && token.front() == '"') {
      token = token.substr(1, token.size() - 2);
    }
    pointer += "/" + EscapePointerToken(token);
  }
  return pointer;
}

std::size_t
LineOfByte(std::string_view aText, std::size_t aByte)
{
  const std::string_view before =
    aText.substr(0, std::min(aByte, aText.size()));
  return 1 + static_cast<std::size_t>(
               std::count(before.begin(), before.end(), '\n'));
}

/** Returns true if objects and arrays are nested deeper than kMaxDepth.
 * Brackets in strings are ignored. */
bool
ExceedsMaxDepth(std::string_view aText)
{
  int depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (inString) {
      i += character == '\\' ? 1 : 0;
      inString = character != '"';
      continue;
    }
    inString = character == '"';
    depth += character == '{' || character == '[' ? 1 : 0;
    depth -= character == '}' || character == ']' ? 1 : 0;
    if (depth > kMaxDepth) {
      return true;
    }
  }
  return false;
}

void
AddSchemaFindings(const json& aDocument,
                  std::string_view aSchema,
                  const JsonPositions& aPositions,
                  Findings& aFindings)
{
  const json schemaDocument = json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaDocument);
  parser.populateSchema(schemaAdapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(aDocument);
  validator.validate(schema, target, &results);
  valijson::ValidationResults::Error error;
  std::set<std::string> placesBelow;
  std::vector<Finding> found;
  while (results.popError(error)) {
    Finding finding;
    finding.place = PointerOf(error.context);
    finding.line = aPositions.LineOf(finding.place);
    finding.message = error.description;
    found.push_back(std::move(finding));
  }
  for (const Finding& finding : found) {
    // For each error, valijson also reports every enclosing value. Only the
    // innermost value is reported, since it locates the error.
    const bool enclosing =
      (finding.message.rfind("Failed to validate item", 0) == 0 ||
       (finding.message.rfind("Failed to validate against", 0) == 0 &&
        finding.message.find("child schema") == std::string::npos)) &&
      std::any_of(found.begin(), found.end(), [&](const Finding& aOther) {
        return aOther.place.size() > finding.place.size() &&
               aOther.place.rfind(finding.place + "/", 0) == 0;
      });
    if (enclosing) {
      continue;
    }
    aFindings.Add(finding.place, finding.message, finding.line);
  }
}

} // namespace

Findings
CheckAgainstSchema(std::string_view aText, std::string_view aSchema)
{
  Findings findings;
  if (ExceedsMaxDepth(aText)) {
    findings.Add("",
                 "nesting exceeds " + std::to_string(kMaxDepth) + " levels");
    return findings;
  }
  json document;
  try {
    document = json::parse(aText);
  } catch (const json::parse_error& error) {
    findings.Add("",
                 error.what(),
                 LineOfByte(aText, error.byte == 0 ? 0 : error.byte - 1));
    return findings;
  }
  const JsonPositions positions = ScanJsonPositions(aText);
  findings = positions.duplicates;
  AddSchemaFindings(document, aSchema, positions, findings);
  return findings;
}

} // namespace sequoiakeel
