#pragma once

#include "Findings.h"
#include "generated/Configuration.h"

#include <string_view>

namespace sequoiakeel {

/** Minimum deadline_ms of a service, in milliseconds. A request needs at least
 * one round trip to the client and one between availability zones. */
inline constexpr std::int64_t kMinServiceDeadlineMs = 10;

/** Maximum number of concurrent connections that a worker accepts. */
inline constexpr std::int64_t kMaxWorkerConnections = 64;

/**
 * Validates a configuration document: JSON syntax, schema and cross-field
 * rules. Returns all findings, each with its JSON Pointer and line. Cross-field
 * rules are skipped if the document cannot be parsed. Thread safe.
 */
Findings
CheckConfiguration(std::string_view aText);

/** Parses a configuration document. Precondition: CheckConfiguration() returned
 * no findings for aText; otherwise nlohmann::json exceptions may be thrown.
 * Thread safe. */
Configuration
ParseConfiguration(std::string_view aText);

} // namespace sequoiakeel
