#pragma once

#include "HostList.h"
#include "HttpClient.h"

namespace sequoiakeel {

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
