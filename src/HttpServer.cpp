#include "HttpServer.h"

#include "Error.h"
#include "Log.h"

#include <array>
#include <atomic>
#include <mutex>
#include <unordered_set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{ 20 };
/** Delay before the next accept after a failed one, for example when the
 * process has run out of file descriptors. */
constexpr std::chrono::milliseconds kAcceptBackOff{ 100 };
/** Limits for reading and discarding data that a client sends after the last
 * response. Closing a socket that has unread data resets the connection, and
 * the client may lose the response. */
constexpr std::chrono::milliseconds kLingerTime{ 1000 };
constexpr std::size_t kLingerBytes = 4 * 1024 * 1024;

HttpRequest
FromBeast(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.method.assign(aMessage.method_string().data(),
                        aMessage.method_string().size());
  request.target.assign(aMessage.target().data(), aMessage.target().size());
  for (const auto& field : aMessage) {
    request.headers.Add(
      std::string_view(field.name_string().data(), field.name_string().size()),
      std::string_view(field.value().data(), field.value().size()));
  }
  request.body = std::move(aMessage.body());
  return request;
}

http::response<http::string_body>
ToBeast(HttpResponse& aResponse, bool aKeepAlive)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(aResponse.status);
  for (const HttpHeader& field : aResponse.headers.All()) {
    message.insert(field.name, field.value);
  }
  message.body() = std::move(aResponse.body);
  message.keep_alive(aKeepAlive);
  message.prepare_payload();
  return message;
}

unsigned
StatusOf(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit) {
    return 431;
  }
  return aError.category() ==
               http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream &&
             aError != http::error::partial_message
           ? 400
           : 0;
}

} // namespace

/** One accepted connection. */
struct Connection
{
  explicit Connection(asio::ip::tcp::socket aSocket)
    : stream(std::move(aSocket))
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::atomic<bool> busy{ false };
  /** Set when the grace period after StopAccepting() has ended. Accessed only
   * on the strand of the connection. */
  bool closing = false;
};

struct HttpServer::Shared
{
  Shared(asio::io_context& aContext,
         HttpServerLimits aLimits,
         HttpHandler aHandler)
    : context(aContext)
    , acceptor(asio::make_strand(aContext))
    , limits(aLimits)
    , handler(std::move(aHandler))
  {
  }

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  HttpServerLimits limits;
  HttpHandler handler;
  std::uint16_t port = 0;
  std::atomic<std::size_t> inFlight{ 0 };
  std::atomic<bool> stopping{ false };
  std::atomic<bool> listening{ true };
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<Connection>> connections;
};

