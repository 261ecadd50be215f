#include "ConfigurationPeers.h"

#include "Error.h"
#include "PeerCodec.h"
#include "WireValidator.h"

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** A peer that has not replied within this time counts as unresponsive. Equal
 * to the default of ConfigurationTimes::startupWindow. */
constexpr TransferTimeout kFetchTimeout =
  TransferTimeout::Silence(std::chrono::seconds(2));

asio::awaitable<std::optional<ConfigurationReply>>
FetchOnce(PeerClient& aClient, MemberRow aPeer, FetchConfiguration aRequest)
{
  Endpoint endpoint;
  endpoint.address = aPeer.address;
  endpoint.port = aPeer.port;
  const PeerReply reply = co_await aClient.Call(std::move(endpoint),
                                                PeerMessage::FetchConfiguration,
                                                EncodeMessage(aRequest),
                                                kFetchTimeout);
  if (!reply || !IsWellFormed<ConfigurationReply>(*reply)) {
    co_return std::nullopt;
  }
  co_return DecodeMessage<ConfigurationReply>(*reply);
}

asio::awaitable<std::string>
Answer(const ConfigurationAgent& aAgent, std::string aBody)
{
  if (!IsWellFormed<FetchConfiguration>(aBody)) {
    throw UserError("malformed FetchConfiguration request");
  }
  const auto request = DecodeMessage<FetchConfiguration>(aBody);
  co_return EncodeMessage(aAgent.ReplyTo(*request));
}

} // namespace

FetchFromPeer
FetchOverRpc(PeerClient& aClient)
{
  return [&aClient](MemberRow aPeer, FetchConfiguration aRequest) {
    return FetchOnce(aClient, std::move(aPeer), aRequest);
  };
}

void
ServeConfiguration(PeerServer& aServer, const ConfigurationAgent& aAgent)
{
  aServer.Handle(PeerMessage::FetchConfiguration, [&aAgent](std::string aBody) {
    return Answer(aAgent, std::move(aBody));
  });
}

} // namespace sequoiakeel
