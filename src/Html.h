#pragma once

#include <map>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Form values by field name. If a name is repeated, the last value is kept. */
using FormFields = std::map<std::string, std::string>;

/** Escapes text for element content and quoted attributes. Thread safe. */
std::string
EscapeHtml(std::string_view aText);

/** Parses a body of type application/x-www-form-urlencoded. Throws UserError if
 * it has more than kMaxFormFields fields. Thread safe. */
FormFields
ParseForm(std::string_view aBody);

/** Maximum number of fields in a form. */
inline constexpr std::size_t kMaxFormFields = 20000;

} // namespace sequoiakeel
