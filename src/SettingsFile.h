#pragma once

#include "Error.h"
#include "Findings.h"
#include "generated/Settings.h"

#include <string>

namespace sequoiakeel {

/** Exit code of a program whose settings have findings. */
inline constexpr int kExitSettingsInvalid = 2;

/** A settings file has findings; what() lists all of them, a line each. */
class SettingsError : public UserError
{
public:
  SettingsError(const std::string& aSource, const Findings& aFindings)
    : UserError(aFindings.Format(aSource))
  {
  }
};

/** Reads and checks a settings file. Throws SettingsError with all findings.
 * Thread safe. */
Settings
LoadSettings(const std::string& aPath);

} // namespace sequoiakeel
