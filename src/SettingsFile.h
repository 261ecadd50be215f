#pragma once

#include "Error.h"
#include "Findings.h"
#include "generated/Settings.h"

#include <string>

namespace sequoiakeel {

/** Process exit code for an invalid settings file. */
inline constexpr int kExitSettingsInvalid = 2;

/** Thrown for an invalid settings file. what() lists all findings, one per
 * line.
 */
class SettingsError : public UserError
{
public:
  SettingsError(const std::string& aSource, const Findings& aFindings)
    : UserError(aFindings.Format(aSource))
  {
  }
};

/** Reads and validates a settings file. If the setting host is empty, the name
 * of the process is used as its value. Throws SettingsError with all findings
 * if the file is unreadable or invalid. Thread safe. */
Settings
LoadSettings(const std::string& aPath);

} // namespace sequoiakeel
