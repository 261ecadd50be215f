#include "HttpClient.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>

using namespace sequoiakeel;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/** Accepts one connection, answers its first aAnswers requests and leaves the
 * others open. Returns the error with which the connection ends. */
asio::awaitable<boost::system::error_code>
ServeOne(Tcp::acceptor& aAcceptor, int aAnswers)
{
  Tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  std::array<char, 4096> piece;
  boost::system::error_code error;
  while (true) {
    co_await socket.async_read_some(
      asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return error;
    }
    if (aAnswers-- > 0) {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await socket.async_send(asio::buffer(answer), asio::use_awaitable);
    }
  }
}

/** Makes aCalls calls to a server that answers aAnswers of them, and returns
 * how the server sees the end of the connection. */
boost::system::error_code
EndOfConnection(int aCalls, int aAnswers)
{
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  auto client = std::make_unique<HttpClient>(
    context.get_executor(),
    Endpoint{ "127.0.0.1", acceptor.local_endpoint().port() });
  std::optional<boost::system::error_code> ended;
  asio::co_spawn(
    context,
    ServeOne(acceptor, aAnswers),
    [&](std::exception_ptr, boost::system::error_code aEnd) { ended = aEnd; });
  const auto callAll = [&]() -> asio::awaitable<void> {
    for (int i = 0; i < aCalls; ++i) {
      HttpRequest request;
      request.method = "POST";
      request.target = "/";
      co_await client->Call(std::move(request), std::chrono::milliseconds(200));
    }
    client.reset();
  };
  asio::co_spawn(context, callAll(), asio::detached);
  context.run_for(std::chrono::seconds(5));
  REQUIRE(ended);
  return *ended;
}

} // namespace

// Guards against commands that the network delivers, after a partition, long
// after their sender gave them up.
TEST_CASE("a request that is given up takes its connection down")
{
  CHECK(EndOfConnection(1, 0) == asio::error::connection_reset);
  CHECK(EndOfConnection(2, 1) == asio::error::connection_reset);
}

TEST_CASE("a connection without an open request is closed normally")
{
  CHECK(EndOfConnection(2, 2) == asio::error::eof);
}
