#include "ActiveConfiguration.h"

#include "Error.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

std::string
Document(std::uint64_t aGeneration, const std::string& aTeam)
{
  const std::string filler(2000, 'f');
  return WithDocumentHead(R"({"teams": [{"name": ")" + aTeam +
                            R"("}], "filler": ")" + filler + R"("})",
                          { aGeneration, "w", "ann" });
}

FetchConfiguration
Have(std::uint64_t aGeneration)
{
  FetchConfiguration request;
  request.haveGeneration = aGeneration;
  return request;
}

} // namespace

// Guards against a delayed or repeated document that replaces a newer one.
TEST_CASE("only a higher generation is activated")
{
  ActiveConfiguration active;
  CHECK(active.Activate(Document(5, "five")));
  CHECK_FALSE(active.Activate(Document(4, "four")));
  CHECK_FALSE(active.Activate(Document(5, "other")));
  CHECK(active.Document() == Document(5, "five"));
  CHECK(active.Activate(Document(9, "nine")));
  CHECK(active.Generation() == 9);
}

// Guards against patches that result in a document other than the sender's.
TEST_CASE("a patch updates an outdated process to the sender's document")
{
  ActiveConfiguration ahead;
  ActiveConfiguration behind;
  for (std::uint64_t generation = 1; generation <= 80; ++generation) {
    ahead.Activate(Document(generation, "t" + std::to_string(generation)));
    if (generation == 70) {
      behind.Activate(ahead.Document());
    }
  }
  ConfigurationReply reply = ahead.ReplyTo(Have(70));
  CHECK(reply.isPatch);
  CHECK(reply.body.size() < ahead.Document().size());
  CHECK(behind.Resolve(reply) == ahead.Document());
  CHECK_FALSE(ahead.ReplyTo(Have(15)).isPatch);
  CHECK_FALSE(ahead.ReplyTo(Have(0)).isPatch);
  CHECK(behind.Resolve(ahead.ReplyTo(Have(0))) == ahead.Document());
  CHECK(ahead.ReplyTo(Have(80)).body.empty());
  CHECK(ahead.History().size() == kKeptChanges);
  CHECK(ahead.History().back().changed ==
        std::vector<std::string>{ "/teams/0/name" });
}

// Guards against using a reply that is corrupted, is a patch for another base
// document, or states a generation other than that of its document.
TEST_CASE("a reply that fails validation is not used")
{
  ActiveConfiguration ahead;
  ActiveConfiguration behind;
  behind.Activate(Document(1, "different"));
  ahead.Activate(Document(1, "one"));
  ahead.Activate(Document(2, "two"));
  ConfigurationReply patch = ahead.ReplyTo(Have(1));
  REQUIRE(patch.isPatch);
  CHECK(behind.Resolve(patch) == ahead.Document());
  ++patch.documentHash;
  CHECK_FALSE(behind.Resolve(patch).has_value());
  ConfigurationReply whole = ahead.ReplyTo(Have(0));
  whole.generation = 3;
  CHECK_FALSE(behind.Resolve(whole).has_value());
  whole = ahead.ReplyTo(Have(0));
  whole.body.resize(whole.body.size() / 2);
  CHECK_FALSE(behind.Resolve(whole).has_value());
  ActiveConfiguration other;
  other.Activate(R"({"generation": 1, "teams": []})");
  CHECK_FALSE(other.Resolve(ahead.ReplyTo(Have(1))).has_value());
  whole = ahead.ReplyTo(Have(0));
  behind.Activate(Document(7, "seven"));
  CHECK_FALSE(behind.Resolve(whole).has_value());
}

// Guards against stack overflow on deeply nested text from a peer or an
// operator, and against accepting text that is not a document.
TEST_CASE("text that is not a valid document is rejected")
{
  CHECK_THROWS_AS(CanonicalDocument(std::string(100000, '[')), UserError);
  CHECK_THROWS_AS(
    CanonicalDocument(std::string(100, '[') + std::string(100, ']')),
    UserError);
  CHECK_THROWS_AS(CanonicalDocument("[]"), UserError);
  CHECK_THROWS_AS(ReadDocumentHead(R"({"generation": "x"})"), UserError);
  CHECK_THROWS_AS(CanonicalDocument("{\"a\": \"\xff\"}"), UserError);
}
