#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** One header field. Names are compared without regard to case. */
struct HttpHeader
{
  std::string name;
  std::string value;
};

/** Header fields in order. */
class HttpHeaders
{
public:
  /** Returns the value of the first field of that name, or an empty view. The
   * view lives as long as the field. */
  std::string_view Get(std::string_view aName) const;

  /** Tells whether there is a field of that name. */
  bool Has(std::string_view aName) const;

  /** Replaces all fields of that name by one. */
  void Set(std::string_view aName, std::string_view aValue);

  /** Appends a field. */
  void Add(std::string_view aName, std::string_view aValue);

  /** Removes all fields of that name. */
  void Remove(std::string_view aName);

  /** Returns the fields in order. */
  const std::vector<HttpHeader>& All() const { return this->fields; }

private:
  std::vector<HttpHeader> fields;
};

/** A request with its whole body. */
struct HttpRequest
{
  std::string method = "GET";
  /** Path with the query, as in the request line. */
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

/** A response with its whole body. */
struct HttpResponse
{
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

/** Returns a response with a body of type application/json. */
HttpResponse
JsonResponse(unsigned aStatus, std::string aBody);

/** Decodes percent escapes; text that is no escape stays as it is. */
std::string
PercentDecode(std::string_view aText);

/** Returns the path of a target, without its query. */
std::string_view
TargetPath(std::string_view aTarget);

/** Returns the decoded value of a query parameter, or an empty string. */
std::string
QueryParameter(std::string_view aTarget, std::string_view aName);

/** Splits a path at its slashes, without empty parts, and decodes percent
 * escapes. */
std::vector<std::string>
PathSegments(std::string_view aTarget);

} // namespace sequoiakeel
