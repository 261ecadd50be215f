#pragma once

#include "Html.h"
#include "HttpMessage.h"
#include "OperatorClient.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Returns a new random form token. Thread safe. */
std::string
NewFormToken();

/**
 * Pages of the operators' console: forms that produce the configuration
 * document, its difference to the active one, and its application.
 *
 * A request must name one of the allowed hosts, which keeps out names that were
 * rebound to this address. A change must come from a page of this console: its
 * Origin must be the host and its form must carry the token. Thread safe.
 */
class ConsolePages
{
public:
  /** aHosts are the values of the Host header under which the console is
   * reached. The client must outlive the object. */
  ConsolePages(OperatorClient& aClient,
               std::vector<std::string> aHosts,
               std::string aToken);

  /** Serves one request. */
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpResponse> Edit();
  boost::asio::awaitable<HttpResponse> Review(FormFields aFields);
  boost::asio::awaitable<HttpResponse> Apply(FormFields aFields);
  boost::asio::awaitable<HttpResponse> Status();
  bool AllowsHost(const HttpRequest& aRequest) const;
  bool AllowsChange(const HttpRequest& aRequest,
                    const FormFields& aFields) const;
  HttpResponse FormPage(const std::string& aDocument,
                        const std::string& aBase,
                        const std::string& aAuthor,
                        const Findings& aFindings,
                        const std::string& aMessage) const;
  std::string Hidden(std::string_view aName, std::string_view aValue) const;

  OperatorClient* client;
  std::vector<std::string> hosts;
  std::string token;
};

} // namespace sequoiakeel
