#include "HttpHostList.h"

#include "Log.h"
#include "generated/PlatformJson.h"

#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 1500 };

} // namespace

HttpHostList::HttpHostList(asio::any_io_executor aExecutor, Endpoint aEndpoint)
  : client(std::move(aExecutor), std::move(aEndpoint))
{
}

asio::awaitable<std::optional<HostListing>>
HttpHostList::Read()
{
  HttpRequest request;
  request.target = "/v1/hosts";
  const ExchangeResult exchange =
    co_await this->client.Call(std::move(request), kTimeout);
  if (!exchange.Complete() || exchange.response.status != 200) {
    co_return std::nullopt;
  }
  try {
    co_return nlohmann::json::parse(exchange.response.body).get<HostListing>();
  } catch (const std::exception& error) {
    Event("host_list_malformed", LogLevel::Warning).Add("error", error.what());
  }
  co_return std::nullopt;
}

} // namespace sequoiakeel
