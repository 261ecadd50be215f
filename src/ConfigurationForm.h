#pragma once

#include "Findings.h"
#include "Html.h"

#include <string>
#include <string_view>

namespace sequoiakeel {

/**
 * Renders a configuration document as HTML form fields generated from the
 * configuration schema. The name of each field is its JSON Pointer. Findings
 * are shown next to their field, or before the form if they have no field.
 * Precondition: aDocument is a JSON object. Thread safe.
 */
std::string
RenderConfigurationForm(std::string_view aDocument, const Findings& aFindings);

/**
 * Builds a configuration document from the submitted fields of a form rendered
 * by RenderConfigurationForm(). A value of an integer field that is not a valid
 * integer is kept as a string, so that CheckConfiguration() reports it at its
 * JSON Pointer. A submitted field named "POINTER remove" removes the item at
 * that JSON Pointer from its list; a field named "add", with the JSON Pointer
 * of a list as its value, appends an item with the default values of the
 * schema. Thread safe.
 */
std::string
DocumentFromForm(const FormFields& aFields);

} // namespace sequoiakeel
