#include "HttpClient.h"

#include "Log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sequoiakeel {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

/** Idle connections are discarded well before servers usually close them, so
 * that a request is rarely sent on a connection that the server is closing. */
constexpr std::chrono::seconds kMaxIdleTime{ 10 };

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

/** Largest read from a connection. */
constexpr std::size_t kReadBytes = 16 * 1024;

/** A connection is normally established within milliseconds. TCP retransmits a
 * lost SYN after one second and then at increasing intervals, so a new attempt
 * is faster than waiting for the retransmission. */
constexpr std::chrono::milliseconds kConnectTimeout{ 800 };

/** TCP keep-alive and user timeout values that detect an unresponsive network
 * path within two seconds, because a configuration has to be in force two
 * seconds after it was accepted. */
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 1;
constexpr int kUserTimeoutMs = 2000;

http::request<http::string_body>
ToBeast(HttpRequest& aRequest)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  for (const HttpHeader& field : aRequest.headers.All()) {
    message.insert(field.name, field.value);
  }
  message.body() = std::move(aRequest.body);
  message.prepare_payload();
  return message;
}

/** Body of a response whose size is limited alone and together with that of
 * other responses. An announced length allocates nothing. */
struct LimitedBody
{
  // Boost.Beast requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  struct value_type
  {
    std::string text;
    /** Precondition: set before the first byte is parsed. */
    ResponseShare* share = nullptr;
  };

  class reader
  {
  public:
    template<bool isRequest, class Fields>
    reader(http::header<isRequest, Fields>& /*aHeader*/, value_type& aBody)
      : body(aBody)
    {
    }

    /** Boost.Beast 1.74 loses the error of an announced length over the limit
     * if bytes of the body arrive with the header. */
    void init(const boost::optional<std::uint64_t>& aLength, error_code& aError)
    {
      aError = {};
      if (aLength && *aLength > this->body.share->MaxBodyBytes()) {
        aError = http::error::body_limit;
      }
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, error_code& aError)
    {
      aError = {};
      const std::size_t size = beast::buffer_bytes(aBuffers);
      if (!this->Reserve(this->body.text.size() + size)) {
        aError = http::error::body_limit;
        return 0;
      }
      for (const auto buffer : beast::buffers_range_ref(aBuffers)) {
        this->body.text.append(static_cast<const char*>(buffer.data()),
                               buffer.size());
      }
      return size;
    }

    void finish(error_code& aError) { aError = {}; }
    // NOLINTEND(readability-identifier-naming)

  private:
    bool Reserve(std::size_t aBytes)
    {
      std::string& text = this->body.text;
      if (aBytes <= text.capacity()) {
        return true;
      }
      const std::size_t doubled = std::max(aBytes, 2 * text.capacity());
      const std::size_t wanted =
        std::max(aBytes, std::min(doubled, this->body.share->MaxBodyBytes()));
      if (!this->body.share->Extend(wanted)) {
        return false;
      }
      text.reserve(wanted);
      return true;
    }

    value_type& body;
  };
};

bool
IsOverLimit(const error_code& aError)
{
  return aError == http::error::body_limit ||
         aError == http::error::header_limit ||
         aError == http::error::buffer_overflow;
}

HttpResponse
FromBeast(http::response<LimitedBody>&& aMessage)
{
  HttpResponse response;
  response.status = aMessage.result_int();
  for (const auto& field : aMessage) {
    response.headers.Add(
      std::string_view(field.name_string().data(), field.name_string().size()),
      std::string_view(field.value().data(), field.value().size()));
  }
  response.body = std::move(aMessage.body().text);
  return response;
}

/** Enables TCP keep-alive and the TCP user timeout, so that the kernel closes a
 * connection whose peer or network path has failed, also while a slow response
 * is pending. */
void
DetectSilence(int aSocket)
{
  const auto set = [aSocket](int aLevel, int aName, int aValue) {
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

bool
IsTimeout(const error_code& aError)
{
  return aError == beast::error::timeout;
}

} // namespace

struct HttpConnection::Implementation
{
  Implementation(asio::any_io_executor aExecutor, ResponseLimits aLimits)
    : stream(std::move(aExecutor))
    , limits(std::move(aLimits))
  {
  }

  beast::tcp_stream stream;
  ResponseLimits limits;
  /** Trailers or a chunk extension without end do not fit into it. */
  beast::flat_buffer buffer{ kMaxHeaderBytes + kReadBytes };
  bool reusable = false;
  /** A request was written, at least in part, and its response is incomplete.
   */
  bool exchanging = false;
};

HttpConnection::HttpConnection(asio::any_io_executor aExecutor,
                               ResponseLimits aLimits)
  : implementation(std::make_unique<Implementation>(std::move(aExecutor),
                                                    std::move(aLimits)))
{
}

HttpConnection::~HttpConnection()
{
  this->Close();
}

asio::awaitable<std::string>
HttpConnection::Connect(Endpoint aEndpoint, Duration aTimeout)
{
  error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address, error);
  if (error) {
    co_return "invalid address " + aEndpoint.address;
  }
  const asio::ip::tcp::endpoint endpoint(
    address, static_cast<std::uint16_t>(aEndpoint.port));
  this->implementation->stream.expires_after(
    std::min<Duration>(aTimeout, kConnectTimeout));
  co_await this->implementation->stream.async_connect(
    endpoint, asio::redirect_error(use_awaitable, error));
  if (error) {
    co_return error.message();
  }
  auto& socket = this->implementation->stream.socket();
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  // After a normal close the kernel goes on sending what a partition holds up,
  // and the peer would carry the request out once the partition ends. The
  // stream closes the socket itself when an exchange times out.
  socket.set_option(asio::socket_base::linger(true, 0), error);
  DetectSilence(socket.native_handle());
  this->implementation->reusable = true;
  co_return std::string();
}

