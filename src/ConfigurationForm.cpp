#include "ConfigurationForm.h"

#include "JsonPositions.h"
#include "generated/SchemaText.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace sequoiakeel {

// Keeps the form fields in the order in which the schema declares them.
using nlohmann::ordered_json;

namespace {

/** Fields that are set when a configuration is applied; the form omits them.
 */
constexpr std::array<std::string_view, 3> kFieldsSetByApply{ "/generation",
                                                             "/write_id",
                                                             "/author" };
/** Suffix of the field name of the check box that removes a list item. */
constexpr const char* kRemoveSuffix = " remove";

const ordered_json&
Schema()
{
  static const ordered_json kSchema =
    ordered_json::parse(schema_text::kConfiguration);
  return kSchema;
}

/** Resolves a "$ref" to the schema's definitions; returns other nodes as they
 * are. */
const ordered_json&
ResolveReference(const ordered_json& aNode)
{
  const auto reference = aNode.find("$ref");
  if (reference == aNode.end()) {
    return aNode;
  }
  const auto text = reference->get<std::string>();
  return Schema().at("$defs").at(text.substr(text.rfind('/') + 1));
}

bool
IsSetByApply(std::string_view aPlace)
{
  return std::find(kFieldsSetByApply.begin(),
                   kFieldsSetByApply.end(),
                   aPlace) != kFieldsSetByApply.end();
}

bool
IsArrayOfObjects(const ordered_json& aArray)
{
  return ResolveReference(aArray.at("items")).value("type", "") == "object";
}

bool
IsRequired(const ordered_json& aObject, const std::string& aName)
{
  for (const ordered_json& name :
       aObject.value("required", ordered_json::array())) {
    if (name == aName) {
      return true;
    }
  }
  return false;
}

/** Returns a new list item with the default values of the schema. Required
 * properties without a default are empty strings. */
ordered_json
DefaultItem(const ordered_json& aSchema)
{
  ordered_json item = ordered_json::object();
  for (const auto& [name, reference] : aSchema.at("properties").items()) {
    const ordered_json& property = ResolveReference(reference);
    if (property.contains("default")) {
      item[name] = property.at("default");
    } else if (IsRequired(aSchema, name)) {
      item[name] = "";
    }
  }
  return item;
}

/** Renders a document as HTML form fields. */
class FormWriter
{
public:
  explicit FormWriter(const Findings& aFindings)
  {
    for (const Finding& finding : aFindings.All()) {
      this->unrenderedFindings[finding.place].push_back(finding.message);
    }
  }

  void Object(const ordered_json& aSchema,
              const ordered_json& aValue,
              const std::string& aPlace)
  {
    for (const auto& [name, reference] : aSchema.at("properties").items()) {
      const std::string place = aPlace + "/" + EscapePointerToken(name);
      if (IsSetByApply(place)) {
        continue;
      }
      const auto found = aValue.is_object() ? aValue.find(name) : aValue.end();
      const bool present = aValue.is_object() && found != aValue.end();
      this->Property(name,
                     reference,
                     present ? *found : ordered_json(),
                     place,
                     IsRequired(aSchema, name));
    }
  }

  std::string Finish()
  {
    std::string rest;
    for (const auto& [place, messages] : this->unrenderedFindings) {
      for (const std::string& message : messages) {
        rest += "<p class=finding>" + EscapeHtml(place) + " " +
                EscapeHtml(message) + "</p>\n";
      }
    }
    return rest + this->html;
  }

private:
  void Property(const std::string& aName,
                const ordered_json& aReference,
                const ordered_json& aValue,
                const std::string& aPlace,
                bool aRequired)
  {
    const ordered_json& schema = ResolveReference(aReference);
    const std::string type = schema.value("type", "");
    const std::string help =
      aReference.value("description", schema.value("description", ""));
    if (type == "object") {
      this->html += "<fieldset><legend>" + EscapeHtml(aName) + "</legend>\n";
      this->WriteHelpAndFindings(help, aPlace);
      this->Object(schema, aValue, aPlace);
      this->html += "</fieldset>\n";
    } else if (type == "array" && IsArrayOfObjects(schema)) {
      this->List(aName, ResolveReference(schema.at("items")), aValue, aPlace);
    } else {
      this->Field(aName, schema, aValue, aPlace, aRequired, help);
    }
  }

