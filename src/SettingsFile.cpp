#include "SettingsFile.h"

#include "SchemaCheck.h"
#include "generated/SchemaText.h"
#include "generated/SettingsJson.h"

#include <fstream>
#include <sstream>

namespace sequoiakeel {

Settings
LoadSettings(const std::string& aPath)
{
  Findings findings;
  std::ifstream file(aPath);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file) {
    findings.Add("", "cannot be read");
    throw SettingsError(aPath, findings);
  }
  const std::string text = content.str();
  findings = CheckAgainstSchema(text, schema_text::kSettings);
  if (!findings.Ok()) {
    throw SettingsError(aPath, findings);
  }
  Settings settings = nlohmann::json::parse(text).get<Settings>();
  if (settings.host.empty()) {
    settings.host = settings.name;
  }
  return settings;
}

} // namespace sequoiakeel