namespace {

/** Writes a request, as far as the deadline allows. */
asio::awaitable<error_code>
WriteRequest(beast::tcp_stream& aStream,
             const http::request<http::string_body>& aMessage,
             TransferDeadline& aDeadline)
{
  http::request_serializer<http::string_body> serializer(aMessage);
  error_code error;
  while (!error && !serializer.is_done()) {
    aStream.expires_at(aDeadline.Expiry());
    const std::size_t written = co_await http::async_write_some(
      aStream, serializer, asio::redirect_error(use_awaitable, error));
    aDeadline.Sent(written, std::chrono::steady_clock::now());
  }
  co_return error;
}

/** Reads a response, as far as the deadline allows. */
asio::awaitable<error_code>
ReadResponse(beast::tcp_stream& aStream,
             beast::flat_buffer& aBuffer,
             http::response_parser<LimitedBody>& aParser,
             TransferDeadline& aDeadline)
{
  error_code error;
  while (!error && !aParser.is_done()) {
    aStream.expires_at(aDeadline.Expiry());
    const std::size_t read = co_await http::async_read_some(
      aStream, aBuffer, aParser, asio::redirect_error(use_awaitable, error));
    aDeadline.Received(read, std::chrono::steady_clock::now());
  }
  co_return error;
}

} // namespace

asio::awaitable<ExchangeResult>
HttpConnection::Exchange(HttpRequest aRequest, TransferTimeout aTimeout)
{
  const TransferDeadline deadline(std::chrono::steady_clock::now(), aTimeout);
  return this->Exchange(std::move(aRequest), deadline);
}

asio::awaitable<ExchangeResult>
HttpConnection::Exchange(HttpRequest aRequest,
                         TransferDeadline aDeadline,
                         std::size_t aMaxBodyBytes)
{
  Implementation& state = *this->implementation;
  ExchangeResult result;
  http::request<http::string_body> message = ToBeast(aRequest);
  state.reusable = false;
  state.exchanging = true;
  error_code error = co_await WriteRequest(state.stream, message, aDeadline);
  result.sentBytes = aDeadline.SentBytes();
  if (error) {
    result.progress = result.sentBytes == 0 ? ExchangeProgress::NotSent
                                            : ExchangeProgress::Sent;
    result.error = error.message();
    result.timedOut = IsTimeout(error);
    this->Close();
    co_return result;
  }
  result.progress = ExchangeProgress::Sent;
  ResponseLimits limits = state.limits;
  limits.maxBodyBytes = std::min(limits.maxBodyBytes, aMaxBodyBytes);
  ResponseShare share(limits);
  http::response_parser<LimitedBody> parser;
  parser.get().body().share = &share;
  parser.body_limit(limits.maxBodyBytes);
  parser.header_limit(kMaxHeaderBytes);
  parser.eager(true);
  error = co_await ReadResponse(state.stream, state.buffer, parser, aDeadline);
  result.receivedBytes = aDeadline.ReceivedBytes();
  if (error) {
    result.error = error.message();
    result.timedOut = IsTimeout(error);
    result.overLimit = IsOverLimit(error);
    this->Close();
    co_return result;
  }
  state.exchanging = false;
  const bool keepAlive = parser.get().keep_alive();
  result.progress = ExchangeProgress::Complete;
  result.response = FromBeast(parser.release());
  state.stream.expires_never();
  state.reusable = keepAlive && state.buffer.size() == 0;
  if (!state.reusable) {
    this->Close();
  }
  co_return result;
}

