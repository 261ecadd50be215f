#include "Findings.h"

#include <utility>

namespace sequoiakeel {

void
Findings::Add(std::string aPlace, std::string aMessage, std::size_t aLine)
{
  this->all.push_back(Finding{ std::move(aPlace), aLine, std::move(aMessage) });
}

std::string
Findings::Format(std::string_view aSource) const
{
  std::string text;
  for (const Finding& finding : this->all) {
    text += aSource;
    if (finding.line > 0) {
      text += ":" + std::to_string(finding.line);
    }
    text += ": " + (finding.place.empty() ? std::string("/") : finding.place);
    text += ": " + finding.message + "\n";
  }
  return text;
}

} // namespace sequoiakeel