namespace {

using SharedPointer = std::shared_ptr<HttpServer::Shared>;

/** Keeps a connection in Shared::connections for the lifetime of this object.
 */
class Registration
{
public:
  Registration(SharedPointer aShared, std::shared_ptr<Connection> aConnection)
    : shared(std::move(aShared))
    , connection(std::move(aConnection))
  {
    const std::lock_guard lock(this->shared->mutex);
    this->shared->connections.insert(this->connection);
  }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;
  ~Registration()
  {
    const std::lock_guard lock(this->shared->mutex);
    this->shared->connections.erase(this->connection);
  }

private:
  SharedPointer shared;
  std::shared_ptr<Connection> connection;
};

/** Counts a request as in progress and marks its connection as busy for the
 * lifetime of this object. */
class InFlightCount
{
public:
  InFlightCount(std::atomic<std::size_t>& aCount, std::atomic<bool>& aBusy)
    : count(aCount)
    , busy(aBusy)
  {
    this->busy = true;
    ++this->count;
  }
  InFlightCount(const InFlightCount&) = delete;
  InFlightCount& operator=(const InFlightCount&) = delete;
  ~InFlightCount()
  {
    this->busy = false;
    --this->count;
  }

private:
  std::atomic<std::size_t>& count;
  std::atomic<bool>& busy;
};

asio::awaitable<HttpResponse>
RunHandler(SharedPointer aShared, HttpRequest aRequest)
{
  HttpResponse response;
  try {
    response = co_await aShared->handler(std::move(aRequest));
  } catch (const std::exception& error) {
    Event("http_handler_failed", LogLevel::Error).Add("error", error.what());
    response = JsonResponse(500, R"({"error":"internal error"})");
  }
  co_return response;
}

asio::awaitable<bool>
Reply(std::shared_ptr<Connection> aConnection,
      HttpResponse aResponse,
      bool aKeepAlive)
{
  error_code error;
  http::response<http::string_body> message = ToBeast(aResponse, aKeepAlive);
  co_await http::async_write(
    aConnection->stream, message, asio::redirect_error(use_awaitable, error));
  co_return !error && aKeepAlive;
}

/** Waits for the first bytes of a request. Returns false if the connection was
 * closed, failed, timed out or was cancelled before any arrived. */
asio::awaitable<bool>
AwaitRequest(SharedPointer aShared, std::shared_ptr<Connection> aConnection)
{
  constexpr std::size_t kFirstRead = 4096;
  while (aConnection->buffer.size() == 0) {
    error_code error;
    aConnection->stream.expires_after(aShared->stopping
                                        ? aShared->limits.stopGrace
                                        : aShared->limits.idleTimeout);
    const std::size_t received = co_await aConnection->stream.async_read_some(
      aConnection->buffer.prepare(kFirstRead),
      asio::redirect_error(use_awaitable, error));
    aConnection->buffer.commit(received);
    if (!error) {
      continue;
    }
    // The cancellation at the end of the grace period can coincide with the
    // arrival of a request, which is still served.
    error_code ignored;
    const bool arrived = aConnection->closing &&
                         aConnection->stream.socket().available(ignored) > 0;
    if (!arrived) {
      co_return false;
    }
  }
  co_return true;
}

/** Serves one request; returns whether the connection stays open. */
asio::awaitable<bool>
ServeOne(SharedPointer aShared, std::shared_ptr<Connection> aConnection)
{
  error_code error;
  http::request_parser<http::string_body> parser;
  parser.body_limit(aShared->limits.maxBodyBytes);
  parser.header_limit(
    static_cast<std::uint32_t>(aShared->limits.maxHeaderBytes));
  const bool arrived = co_await AwaitRequest(aShared, aConnection);
  if (!arrived) {
    co_return false;
  }
  const InFlightCount count(aShared->inFlight, aConnection->busy);
  aConnection->stream.expires_after(aShared->limits.requestTimeout);
  co_await http::async_read(aConnection->stream,
                            aConnection->buffer,
                            parser,
                            asio::redirect_error(use_awaitable, error));
  if (error) {
    const unsigned status = StatusOf(error);
    if (status == 0) {
      co_return false;
    }
    aConnection->stream.expires_after(aShared->limits.requestTimeout);
    HttpResponse refusal =
      JsonResponse(status, R"({"error":"malformed or oversized request"})");
    refusal.headers.Set("Sequoiakeel-Outcome", "not-run");
    refusal.headers.Set("Sequoiakeel-Reason", "bad-request");
    co_await Reply(aConnection, std::move(refusal), false);
    co_return false;
  }
  const bool clientKeepsAlive = parser.get().keep_alive();
  aConnection->stream.expires_never();
  HttpRequest request = FromBeast(parser.release());
  HttpResponse response = co_await RunHandler(aShared, std::move(request));
  aConnection->stream.expires_after(aShared->limits.requestTimeout);
  const bool keepAlive = clientKeepsAlive && !aShared->stopping;
  const bool open = co_await Reply(aConnection, std::move(response), keepAlive);
  co_return open;
}

/** Closes a connection after discarding unread data, because a reset could make
 * the client lose the last response. */
asio::awaitable<void>
CloseGently(std::shared_ptr<Connection> aConnection)
{
  error_code error;
  aConnection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                        error);
  aConnection->stream.expires_after(kLingerTime);
  std::size_t discarded = 0;
  std::array<char, 4096> scratch{};
  while (!error && discarded < kLingerBytes) {
    discarded += co_await aConnection->stream.async_read_some(
      asio::buffer(scratch), asio::redirect_error(use_awaitable, error));
  }
  aConnection->stream.socket().close(error);
}

asio::awaitable<void>
Serve(SharedPointer aShared,
      std::shared_ptr<Connection> aConnection,
      std::shared_ptr<Registration> aRegistration)
{
  const std::shared_ptr<Registration> registered = std::move(aRegistration);
  bool open = true;
  while (open) {
    open = co_await ServeOne(aShared, aConnection);
  }
  co_await CloseGently(aConnection);
}

std::size_t
ConnectionCount(HttpServer::Shared& aShared)
{
  const std::lock_guard lock(aShared.mutex);
  return aShared.connections.size();
}

