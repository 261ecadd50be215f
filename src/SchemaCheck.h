#pragma once

#include "Findings.h"

#include <string_view>

namespace sequoiakeel {

/**
 * Checks a JSON text against a JSON Schema (draft 7) of
 * src/generated/SchemaText.h: syntax, keys that occur twice and the schema's
 * rules. All findings are returned together, each with its JSON Pointer and
 * line. Thread safe.
 */
Findings
CheckAgainstSchema(std::string_view aText, std::string_view aSchema);

} // namespace sequoiakeel
