/**
 * Guards against an HTTP client that gives up a response which keeps arriving,
 * or waits for one that does not.
 */
#include "HttpClient.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace sequoiakeel;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/** How a server sends the body of its response. */
struct Sending
{
  std::size_t pieceBytes = 0;
  int pieces = 0;
  /** Pause before each piece. */
  milliseconds pause{ 0 };
  /** The number of pieces that are announced. */
  int announced = 0;
};

asio::awaitable<void>
Serve(Tcp::acceptor& aAcceptor, Sending aSending)
{
  boost::system::error_code error;
  Tcp::socket socket = co_await aAcceptor.async_accept(
    asio::redirect_error(asio::use_awaitable, error));
  std::array<char, 1024> request{};
  co_await socket.async_read_some(
    asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
  const std::string head =
    "HTTP/1.1 200 OK\r\nContent-Length: " +
    std::to_string(aSending.pieceBytes * aSending.announced) + "\r\n\r\n";
  co_await asio::async_write(socket,
                             asio::buffer(head),
                             asio::redirect_error(asio::use_awaitable, error));
  const std::string piece(aSending.pieceBytes, 'x');
  asio::steady_timer timer(socket.get_executor());
  for (int i = 0; i < aSending.pieces && !error; ++i) {
    timer.expires_after(aSending.pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(
      socket,
      asio::buffer(piece),
      asio::redirect_error(asio::use_awaitable, error));
  }
  // Waits until the client closes the connection.
  co_await socket.async_read_some(
    asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
}

ExchangeResult
Call(Sending aSending, milliseconds aSilence)
{
  asio::io_context context(1);
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  auto client = std::make_unique<HttpClient>(
    context.get_executor(),
    Endpoint{ "127.0.0.1", acceptor.local_endpoint().port() });
  asio::co_spawn(context, Serve(acceptor, aSending), asio::detached);
  std::optional<ExchangeResult> result;
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  asio::co_spawn(context,
                 client->Call(request, TransferTimeout::Silence(aSilence)),
                 [&](std::exception_ptr aError, ExchangeResult aResult) {
                   REQUIRE(!aError);
                   result = std::move(aResult);
                 });
  while (!result) {
    context.run_one();
  }
  return std::move(*result);
}

} // namespace

TEST_CASE("a response that takes longer than the time-out completes")
{
  const ExchangeResult result =
    Call({ 300'000, 5, milliseconds(600), 5 }, milliseconds(2000));
  CHECK(result.Complete());
  CHECK(result.response.body.size() == 1'500'000);
}

TEST_CASE("a response that stops in the middle is given up")
{
  const ExchangeResult result =
    Call({ 300'000, 2, milliseconds(0), 5 }, milliseconds(300));
  CHECK(!result.Complete());
  CHECK(result.timedOut);
  CHECK(result.receivedBytes >= 600'000);
}

TEST_CASE("a response of single bytes is given up")
{
  const ExchangeResult result =
    Call({ 1, 10'000, milliseconds(20), 10'000 }, milliseconds(1000));
  CHECK(!result.Complete());
  CHECK(result.timedOut);
  CHECK(result.receivedBytes < 10'000);
}
