#include "Html.h"

#include "Error.h"
#include "HttpMessage.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Decodes percent escapes, and plus signs as spaces. */
std::string
DecodeFormText(std::string_view aText)
{
  std::string spaced(aText);
  std::replace(spaced.begin(), spaced.end(), '+', ' ');
  return PercentDecode(spaced);
}

} // namespace

std::string
EscapeHtml(std::string_view aText)
{
  std::string escaped;
  escaped.reserve(aText.size());
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

FormFields
ParseForm(std::string_view aBody)
{
  FormFields fields;
  std::size_t count = 0;
  while (!aBody.empty()) {
    const std::size_t end = aBody.find('&');
    const std::string_view pair = aBody.substr(0, end);
    aBody = end == std::string_view::npos ? std::string_view()
                                          : aBody.substr(end + 1);
    UserAssert(++count <= kMaxFormFields, "the form has too many fields");
    const std::size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos
                                     ? std::string_view()
                                     : pair.substr(equals + 1);
    fields[DecodeFormText(pair.substr(0, equals))] = DecodeFormText(value);
  }
  return fields;
}

} // namespace sequoiakeel
