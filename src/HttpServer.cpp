#include "HttpServer.h"

#include "Error.h"
#include "Log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <string_view>
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
#include <boost/asio/write.hpp>
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
/** Largest read from a connection. */
constexpr std::size_t kReadBytes = 16 * 1024;
/** Memory that a request holds while it is served, as a multiple of its body:
 * the body, what it is decoded to, and what is sent to the store for it. */
constexpr std::size_t kServedBodies = 4;
/** Memory that a header field holds besides its text: its places in the
 * parser's list and index, and in the allocator. */
constexpr std::size_t kFieldOverhead = 96;
/** Memory that the header fields of a request hold while it is served, as a
 * multiple of what they hold before: they are copied. */
constexpr std::size_t kServedFields = 2;
/** Time in which evicted connections release their memory. */
constexpr std::chrono::milliseconds kReleaseTime{ 1 };
/** Time to send the refusal to a client whose request is evicted. */
constexpr std::chrono::milliseconds kEvictionReplyTime{ 1000 };

std::shared_ptr<RequestMemory>
DefaultMemory()
{
  static const SystemClock kClock;
  return std::make_shared<RequestMemory>(RequestMemoryLimits(), kClock);
}

/** Returns the memory that the header fields of a message hold. */
std::size_t
FieldBytes(const http::fields& aFields)
{
  std::size_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += field.name_string().size() + field.value().size() + kFieldOverhead;
  }
  return bytes;
}

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
  // A header, the trailers or a chunk extension has to fit into the buffer.
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
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
  Connection(asio::ip::tcp::socket aSocket, std::size_t aMaxBuffer)
    : stream(std::move(aSocket))
    , buffer(aMaxBuffer)
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::atomic<bool> busy{ false };
  RequestMemory::Key key = 0;
  // The following are accessed only on the strand of the connection.
  /** The grace period after StopAccepting() has ended. */
  bool closing = false;
  bool evicted = false;
  /** A response is being sent, which an eviction does not interrupt. */
  bool replying = false;
};

struct HttpServer::Shared
{
  Shared(asio::io_context& aContext,
         HttpServerLimits aLimits,
         HttpHandler aHandler)
    : context(aContext)
    , acceptor(asio::make_strand(aContext))
    , limits(std::move(aLimits))
    , maxBodyBytes(limits.maxBodyBytes)
    , memory(limits.memory ? limits.memory : DefaultMemory())
    , handler(std::move(aHandler))
  {
  }