void
ServeAccepted(SharedPointer aShared,
              asio::any_io_executor aStrand,
              asio::ip::tcp::socket aSocket)
{
  if (ConnectionCount(*aShared) >= aShared->limits.maxConnections) {
    Event("connection_refused", LogLevel::Warning)
      .Add("reason", "connection-limit");
    return;
  }
  error_code error;
  aSocket.set_option(asio::ip::tcp::no_delay(true), error);
  auto connection = std::make_shared<Connection>(std::move(aSocket));
  // The connection is registered before the coroutine starts, so that Drain()
  // waits for it.
  auto registration = std::make_shared<Registration>(aShared, connection);
  asio::co_spawn(aStrand,
                 Serve(aShared, std::move(connection), std::move(registration)),
                 asio::detached);
}

asio::awaitable<void>
AcceptLoop(SharedPointer aShared)
{
  while (aShared->acceptor.is_open()) {
    error_code error;
    const auto strand = asio::make_strand(aShared->context);
    asio::ip::tcp::socket socket = co_await aShared->acceptor.async_accept(
      strand, asio::redirect_error(use_awaitable, error));
    if (!error) {
      ServeAccepted(aShared, strand, std::move(socket));
      continue;
    }
    if (aShared->stopping) {
      co_return;
    }
    Event("accept_failed", LogLevel::Warning).Add("error", error.message());
    asio::steady_timer timer(aShared->context, kAcceptBackOff);
    co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
  }
}

/** Accepts the connections that are pending in the kernel, because their
 * clients already consider them open, and closes the listener. */
void
CloseListener(SharedPointer aShared)
{
  error_code error;
  aShared->acceptor.non_blocking(true, error);
  while (!error || error == asio::error::connection_aborted) {
    const auto strand = asio::make_strand(aShared->context);
    asio::ip::tcp::socket socket(strand);
    aShared->acceptor.accept(socket, error);
    if (!error) {
      ServeAccepted(aShared, strand, std::move(socket));
    }
  }
  aShared->acceptor.close(error);
  aShared->listening = false;
}

asio::awaitable<void>
CloseIdleAfterGrace(SharedPointer aShared)
{
  asio::steady_timer timer(aShared->context, aShared->limits.stopGrace);
  co_await timer.async_wait(use_awaitable);
  const std::lock_guard lock(aShared->mutex);
  for (const std::shared_ptr<Connection>& connection : aShared->connections) {
    asio::post(connection->stream.get_executor(), [connection] {
      connection->closing = true;
      if (!connection->busy) {
        connection->stream.cancel();
      }
    });
  }
}

} // namespace

HttpServer::HttpServer(asio::io_context& aContext,
                       const Endpoint& aEndpoint,
                       HttpServerLimits aLimits,
                       HttpHandler aHandler)
  : shared(std::make_shared<Shared>(aContext, aLimits, std::move(aHandler)))
{
  error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address, error);
  UserAssert(!error, "invalid address " + aEndpoint.address);
  const asio::ip::tcp::endpoint endpoint(
    address, static_cast<std::uint16_t>(aEndpoint.port));
  this->shared->acceptor.open(endpoint.protocol(), error);
  this->shared->acceptor.set_option(asio::socket_base::reuse_address(true),
                                    error);
  this->shared->acceptor.bind(endpoint, error);
  UserAssert(!error,
             "cannot bind " + aEndpoint.address + ":" +
               std::to_string(aEndpoint.port) + ": " + error.message());
  this->shared->acceptor.listen(asio::socket_base::max_listen_connections,
                                error);
  UserAssert(!error, "cannot listen: " + error.message());
  this->shared->port = this->shared->acceptor.local_endpoint().port();
}

HttpServer::~HttpServer()
{
  this->StopAccepting();
}

void
HttpServer::Start()
{
  asio::co_spawn(this->shared->acceptor.get_executor(),
                 AcceptLoop(this->shared),
                 asio::detached);
}

std::uint16_t
HttpServer::Port() const
{
  return this->shared->port;
}

std::size_t
HttpServer::InFlight() const
{
  return this->shared->inFlight;
}

void
HttpServer::StopAccepting()
{
  if (this->shared->stopping.exchange(true)) {
    return;
  }
  asio::post(this->shared->acceptor.get_executor(),
             [shared = this->shared] { CloseListener(shared); });
  asio::co_spawn(
    this->shared->context, CloseIdleAfterGrace(this->shared), asio::detached);
}

asio::awaitable<bool>
HttpServer::Drain(TimePoint aDeadline)
{
  asio::steady_timer timer(this->shared->context);
  while (this->shared->listening || ConnectionCount(*this->shared) > 0) {
    if (std::chrono::steady_clock::now() >= aDeadline) {
      co_return this->shared->inFlight == 0;
    }
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(use_awaitable);
  }
  co_return true;
}

} // namespace sequoiakeel
