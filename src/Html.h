#pragma once

#include <map>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Fields of a form by name; of several with one name the last counts. */
using FormFields = std::map<std::string, std::string>;

/** Escapes text for element content and quoted attributes. Thread safe. */
std::string
EscapeHtml(std::string_view aText);

/** Reads a body of type application/x-www-form-urlencoded. Throws UserError if
 * it has more than kMaxFormFields fields. Thread safe. */
FormFields
ParseForm(std::string_view aBody);

/** Fields that a form may have. */
inline constexpr std::size_t kMaxFormFields = 20000;

} // namespace sequoiakeel
