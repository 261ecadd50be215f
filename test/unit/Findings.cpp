#include "Findings.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against formatting that omits a finding, its JSON Pointer or its line.
TEST_CASE("findings are formatted together, each with its JSON Pointer")
{
  Findings findings;
  findings.Add("/teams/0/name", "must not be empty", 4);
  findings.Add("", "missing property: cells");
  CHECK_FALSE(findings.Ok());
  CHECK(findings.Format("a.json") ==
        "a.json:4: /teams/0/name: must not be empty\na.json: /: missing "
        "property: cells\n");
}
