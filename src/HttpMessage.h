#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** One header field. Names are compared case-insensitively. */
struct HttpHeader
{
  std::string name;
  std::string value;
};

/** Header fields in the order in which they were added. */
class HttpHeaders
{
public:
  /** Returns the value of the first field of that name, or an empty view. The
   * view is valid until the header fields are next modified. */
  std::string_view Get(std::string_view aName) const;

  bool Has(std::string_view aName) const;

  /** Replaces all fields of that name with a single field. */
  void Set(std::string_view aName, std::string_view aValue);

  /** Appends a field; existing fields of that name are kept. */
  void Add(std::string_view aName, std::string_view aValue);

  /** Removes all fields of that name. */
  void Remove(std::string_view aName);

  const std::vector<HttpHeader>& All() const { return this->fields; }

private:
  std::vector<HttpHeader> fields;
};

/** A request with its complete body. */
struct HttpRequest
{
  std::string method = "GET";
  /** Path and query string, as in the request line. */
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

/** A response with its complete body. */
struct HttpResponse
{
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

/** Returns a response with a body of type application/json. */
HttpResponse
JsonResponse(unsigned aStatus, std::string aBody);

/** Decodes percent escapes. Malformed escapes are copied unchanged. */
std::string
PercentDecode(std::string_view aText);

/** Returns the path of a request target, without the query string. */
std::string_view
TargetPath(std::string_view aTarget);

/** Returns the percent-decoded value of the first query parameter of that name,
 * or an empty string. */
std::string
QueryParameter(std::string_view aTarget, std::string_view aName);

/** Splits the path of a request target at slashes, omits empty segments and
 * decodes percent escapes in each segment. */
std::vector<std::string>
PathSegments(std::string_view aTarget);

} // namespace sequoiakeel
