#pragma once

#include "Findings.h"

#include <string_view>

namespace sequoiakeel {

/**
 * Validates a JSON text against a JSON Schema (draft 7), usually one from
 * src/generated/SchemaText.h. Also reports syntax errors, excessive nesting and
 * duplicate keys. Returns all findings, each with its JSON Pointer and line; a
 * syntax error or excessive nesting is the only finding. Thread safe.
 */
Findings
CheckAgainstSchema(std::string_view aText, std::string_view aSchema);

} // namespace sequoiakeel
