#pragma once

#include "ConfigurationAgent.h"
#include "GossipService.h"
#include "HttpMessage.h"
#include "PlannerDirectory.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace sequoiakeel {

/** HTTP interface of an entry for operators (docs/api.md, section Operators).
 * Thread safe. */
class OperatorCalls
{
public:
  /** The referenced objects must outlive this object. */
  OperatorCalls(std::string aEntry,
                ConfigurationAgent& aAgent,
                const GossipService& aGossip,
                PlannerDirectory& aDirectory);

  /** Serves GET and PUT /v1/configuration. */
  boost::asio::awaitable<HttpResponse> Configuration(HttpRequest aMessage);

  /** Serves GET /v1/configuration/history. */
  HttpResponse History() const;

  /** Serves GET /v1/status. */
  boost::asio::awaitable<HttpResponse> Status();

private:
  boost::asio::awaitable<HttpResponse> Apply(HttpRequest aMessage);

  std::string entry;
  ConfigurationAgent* agent;
  const GossipService* gossip;
  PlannerDirectory* directory;
};

} // namespace sequoiakeel