  void List(const std::string& aName,
            const ordered_json& aItem,
            const ordered_json& aValue,
            const std::string& aPlace)
  {
    this->html += "<fieldset><legend>" + EscapeHtml(aName) + "</legend>\n";
    this->WriteHelpAndFindings(aItem.value("description", ""), aPlace);
    std::size_t index = 0;
    for (const ordered_json& item : aValue) {
      const std::string place = aPlace + "/" + std::to_string(index++);
      const std::string title =
        item.is_object() && item.contains("name") && item["name"].is_string()
          ? item["name"].get<std::string>()
          : std::string();
      this->html += "<fieldset class=item><legend>" +
                    EscapeHtml(title.empty() ? "new" : title) + "</legend>\n";
      this->WriteHelpAndFindings("", place);
      this->Object(aItem, item, place);
      this->html += "<label class=remove><input type=checkbox name=\"" +
                    EscapeHtml(place + kRemoveSuffix) +
                    "\" value=yes> Remove</label></fieldset>\n";
    }
    this->html += "<button name=add value=\"" + EscapeHtml(aPlace) +
                  "\">Add to " + EscapeHtml(aName) + "</button></fieldset>\n";
  }

  void Field(const std::string& aName,
             const ordered_json& aSchema,
             const ordered_json& aValue,
             const std::string& aPlace,
             bool aRequired,
             const std::string& aHelp)
  {
    const std::string name = EscapeHtml(aPlace);
    this->html += "<div class=field><label for=\"" + name + "\">" +
                  EscapeHtml(aName) + (aRequired ? " *" : "") + "</label>";
    const std::string attributes = " id=\"" + name + "\" name=\"" + name + "\"";
    if (aSchema.contains("enum")) {
      this->Select(attributes, aSchema.at("enum"), aSchema, aValue);
    } else if (aSchema.value("type", "") == "boolean") {
      const ordered_json choices = ordered_json::array({ true, false });
      this->Select(attributes, choices, aSchema, aValue);
    } else if (aSchema.value("type", "") == "array") {
      this->html += "<textarea rows=3" + attributes + ">\n" +
                    EscapeHtml(Lines(aValue)) + "</textarea>";
    } else {
      const ordered_json preset = aSchema.value("default", ordered_json());
      this->html += "<input" + attributes + " value=\"" +
                    EscapeHtml(Text(aValue)) + "\" placeholder=\"" +
                    EscapeHtml(Text(preset)) + "\">";
    }
    this->html += "<div>";
    const bool list = aSchema.value("type", "") == "array";
    this->WriteHelpAndFindings(
      aHelp + (list ? " One per line." : "") + Range(aSchema), aPlace);
    this->html += "</div></div>\n";
  }

  /** Returns the help text for the range of an integer field; empty for other
   * types. */
  static std::string Range(const ordered_json& aSchema)
  {
    if (aSchema.value("type", "") != "integer") {
      return "";
    }
    const std::string from = Text(aSchema.value("minimum", ordered_json()));
    const std::string to = Text(aSchema.value("maximum", ordered_json()));
    return " Whole number" + (from.empty() ? "" : " from " + from) +
           (to.empty() ? "." : " to " + to + ".");
  }

  void Select(const std::string& aAttributes,
              const ordered_json& aChoices,
              const ordered_json& aSchema,
              const ordered_json& aValue)
  {
    const ordered_json& chosen = aValue.is_null() && aSchema.contains("default")
                                   ? aSchema.at("default")
                                   : aValue;
    this->html += "<select" + aAttributes + ">";
    for (const ordered_json& choice : aChoices) {
      this->html += std::string("<option") +
                    (choice == chosen ? " selected" : "") + ">" +
                    EscapeHtml(Text(choice)) + "</option>";
    }
    this->html += "</select>";
  }

  /** Writes the help text and the findings of the value at aPlace. Findings
   * that are written here are not listed again before the form. */
  void WriteHelpAndFindings(const std::string& aHelp, const std::string& aPlace)
  {
    if (!aHelp.empty()) {
      this->html += "<small>" + EscapeHtml(aHelp) + "</small>";
    }
    const auto found = this->unrenderedFindings.find(aPlace);
    if (found == this->unrenderedFindings.end()) {
      return;
    }
    for (const std::string& message : found->second) {
      this->html +=
        "<strong class=finding>" + EscapeHtml(message) + "</strong>";
    }
    this->unrenderedFindings.erase(found);
  }

