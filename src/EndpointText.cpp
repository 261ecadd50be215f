#include "EndpointText.h"

#include "Error.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace sequoiakeel {

namespace {

std::uint32_t
ParsePort(std::string_view aText,
          std::uint32_t aMinPort,
          const std::string& aWhole)
{
  constexpr std::uint32_t kMaxPort = 65535;
  std::uint32_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, port);
  UserAssert(!aText.empty() && error == std::errc() && rest == end &&
               port >= aMinPort && port <= kMaxPort,
             "'" + aWhole + "': the port must be a number from " +
               std::to_string(aMinPort) + " to 65535");
  return port;
}

} // namespace

Endpoint
ParseEndpoint(std::string_view aText, std::uint32_t aMinPort)
{
  const std::string whole(aText);
  const std::size_t colon = aText.rfind(':');
  UserAssert(colon != std::string_view::npos,
             "'" + whole + "' is not of the form ADDRESS:PORT");
  std::string_view address = aText.substr(0, colon);
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  Endpoint endpoint;
  endpoint.address = std::string(address);
  endpoint.port = ParsePort(aText.substr(colon + 1), aMinPort, whole);
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint.address, error);
  UserAssert(!error, "'" + whole + "': the address must be an IP address");
  return endpoint;
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  const bool six = aEndpoint.address.find(':') != std::string::npos;
  const std::string address =
    six ? "[" + aEndpoint.address + "]" : aEndpoint.address;
  return address + ":" + std::to_string(aEndpoint.port);
}

} // namespace sequoiakeel
