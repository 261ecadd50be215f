#pragma once

#include "HostList.h"
#include "HttpClient.h"

namespace sequoiakeel {

/** Decodes the platform's reply with the list of hosts. Entries that cannot be
 * read are logged and left out, so that one of them does not hide the others.
 * Returns nothing if the reply itself is malformed. Thread safe. */
std::optional<HostListing>
DecodeHostListing(std::string_view aBody);

/** Reads the host list as JSON over HTTP (docs/api.md, section Platform).
 * Thread safe. */
class HttpHostList : public HostList
{
public:
  HttpHostList(boost::asio::any_io_executor aExecutor, Endpoint aEndpoint);

  boost::asio::awaitable<std::optional<HostListing>> Read() override;

private:
  HttpClient client;
};

} // namespace sequoiakeel
