#include "HttpMessage.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace sequoiakeel {

namespace {

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aFirst, char aSecond) {
                      return std::tolower(static_cast<unsigned char>(aFirst)) ==
                             std::tolower(static_cast<unsigned char>(aSecond));
                    });
}

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(aDigit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%' || i + 2 >= aText.size() ||
        HexValue(aText[i + 1]) < 0 || HexValue(aText[i + 2]) < 0) {
      decoded += aText[i];
      continue;
    }
    decoded +=
      static_cast<char>(HexValue(aText[i + 1]) * 16 + HexValue(aText[i + 2]));
    i += 2;
  }
  return decoded;
}

std::string_view
HttpHeaders::Get(std::string_view aName) const
{
  for (const HttpHeader& field : this->fields) {
    if (SameName(field.name, aName)) {
      return field.value;
    }
  }
  return {};
}

bool
HttpHeaders::Has(std::string_view aName) const
{
  return std::any_of(
    this->fields.begin(), this->fields.end(), [&](const HttpHeader& aField) {
      return SameName(aField.name, aName);
    });
}

void
HttpHeaders::Set(std::string_view aName, std::string_view aValue)
{
  this->Remove(aName);
  this->Add(aName, aValue);
}

void
HttpHeaders::Add(std::string_view aName, std::string_view aValue)
{
  this->fields.push_back(HttpHeader{ std::string(aName), std::string(aValue) });
}

void
HttpHeaders::Remove(std::string_view aName)
{
  std::erase_if(this->fields, [&](const HttpHeader& aField) {
    return SameName(aField.name, aName);
  });
}

HttpResponse
JsonResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.Set("Content-Type", "application/json");
  response.body = std::move(aBody);
  return response;
}

std::string_view
TargetPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
QueryParameter(std::string_view aTarget, std::string_view aName)
{
  const std::size_t start = aTarget.find('?');
  if (start == std::string_view::npos) {
    return {};
  }
  std::string_view rest = aTarget.substr(start + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos
               ? std::string()
               : PercentDecode(pair.substr(equals + 1));
    }
    rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  return {};
}

std::vector<std::string>
PathSegments(std::string_view aTarget)
{
  std::vector<std::string> segments;
  std::string_view rest = TargetPath(aTarget);
  while (!rest.empty()) {
    const std::size_t end = rest.find('/');
    const std::string_view segment = rest.substr(0, end);
    rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    if (segment.empty()) {
      continue;
    }
    segments.push_back(PercentDecode(segment));
  }
  return segments;
}

} // namespace sequoiakeel
