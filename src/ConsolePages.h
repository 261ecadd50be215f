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
 * Serves the pages of the operators' console: forms for editing the
 * configuration document, a review of its differences from the active one, and
 * its application.
 *
 * The Host header of a request must be one of the allowed hosts, which protects
 * against DNS rebinding. To protect against cross-site request forgery, a
 * change is accepted only if its Origin header matches the Host header and its
 * form contains the token. Thread safe.
 */
class ConsolePages
{
public:
  /** aHosts lists the accepted values of the Host header, aToken is the form
   * token. The client must outlive this object. */
  ConsolePages(OperatorClient& aClient,
               std::vector<std::string> aHosts,
               std::string aToken);

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
