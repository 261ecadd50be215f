#pragma once

#include "Findings.h"
#include "Html.h"

#include <string>
#include <string_view>

namespace sequoiakeel {

/**
 * Renders a configuration document as form fields, generated from its schema.
 * A field's name is its JSON Pointer. Each finding stands beside its field;
 * findings without a field stand before the form. Precondition: aDocument is a
 * JSON object. Thread safe.
 */
std::string
RenderConfigurationForm(std::string_view aDocument, const Findings& aFindings);

/**
 * Builds the document from the fields of RenderConfigurationForm. A number that
 * can't be read stays text, so that the check reports it at its place. The
 * field "POINTER remove" drops an item of a list; the field "add" with a
 * list's pointer appends an item with the schema's defaults. Thread safe.
 */
std::string
DocumentFromForm(const FormFields& aFields);

} // namespace sequoiakeel