  static std::string Text(const ordered_json& aValue)
  {
    if (aValue.is_null()) {
      return "";
    }
    return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
  }

  static std::string Lines(const ordered_json& aValue)
  {
    std::string text;
    for (const ordered_json& line : aValue) {
      text += Text(line) + "\n";
    }
    return text;
  }

  std::map<std::string, std::vector<std::string>> unrenderedFindings;
  std::string html;
};

/** Builds a configuration document from submitted form fields. */
class FormReader
{
public:
  explicit FormReader(const FormFields& aFields)
    : fields(aFields)
  {
  }

  ordered_json Object(const ordered_json& aSchema, const std::string& aPlace)
  {
    ordered_json object = ordered_json::object();
    for (const auto& [name, reference] : aSchema.at("properties").items()) {
      const std::string place = aPlace + "/" + EscapePointerToken(name);
      if (IsSetByApply(place)) {
        continue;
      }
      const ordered_json& schema = ResolveReference(reference);
      const std::string type = schema.value("type", "");
      if (type == "object") {
        ordered_json value = this->Object(schema, place);
        if (!value.empty()) {
          object[name] = std::move(value);
        }
      } else if (type == "array" && IsArrayOfObjects(schema)) {
        object[name] = this->List(ResolveReference(schema.at("items")), place);
      } else {
        this->Field(object, name, schema, place, IsRequired(aSchema, name));
      }
    }
    return object;
  }

private:
  bool HasFieldsBelow(const std::string& aPlace) const
  {
    const auto found = this->fields.lower_bound(aPlace + "/");
    return found != this->fields.end() &&
           found->first.rfind(aPlace + "/", 0) == 0;
  }

  ordered_json List(const ordered_json& aItem, const std::string& aPlace)
  {
    ordered_json list = ordered_json::array();
    for (std::size_t index = 0;; ++index) {
      const std::string place = aPlace + "/" + std::to_string(index);
      if (!this->HasFieldsBelow(place)) {
        break;
      }
      if (!this->fields.contains(place + kRemoveSuffix)) {
        list.push_back(this->Object(aItem, place));
      }
    }
    const auto add = this->fields.find("add");
    if (add != this->fields.end() && add->second == aPlace) {
      list.push_back(DefaultItem(aItem));
    }
    return list;
  }

  void Field(ordered_json& aObject,
             const std::string& aName,
             const ordered_json& aSchema,
             const std::string& aPlace,
             bool aRequired) const
  {
    const auto found = this->fields.find(aPlace);
    const std::string text =
      found == this->fields.end() ? std::string() : found->second;
    const std::string type = aSchema.value("type", "");
    if (type == "array") {
      aObject[aName] = Lines(text);
    } else if (text.empty()) {
      if (aRequired) {
        aObject[aName] = "";
      }
    } else if (type == "boolean" && (text == "true" || text == "false")) {
      aObject[aName] = text == "true";
    } else if (type == "integer") {
      aObject[aName] = Integer(text);
    } else {
      aObject[aName] = text;
    }
  }

  static ordered_json Integer(const std::string& aText)
  {
    std::int64_t value = 0;
    const char* end = aText.data() + aText.size();
    const auto [rest, error] = std::from_chars(aText.data(), end, value);
    return error == std::errc() && rest == end ? ordered_json(value)
                                               : ordered_json(aText);
  }

  static ordered_json Lines(const std::string& aText)
  {
    constexpr const char* kSpace = " \t\r";
    ordered_json list = ordered_json::array();
    std::istringstream lines(aText);
    std::string line;
    while (std::getline(lines, line)) {
      const std::size_t start = line.find_first_not_of(kSpace);
      if (start == std::string::npos) {
        continue;
      }
      const std::size_t end = line.find_last_not_of(kSpace);
      list.push_back(line.substr(start, end - start + 1));
    }
    return list;
  }

  const FormFields& fields;
};

} // namespace

std::string
RenderConfigurationForm(std::string_view aDocument, const Findings& aFindings)
{
  FormWriter writer(aFindings);
  writer.Object(ResolveReference(Schema()), ordered_json::parse(aDocument), "");
  return writer.Finish();
}

std::string
DocumentFromForm(const FormFields& aFields)
{
  FormReader reader(aFields);
  // Invalid UTF-8 is replaced, since JSON strings must be valid UTF-8.
  return reader.Object(ResolveReference(Schema()), "")
    .dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace sequoiakeel
