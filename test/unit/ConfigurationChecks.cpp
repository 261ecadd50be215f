#include "ConfigurationCheck.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

bool
HasFindingAt(const Findings& aFindings, std::string_view aPlace)
{
  return std::any_of(aFindings.All().begin(),
                     aFindings.All().end(),
                     [&](const Finding& aFinding) {
                       return aFinding.place == aPlace && aFinding.line > 0;
                     });
}

} // namespace

// Guards against validation that accepts a document which an entry could not
// apply, or that stops at the first error.
TEST_CASE("schema errors and cross-field errors are reported together")
{
  const Findings findings = CheckConfiguration(R"({
    "cells": [{ "name": "a", "zone": "z" }, { "name": "a", "zone": "z", "racks": ["r"] }],
    "services": [{ "name": "quote", "deadline_ms": 3, "slots_per_worker": 80, "hosts": ["h1"] }],
    "task_classes": [{ "name": "batch" }],
    "teams": [{ "name": "planning" }, { "name": "planning" }],
    "leaving_hosts": ["h1"],
    "limits": { "connections_per_worker": 65, "entries_max": 64, "retry_percent": 200 }
  })");
  CHECK(HasFindingAt(findings, "/cells/1/name"));
  CHECK(HasFindingAt(findings, "/cells/1/racks"));
  CHECK(HasFindingAt(findings, "/services/0/deadline_ms"));
  CHECK(HasFindingAt(findings, "/services/0/slots_per_worker"));
  CHECK(HasFindingAt(findings, "/services/0/hosts"));
  CHECK(HasFindingAt(findings, "/teams/1/name"));
  CHECK(HasFindingAt(findings, "/limits/connections_per_worker"));
  CHECK(HasFindingAt(findings, "/limits/retry_percent"));
}

// Guards against validation that rejects a valid document.
TEST_CASE("a valid document has no findings")
{
  const Findings findings = CheckConfiguration(R"({
    "cells": [{ "name": "a", "zone": "z", "racks": ["r1"] }, { "name": "b", "zone": "z", "racks": ["r2"] }],
    "services": [{ "name": "quote", "deadline_ms": 2000 }],
    "task_classes": [{ "name": "batch" }],
    "teams": [{ "name": "planning", "quota": { "cpu_millis": 1000 } }]
  })");
  CHECK(findings.Format("document") == "");
}