bool
HttpConnection::Reusable()
{
  Implementation& state = *this->implementation;
  if (!state.reusable || !state.stream.socket().is_open()) {
    return false;
  }
  // An open connection without an exchange in progress must have nothing to
  // read: data would belong to no request, and end of file means that the peer
  // has closed the connection.
  error_code error;
  char byte = 0;
  state.stream.socket().non_blocking(true, error);
  state.stream.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

void
HttpConnection::Close()
{
  Implementation& state = *this->implementation;
  error_code error;
  if (!std::exchange(state.exchanging, false)) {
    state.stream.socket().set_option(asio::socket_base::linger(false, 0),
                                     error);
  }
  state.reusable = false;
  state.stream.socket().close(error);
}

HttpClient::HttpClient(asio::any_io_executor aExecutor,
                       Endpoint aEndpoint,
                       std::size_t aMaxIdle,
                       ResponseLimits aLimits)
  : executor(std::move(aExecutor))
  , endpoint(std::move(aEndpoint))
  , maxIdle(aMaxIdle)
  , limits(std::move(aLimits))
{
}

asio::awaitable<ExchangeResult>
HttpClient::Call(HttpRequest aRequest,
                 TransferTimeout aTimeout,
                 std::size_t aMaxBodyBytes)
{
  Idle taken = this->TakeIdle();
  const asio::any_io_executor strand = taken.strand;
  asio::awaitable<ExchangeResult> call =
    this->CallOnStrand(std::move(aRequest),
                       aTimeout,
                       aMaxBodyBytes,
                       std::move(taken),
                       Reconnect::IfClosed);
  ExchangeResult result =
    co_await asio::co_spawn(strand, std::move(call), use_awaitable);
  co_return result;
}

asio::awaitable<ExchangeResult>
HttpClient::CallOn(std::uint64_t aConnection,
                   HttpRequest aRequest,
                   TransferTimeout aTimeout)
{
  Idle taken = this->TakeIdle(aConnection);
  if (!taken.connection) {
    co_return ExchangeResult();
  }
  const asio::any_io_executor strand = taken.strand;
  asio::awaitable<ExchangeResult> call = this->CallOnStrand(std::move(aRequest),
                                                            aTimeout,
                                                            SIZE_MAX,
                                                            std::move(taken),
                                                            Reconnect::Never);
  ExchangeResult result =
    co_await asio::co_spawn(strand, std::move(call), use_awaitable);
  co_return result;
}

asio::awaitable<ExchangeResult>
HttpClient::CallOnStrand(HttpRequest aRequest,
                         TransferTimeout aTimeout,
                         std::size_t aMaxBodyBytes,
                         Idle aIdle,
                         Reconnect aReconnect)
{
  const TransferDeadline deadline(std::chrono::steady_clock::now(), aTimeout);
  if (aIdle.connection && !aIdle.connection->Reusable()) {
    aIdle.connection.reset();
  }
  if (!aIdle.connection && aReconnect == Reconnect::Never) {
    co_return ExchangeResult();
  }
  if (!aIdle.connection) {
    aIdle.number = this->NextNumber();
    aIdle.connection =
      std::make_unique<HttpConnection>(aIdle.strand, this->limits);
    const std::string error = co_await aIdle.connection->Connect(
      this->endpoint, std::min(aTimeout.total, aTimeout.silence));
    if (!error.empty()) {
      ExchangeResult failed;
      failed.error = error;
      co_return failed;
    }
  }
  aRequest.headers.Set("Host", this->endpoint.address);
  ExchangeResult result = co_await aIdle.connection->Exchange(
    std::move(aRequest), deadline, aMaxBodyBytes);
  result.connection = aIdle.number;
  if (result.timedOut) {
    this->DropIdle();
  }
  if (result.overLimit) {
    this->NoteRefused(result.error);
  }
  if (result.Complete() && aIdle.connection->Reusable()) {
    this->PutIdle(std::move(aIdle));
  }
  co_return result;
}

void
HttpClient::NoteRefused(const std::string& aError) const
{
  if (this->limits.memory) {
    this->limits.memory->CountRefused();
  }
  Event("response_refused", LogLevel::Warning)
    .Add("address", this->endpoint.address)
    .Add("port", this->endpoint.port)
    .Add("error", aError);
}

HttpClient::Idle
HttpClient::TakeIdle()
{
  const TimePoint oldest = std::chrono::steady_clock::now() - kMaxIdleTime;
  const std::lock_guard lock(this->mutex);
  while (!this->idle.empty()) {
    Idle taken = std::move(this->idle.back());
    this->idle.pop_back();
    if (taken.since >= oldest) {
      return taken;
    }
  }
  return Idle{ 0, nullptr, asio::make_strand(this->executor), {} };
}

HttpClient::Idle
HttpClient::TakeIdle(std::uint64_t aConnection)
{
  const std::lock_guard lock(this->mutex);
  const auto found =
    std::find_if(this->idle.begin(), this->idle.end(), [&](const Idle& aIdle) {
      return aIdle.number == aConnection;
    });
  if (found == this->idle.end()) {
    return Idle();
  }
  Idle taken = std::move(*found);
  this->idle.erase(found);
  return taken;
}

std::uint64_t
HttpClient::NextNumber()
{
  const std::lock_guard lock(this->mutex);
  return ++this->lastNumber;
}

void
HttpClient::PutIdle(Idle aIdle)
{
  aIdle.since = std::chrono::steady_clock::now();
  const std::lock_guard lock(this->mutex);
  if (this->idle.size() < this->maxIdle) {
    this->idle.push_back(std::move(aIdle));
  }
}

void
HttpClient::DropIdle()
{
  std::vector<Idle> dropped;
  const std::lock_guard lock(this->mutex);
  dropped.swap(this->idle);
}

} // namespace sequoiakeel
