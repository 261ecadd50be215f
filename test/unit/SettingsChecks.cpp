#include "SchemaCheck.h"
#include "generated/SchemaText.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

const Finding*
FindingAt(const Findings& aFindings, std::string_view aPlace)
{
  for (const Finding& finding : aFindings.All()) {
    if (finding.place == aPlace) {
      return &finding;
    }
  }
  return nullptr;
}

} // namespace

// Guards against validation that stops at the first error or reports an error
// without its JSON Pointer and line.
TEST_CASE(
  "three errors in a settings file are reported together with their locations")
{
  const std::string text =
    "{\n"
    "  \"name\": \"entry-1\",\n"
    "  \"zone\": 7,\n"
    "  \"threads\": 0,\n"
    "  \"colour\": \"red\",\n"
    "  \"store\": { \"address\": \"127.0.0.1\", \"port\": 1 }\n"
    "}\n";
  const Findings findings = CheckAgainstSchema(text, schema_text::kSettings);
  REQUIRE(FindingAt(findings, "/zone") != nullptr);
  CHECK(FindingAt(findings, "/zone")->line == 3);
  REQUIRE(FindingAt(findings, "/threads") != nullptr);
  CHECK(FindingAt(findings, "/threads")->line == 4);
  CHECK(findings.Format("f").find("colour") != std::string::npos);
}

// Guards against a duplicate key whose last value is used silently.
TEST_CASE("a duplicate key is a finding")
{
  const Findings findings = CheckAgainstSchema(
    R"({"name":"a","name":"b","zone":"z","store":{"address":"127.0.0.1","port":1}})",
    schema_text::kSettings);
  REQUIRE(findings.All().size() == 1);
  CHECK(findings.All()[0].place == "/name");
}

// Guards against a crash on malformed or malicious input.
TEST_CASE("malformed and deeply nested texts are rejected")
{
  CHECK(CheckAgainstSchema("{", schema_text::kSettings).All().at(0).line == 1);
  CHECK_FALSE(CheckAgainstSchema("", schema_text::kSettings).Ok());
  CHECK_FALSE(
    CheckAgainstSchema(std::string(100000, '['), schema_text::kSettings).Ok());
}