  /** The buffer of a connection holds a header and what follows it in the same
   * read. */
  std::size_t MaxBuffer() const
  {
    return this->limits.maxHeaderBytes + kReadBytes;
  }

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  HttpServerLimits limits;
  std::atomic<std::size_t> maxBodyBytes;
  std::shared_ptr<RequestMemory> memory;
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
    this->shared->memory->Disconnect(this->connection->key);
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
  aConnection->replying = true;
  co_await http::async_write(
    aConnection->stream, message, asio::redirect_error(use_awaitable, error));
  aConnection->replying = false;
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

using RequestParser = http::request_parser<http::string_body>;

/** Parses the bytes in the buffer as far as they go. */
error_code
ParseReceived(Connection& aConnection, RequestParser& aParser)
{
  error_code error;
  while (!error && !aParser.is_done() && aConnection.buffer.size() > 0) {
    const std::size_t used = aParser.put(aConnection.buffer.data(), error);
    aConnection.buffer.consume(used);
    if (used == 0) {
      break;
    }
  }
  return error == http::error::need_more ? error_code() : error;
}

/** Reads further bytes of a request into the buffer. */
asio::awaitable<error_code>
ReadMore(std::shared_ptr<Connection> aConnection, RequestParser& aParser)
{
  beast::flat_buffer& buffer = aConnection->buffer;
  const std::size_t room = buffer.max_size() - buffer.size();
  if (room == 0) {
    co_return http::error::buffer_overflow;
  }
  error_code error;
  const std::size_t received = co_await aConnection->stream.async_read_some(
    buffer.prepare(std::min(room, kReadBytes)),
    asio::redirect_error(use_awaitable, error));
  buffer.commit(received);
  if (error == asio::error::eof) {
    error = {};
    aParser.put_eof(error);
  }
  co_return error;
}

/** Returns how much memory the fields of the header in a buffer take at most
 * once they are parsed. */
std::size_t
FieldBytesIn(const beast::flat_buffer& aBuffer)
{
  const auto data = aBuffer.cdata();
  std::string_view header(static_cast<const char*>(data.data()), data.size());
  header = header.substr(0, header.find("\r\n\r\n"));
  const auto lines = std::count(header.begin(), header.end(), '\n');
  return header.size() + static_cast<std::size_t>(lines) * kFieldOverhead;
}

/** Accounts for the memory that an incomplete request takes before it takes it.
 * If others are evicted for that, they release theirs first. */
asio::awaitable<void>
AccountFor(SharedPointer aShared,
           std::shared_ptr<Connection> aConnection,
           std::size_t aBytes)
{
  const Admission admission =
    aShared->memory->Received(aConnection->key, aBytes);
  if (admission == Admission::Evicted) {
    aConnection->evicted = true;
  }
  if (admission == Admission::GrantedByEviction) {
    error_code ignored;
    asio::steady_timer timer(aConnection->stream.get_executor(), kReleaseTime);
    co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
  }
}

/** Tells a client that waits for it to send the body of its request. */
asio::awaitable<error_code>
AnnounceContinue(std::shared_ptr<Connection> aConnection)
{
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code error;
  co_await asio::async_write(aConnection->stream,
                             asio::buffer(kContinue),
                             asio::redirect_error(use_awaitable, error));
  co_return error;
}

/** Receives the rest of a request of which the first bytes are in the buffer.
 * Returns the error that ended it; none if the request is complete or the
 * connection was evicted. It reads by itself, since Beast's read of a message
 * returns only at the end of one that comes in very small chunks, so that its
 * memory would not be accounted for. */
asio::awaitable<error_code>
Receive(SharedPointer aShared,
        std::shared_ptr<Connection> aConnection,
        RequestParser& aParser)
{
  aShared->memory->BeginRequest(aConnection->key);
  aParser.body_limit(aShared->maxBodyBytes.load());
  aParser.header_limit(
    static_cast<std::uint32_t>(aShared->limits.maxHeaderBytes));
  aParser.eager(true);
  aConnection->stream.expires_after(aShared->limits.requestTimeout);
  error_code error;
  std::size_t fieldBytes = 0;
  while (!error && !aParser.is_done()) {
    if (!aParser.is_header_done()) {
      fieldBytes = FieldBytesIn(aConnection->buffer);
    }
    co_await AccountFor(aShared,
                        aConnection,
                        aConnection->buffer.capacity() +
                          aParser.get().body().capacity() + fieldBytes);
    if (aConnection->evicted) {
      co_return error_code();
    }
    const bool hadHeader = aParser.is_header_done();
    error = ParseReceived(*aConnection, aParser);
    const bool expectsContinue =
      !error && !hadHeader && aParser.is_header_done() && !aParser.is_done() &&
      beast::iequals(aParser.get()[http::field::expect], "100-continue");
    if (expectsContinue) {
      error = co_await AnnounceContinue(aConnection);
    }
    if (!error && !aParser.is_done()) {
      error = co_await ReadMore(aConnection, aParser);
    }
  }
  co_return aConnection->evicted ? error_code() : error;
}

/** Refuses a request that is not complete, and so has not run. */
asio::awaitable<void>
Refuse(std::shared_ptr<Connection> aConnection,
       unsigned aStatus,
       const char* aReason,
       Duration aTimeout)
{
  const bool evicted = aStatus == 503;
  aConnection->stream.expires_after(aTimeout);
  HttpResponse refusal =
    JsonResponse(aStatus,
                 evicted ? R"({"error":"too many requests are being received"})"
                         : R"({"error":"malformed or oversized request"})");
  refusal.headers.Set("Sequoiakeel-Outcome", "not-run");
  refusal.headers.Set("Sequoiakeel-Reason", aReason);
  if (evicted) {
    refusal.headers.Set("Retry-After", "1");
  }
  co_await Reply(aConnection, std::move(refusal), false);
}

/** Serves one request; returns whether the connection stays open. */
asio::awaitable<bool>
ServeOne(SharedPointer aShared, std::shared_ptr<Connection> aConnection)
{
  const bool arrived = co_await AwaitRequest(aShared, aConnection);
  if (!arrived) {
    co_return false;
  }
  const InFlightCount count(aShared->inFlight, aConnection->busy);
  RequestParser parser;
  const error_code error = co_await Receive(aShared, aConnection, parser);
  const unsigned status = StatusOf(error);
  if (error && status == 0) {
    co_return false;
  }
  if (error) {
    co_await Refuse(
      aConnection, status, "bad-request", aShared->limits.requestTimeout);
    co_return false;
  }
  const std::size_t held = kServedBodies * parser.get().body().size() +
                           kServedFields * FieldBytes(parser.get());
  if (aConnection->evicted ||
      !aShared->memory->BeginService(aConnection->key, held)) {
    aConnection->evicted = true;
    parser.release();
    co_await Refuse(aConnection, 503, "request-memory", kEvictionReplyTime);
    co_return false;
  }
  const bool clientKeepsAlive = parser.get().keep_alive();
  aConnection->stream.expires_never();
  HttpRequest request = FromBeast(parser.release());
  HttpResponse response = co_await RunHandler(aShared, std::move(request));
  aConnection->stream.expires_after(aShared->limits.requestTimeout);
  const bool keepAlive = clientKeepsAlive && !aShared->stopping;
  const bool open = co_await Reply(aConnection, std::move(response), keepAlive);
  if (aConnection->buffer.size() == 0) {
    aConnection->buffer.shrink_to_fit();
  }
  aShared->memory->EndRequest(aConnection->key);
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
  if (aConnection->evicted) {
    error_code ignored;
    aConnection->stream.socket().close(ignored);
    co_return;
  }
  co_await CloseGently(aConnection);
}

std::size_t
ConnectionCount(HttpServer::Shared& aShared)
{
  const std::lock_guard lock(aShared.mutex);
  return aShared.connections.size();
}

/** Has a connection end its incomplete request, if there is one, and close. */
void
Evict(const std::shared_ptr<Connection>& aConnection, EvictionCause aCause)
{
  Event("connection_evicted", LogLevel::Warning)
    .Add("cause", aCause == EvictionCause::Memory ? "memory" : "connections");
  asio::post(aConnection->stream.get_executor(), [aConnection] {
    aConnection->evicted = true;
    if (!aConnection->replying) {
      aConnection->stream.cancel();
    }
  });
}

void
ServeAccepted(SharedPointer aShared,
              asio::any_io_executor aStrand,
              asio::ip::tcp::socket aSocket)
{
  error_code error;
  aSocket.set_option(asio::ip::tcp::no_delay(true), error);
  auto connection =
    std::make_shared<Connection>(std::move(aSocket), aShared->MaxBuffer());
  const std::weak_ptr<Connection> weak = connection;
  const auto key = aShared->memory->Connect([weak](EvictionCause aCause) {
    if (const std::shared_ptr<Connection> victim = weak.lock()) {
      Evict(victim, aCause);
    }
  });
  if (!key) {
    Event("connection_refused", LogLevel::Warning)
      .Add("reason", "connection-limit");
    return;
  }
  connection->key = *key;
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
  : shared(std::make_shared<Shared>(aContext,
                                    std::move(aLimits),
                                    std::move(aHandler)))
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

void
HttpServer::LimitBody(std::size_t aBytes)
{
  this->shared->maxBodyBytes = aBytes;
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
