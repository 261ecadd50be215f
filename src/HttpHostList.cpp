#include "HttpHostList.h"

#include "BoundedJson.h"
#include "Error.h"
#include "Log.h"
#include "generated/PlatformJson.h"

#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 1500 };

/** Longest text of an entry in a log line. */
constexpr std::size_t kMaxLoggedEntry = 200;

/** Returns a port, 0 if there is none. Throws UserError if it is out of range,
 * which a conversion to the type of the field would not notice. */
std::uint32_t
ReadPort(const nlohmann::json& aEntry, const char* aName)
{
  constexpr std::uint64_t kMaxPort = 65535;
  const auto found = aEntry.find(aName);
  if (found == aEntry.end()) {
    return 0;
  }
  UserAssert(found->is_number_unsigned() &&
               found->get<std::uint64_t>() <= kMaxPort,
             std::string(aName) + " is no port");
  return found->get<std::uint32_t>();
}

HostRecord
DecodeHost(const nlohmann::json& aEntry)
{
  UserAssert(aEntry.is_object(), "the entry is no object");
  auto host = aEntry.get<HostRecord>();
  host.requestPort = ReadPort(aEntry, "request_port");
  host.agentPort = ReadPort(aEntry, "agent_port");
  return host;
}

} // namespace

std::optional<HostListing>
DecodeHostListing(std::string_view aBody)
{
  const auto reply = ParseJson(aBody, DeepValues::LeaveOut);
  if (!reply || !reply->is_object()) {
    return std::nullopt;
  }
  const auto revision = reply->find("revision");
  const auto hosts = reply->find("hosts");
  if (hosts == reply->end() || !hosts->is_array()) {
    return std::nullopt;
  }
  HostListing listing;
  if (revision != reply->end() && revision->is_number_unsigned()) {
    listing.revision = revision->get<std::uint64_t>();
  }
  for (const nlohmann::json& entry : *hosts) {
    try {
      listing.hosts.push_back(DecodeHost(entry));
    } catch (const std::exception& error) {
      Event("host_entry_unreadable", LogLevel::Warning)
        .Add(
          "entry",
          entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            .substr(0, kMaxLoggedEntry))
        .Add("error", error.what());
    }
  }
  return listing;
}

HttpHostList::HttpHostList(asio::any_io_executor aExecutor, Endpoint aEndpoint)
  : client(std::move(aExecutor), std::move(aEndpoint))
{
}

asio::awaitable<std::optional<HostListing>>
HttpHostList::Read()
{
  HttpRequest request;
  request.target = "/v1/hosts";
  const ExchangeResult exchange = co_await this->client.Call(
    std::move(request), TransferTimeout::Silence(kTimeout));
  if (!exchange.Complete() || exchange.response.status != 200) {
    co_return std::nullopt;
  }
  auto listing = DecodeHostListing(exchange.response.body);
  if (!listing) {
    Event("host_list_malformed", LogLevel::Warning)
      .Add("bytes", static_cast<std::uint64_t>(exchange.response.body.size()));
  }
  co_return listing;
}

} // namespace sequoiakeel
