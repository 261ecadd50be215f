#pragma once

#include "Findings.h"
#include "generated/Configuration.h"

#include <string_view>

namespace sequoiakeel {

/** Shortest deadline of a service, in milliseconds: a round trip to the client
 * and between availability zones. */
inline constexpr std::int64_t kMinServiceDeadlineMs = 10;

/** Connections that a worker takes. */
inline constexpr std::int64_t kWorkerConnections = 64;

/**
 * Checks a configuration document: syntax, schema and the rules across fields.
 * All findings are returned together, each with its JSON Pointer and line.
 * Thread safe.
 */
Findings
CheckConfiguration(std::string_view aText);

/** Reads a document. Precondition: CheckConfiguration() found nothing. Thread
 * safe. */
Configuration
ParseConfiguration(std::string_view aText);

} // namespace sequoiakeel
