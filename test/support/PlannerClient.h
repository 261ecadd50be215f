#pragma once

#include "PeerCodec.h"
#include "PeerRpc.h"
#include "generated/Messages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace sequoiakeel {

/** Sends one request to a planner and waits for the reply. Throws
 * std::runtime_error if there is none. */
template<class Reply, class Request>
Reply
AskPlanner(const Endpoint& aPlanner, PeerMessage aKind, const Request& aRequest)
{
  boost::asio::io_context context;
  PeerClient client(context.get_executor());
  auto future = boost::asio::co_spawn(
    context,
    client.Call(
      aPlanner, aKind, EncodeMessage(aRequest), std::chrono::seconds(30)),
    boost::asio::use_future);
  context.run();
  const PeerReply bytes = future.get();
  if (!bytes) {
    throw std::runtime_error("the planner did not answer");
  }
  return DecodeMessage<Reply>(*bytes).value();
}

} // namespace sequoiakeel
