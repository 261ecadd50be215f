#include "Findings.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against a report that drops a fault or its place.
TEST_CASE("findings are reported together, each with its place")
{
  Findings findings;
  findings.Add("/teams/0/name", "must not be empty", 4);
  findings.Add("", "missing property: cells");
  CHECK_FALSE(findings.Ok());
  CHECK(findings.Format("a.json") ==
        "a.json:4: /teams/0/name: must not be empty\na.json: /: missing "
        "property: cells\n");
}
