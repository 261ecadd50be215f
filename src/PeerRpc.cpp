#include "PeerRpc.h"

#include "Error.h"
#include "Log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::use_awaitable;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kHeaderBytes = 14;
/** Delay after a failed accept. */
constexpr std::chrono::milliseconds kAcceptBackOff{ 100 };
/** Longest time without progress while a frame is received, after its first
 * bytes, or sent. */
constexpr std::chrono::seconds kFrameTimeout{ 10 };
/** Time in which evicted connections release their memory. */
constexpr std::chrono::milliseconds kReleaseTime{ 1 };
/** Largest read of the body of a frame. */
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

struct Frame
{
  std::uint16_t kind = 0;
  std::uint64_t correlation = 0;
  std::string body;
};

std::string
EncodeFrame(const Frame& aFrame)
{
  std::array<unsigned char, kHeaderBytes> header{};
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(aFrame.body.size()));
  boost::endian::store_big_u16(header.data() + 4, aFrame.kind);
  boost::endian::store_big_u64(header.data() + 6, aFrame.correlation);
  std::string bytes(header.begin(), header.end());
  bytes += aFrame.body;
  return bytes;
}

/** Receives as many bytes as fit into aTo, as far as the deadline allows.
 * Returns whether they arrived. */
asio::awaitable<bool>
Receive(beast::tcp_stream& aStream,
        asio::mutable_buffer aTo,
        TransferDeadline& aDeadline)
{
  error_code error;
  while (!error && aTo.size() > 0) {
    aStream.expires_at(aDeadline.Expiry());
    const std::size_t size = co_await aStream.async_read_some(
      aTo, asio::redirect_error(use_awaitable, error));
    aDeadline.Received(size, std::chrono::steady_clock::now());
    aTo += size;
  }
  co_return !error;
}

/** Sends bytes as far as the deadline allows. Returns whether all were passed
 * to the network. */
asio::awaitable<bool>
Send(beast::tcp_stream& aStream,
     asio::const_buffer aBytes,
     TransferDeadline& aDeadline)
{
  error_code error;
  while (!error && aBytes.size() > 0) {
    aStream.expires_at(aDeadline.Expiry());
    const std::size_t size = co_await aStream.async_write_some(
      aBytes, asio::redirect_error(use_awaitable, error));
    aDeadline.Sent(size, std::chrono::steady_clock::now());
    aBytes += size;
  }
  co_return !error;
}

/** Reads one frame; returns nothing on an error or if the length exceeds
 * kMaxPeerMessageBytes. */
asio::awaitable<std::optional<Frame>>
ReadFrame(beast::tcp_stream& aStream, TransferDeadline& aDeadline)
{
  std::array<unsigned char, kHeaderBytes> header{};
  const bool begun = co_await Receive(aStream, asio::buffer(header), aDeadline);
  const std::uint32_t length = boost::endian::load_big_u32(header.data());
  if (!begun || length > kMaxPeerMessageBytes) {
    co_return std::nullopt;
  }
  Frame frame;
  frame.kind = boost::endian::load_big_u16(header.data() + 4);
  frame.correlation = boost::endian::load_big_u64(header.data() + 6);
  frame.body.resize(length);
  const bool complete =
    co_await Receive(aStream, asio::buffer(frame.body), aDeadline);
  if (!complete) {
    co_return std::nullopt;
  }
  co_return frame;
}

/** Returns whether an idle connection can be reused: it must be open and have
 * no pending data. Pending data would belong to no request, and end of file
 * means that the peer closed the connection. */
bool
IsReusable(Tcp::socket& aSocket)
{
  error_code error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

asio::awaitable<bool>
WriteFrame(beast::tcp_stream& aStream,
           const Frame& aFrame,
           TransferDeadline& aDeadline)
{
  const std::string bytes = EncodeFrame(aFrame);
  const bool written = co_await Send(aStream, asio::buffer(bytes), aDeadline);
  co_return written;
}

TransferDeadline
FrameDeadline()
{
  return TransferDeadline(std::chrono::steady_clock::now(),
                          TransferTimeout::Silence(kFrameTimeout));
}

} // namespace

RequestMemoryLimits
LimitsForPeers(std::size_t aMemoryMb, std::size_t aDescriptors)
{
  constexpr std::size_t kMegabyte = 1024 * 1024;
  constexpr std::size_t kMemoryPart = 8;
  constexpr std::size_t kDescriptorPart = 4;
  // While a body grows, its old and its new buffer exist.
  constexpr std::size_t kLeastBytes = std::size_t{ 2 } * kMaxPeerMessageBytes;
  RequestMemoryLimits limits;
  limits.bytes = std::max(aMemoryMb * kMegabyte / kMemoryPart, kLeastBytes);
  limits.connections = aDescriptors / kDescriptorPart;
  return limits;
}

/** One accepted connection. */
struct PeerConnection
{
  explicit PeerConnection(Tcp::socket aSocket)
    : stream(std::move(aSocket))
  {
  }

  beast::tcp_stream stream;
  RequestMemory::Key key = 0;
};

struct PeerServer::Shared
{
  Shared(asio::io_context& aContext, std::shared_ptr<RequestMemory> aMemory)
    : context(aContext)
    , acceptor(asio::make_strand(aContext))
    , memory(aMemory ? std::move(aMemory) : DefaultMemory())
  {
  }

  static std::shared_ptr<RequestMemory> DefaultMemory()
  {
    static const SystemClock kClock;
    const Settings defaults;
    return std::make_shared<RequestMemory>(
      LimitsForPeers(defaults.memoryMb, defaults.maxDescriptors), kClock);
  }

  asio::io_context& context;
  Tcp::acceptor acceptor;
  std::shared_ptr<RequestMemory> memory;
  std::uint16_t port = 0;
  std::map<std::uint16_t, PeerHandler> handlers;
  std::atomic<bool> stopping{ false };
  std::mutex mutex;
  std::set<std::shared_ptr<PeerConnection>> connections;
};

namespace {

using SharedPointer = std::shared_ptr<PeerServer::Shared>;
using ConnectionPointer = std::shared_ptr<PeerConnection>;

/** Waits for the header of a frame, without a limit for its first bytes, since
 * peers keep idle connections. Returns false on an error. */
asio::awaitable<bool>
ReceiveHeader(SharedPointer aShared,
              ConnectionPointer aConnection,
              std::array<unsigned char, kHeaderBytes>& aHeader,
              TransferDeadline& aDeadline)
{
  error_code error;
  aConnection->stream.expires_never();
  const std::size_t first = co_await aConnection->stream.async_read_some(
    asio::buffer(aHeader), asio::redirect_error(use_awaitable, error));
  if (error) {
    co_return false;
  }
  aShared->memory->BeginRequest(aConnection->key);
  aDeadline = FrameDeadline();
  const bool complete = co_await Receive(
    aConnection->stream, asio::buffer(aHeader) + first, aDeadline);
  co_return complete;
}

/** Receives one frame. Its body takes memory only as it arrives, whatever
 * length is announced. Returns nothing on an error, if the length exceeds
 * kMaxPeerMessageBytes or if the connection is evicted. */
asio::awaitable<std::optional<Frame>>
ReceiveFrame(SharedPointer aShared, ConnectionPointer aConnection)
{
  std::array<unsigned char, kHeaderBytes> header{};
  TransferDeadline deadline = FrameDeadline();
  const bool begun =
    co_await ReceiveHeader(aShared, aConnection, header, deadline);
  if (!begun) {
    co_return std::nullopt;
  }
  const std::size_t length = boost::endian::load_big_u32(header.data());
  if (length > kMaxPeerMessageBytes) {
    co_return std::nullopt;
  }
  Frame frame;
  frame.kind = boost::endian::load_big_u16(header.data() + 4);
  frame.correlation = boost::endian::load_big_u64(header.data() + 6);
  std::size_t received = 0;
  while (received < length) {
    const std::size_t size =
      received < frame.body.size()
        ? frame.body.size()
        : std::min(length, std::max(kReadBytes, received * 2));
    const Admission admission =
      aShared->memory->Received(aConnection->key, size);
    if (admission == Admission::Evicted) {
      co_return std::nullopt;
    }
    if (admission == Admission::GrantedByEviction) {
      error_code ignored;
      asio::steady_timer timer(aConnection->stream.get_executor(),
                               kReleaseTime);
      co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
    }
    frame.body.resize(size);
    error_code error;
    aConnection->stream.expires_at(deadline.Expiry());
    const std::size_t piece = co_await aConnection->stream.async_read_some(
      asio::buffer(frame.body) + received,
      asio::redirect_error(use_awaitable, error));
    deadline.Received(piece, std::chrono::steady_clock::now());
    received += piece;
    if (error) {
      co_return std::nullopt;
    }
  }
  const bool served =
    aShared->memory->BeginService(aConnection->key, frame.body.capacity());
  if (!served) {
    co_return std::nullopt;
  }
  co_return frame;
}

asio::awaitable<bool>
AnswerFrame(SharedPointer aShared, ConnectionPointer aConnection)
{
  std::optional<Frame> request = co_await ReceiveFrame(aShared, aConnection);
  if (!request) {
    co_return false;
  }
  const auto handler = aShared->handlers.find(request->kind);
  if (handler == aShared->handlers.end()) {
    Event("peer_request_unknown", LogLevel::Warning)
      .Add("kind", static_cast<int>(request->kind));
    co_return false;
  }
  Frame reply;
  reply.kind = request->kind;
  reply.correlation = request->correlation;
  aConnection->stream.expires_never();
  try {
    reply.body = co_await handler->second(std::move(request->body));
  } catch (const std::exception& error) {
    Event("peer_request_failed", LogLevel::Warning)
      .Add("kind", static_cast<int>(request->kind))
      .Add("error", error.what());
    co_return false;
  }
  TransferDeadline deadline = FrameDeadline();
  const bool written =
    co_await WriteFrame(aConnection->stream, reply, deadline);
  aShared->memory->EndRequest(aConnection->key);
  co_return written;
}

asio::awaitable<void>
ServeConnection(SharedPointer aShared, ConnectionPointer aConnection)
{
  bool open = true;
  while (open && !aShared->stopping) {
    open = co_await AnswerFrame(aShared, aConnection);
  }
  aShared->memory->Disconnect(aConnection->key);
  const std::lock_guard lock(aShared->mutex);
  aShared->connections.erase(aConnection);
}

void
CloseOnStrand(const ConnectionPointer& aConnection)
{
  asio::post(aConnection->stream.get_executor(),
             [aConnection] { aConnection->stream.close(); });
}

void
ServeAccepted(SharedPointer aShared,
              asio::any_io_executor aStrand,
              Tcp::socket aSocket)
{
  error_code error;
  aSocket.set_option(Tcp::no_delay(true), error);
  auto connection = std::make_shared<PeerConnection>(std::move(aSocket));
  const std::weak_ptr<PeerConnection> weak = connection;
  const auto key = aShared->memory->Connect([weak](EvictionCause aCause) {
    Event("peer_connection_evicted", LogLevel::Warning)
      .Add("cause", aCause == EvictionCause::Memory ? "memory" : "connections");
    if (const ConnectionPointer victim = weak.lock()) {
      CloseOnStrand(victim);
    }
  });
  if (!key) {
    Event("peer_connection_refused", LogLevel::Warning)
      .Add("reason", "connection-limit");
    return;
  }
  connection->key = *key;
  {
    const std::lock_guard lock(aShared->mutex);
    aShared->connections.insert(connection);
  }
  asio::co_spawn(
    aStrand, ServeConnection(aShared, std::move(connection)), asio::detached);
}

asio::awaitable<void>
AcceptPeers(SharedPointer aShared)
{
  while (!aShared->stopping) {
    error_code error;
    const auto strand = asio::make_strand(aShared->context);
    Tcp::socket socket = co_await aShared->acceptor.async_accept(
      strand, asio::redirect_error(use_awaitable, error));
    if (aShared->stopping) {
      co_return;
    }
    if (error) {
      asio::steady_timer timer(aShared->context, kAcceptBackOff);
      co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
      continue;
    }
    ServeAccepted(aShared, strand, std::move(socket));
  }
}

} // namespace

PeerServer::PeerServer(asio::io_context& aContext,
                       const Endpoint& aEndpoint,
                       std::shared_ptr<RequestMemory> aMemory)
  : shared(std::make_shared<Shared>(aContext, std::move(aMemory)))
{
  error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address, error);
  UserAssert(!error, "invalid address " + aEndpoint.address);
  const Tcp::endpoint endpoint(address,
                               static_cast<std::uint16_t>(aEndpoint.port));
  this->shared->acceptor.open(endpoint.protocol(), error);
  this->shared->acceptor.set_option(asio::socket_base::reuse_address(true),
                                    error);
  this->shared->acceptor.bind(endpoint, error);
  UserAssert(!error,
             "cannot bind " + aEndpoint.address + ":" +
               std::to_string(aEndpoint.port) + ": " + error.message());
  this->shared->acceptor.listen(asio::socket_base::max_listen_connections,
                                error);
  UserAssert(!error, "cannot listen for peer connections: " + error.message());
  this->shared->port = this->shared->acceptor.local_endpoint().port();
}

PeerServer::~PeerServer()
{
  this->Stop();
}

void
PeerServer::Handle(PeerMessage aKind, PeerHandler aHandler)
{
  this->shared->handlers[static_cast<std::uint16_t>(aKind)] =
    std::move(aHandler);
}

void
PeerServer::Start()
{
  asio::co_spawn(this->shared->acceptor.get_executor(),
                 AcceptPeers(this->shared),
                 asio::detached);
}

void
PeerServer::Stop()
{
  if (this->shared->stopping.exchange(true)) {
    return;
  }
  asio::post(this->shared->acceptor.get_executor(), [shared = this->shared] {
    error_code error;
    shared->acceptor.close(error);
  });
  const std::lock_guard lock(this->shared->mutex);
  for (const ConnectionPointer& connection : this->shared->connections) {
    CloseOnStrand(connection);
  }
}

std::uint16_t
PeerServer::Port() const
{
  return this->shared->port;
}

struct PeerClient::Connection
{
  explicit Connection(asio::any_io_executor aStrand)
    : strand(aStrand)
    , stream(aStrand)
  {
  }

  asio::any_io_executor strand;
  beast::tcp_stream stream;
};

PeerClient::PeerClient(asio::any_io_executor aExecutor)
  : executor(std::move(aExecutor))
{
}

PeerClient::~PeerClient() = default;

std::shared_ptr<PeerClient::Connection>
PeerClient::TakeConnection(const Endpoint& aPeer)
{
  const std::lock_guard lock(this->mutex);
  auto& available = this->idle[{ aPeer.address, aPeer.port }];
  if (available.empty()) {
    return std::make_shared<Connection>(asio::make_strand(this->executor));
  }
  std::shared_ptr<Connection> taken = std::move(available.back());
  available.pop_back();
  return taken;
}

void
PeerClient::ReturnConnection(const Endpoint& aPeer,
                             std::shared_ptr<Connection> aConnection)
{
  constexpr std::size_t kMaxIdle = 4;
  const std::lock_guard lock(this->mutex);
  auto& available = this->idle[{ aPeer.address, aPeer.port }];
  if (available.size() < kMaxIdle) {
    available.push_back(std::move(aConnection));
  }
}

asio::awaitable<PeerReply>
PeerClient::Call(Endpoint aPeer,
                 PeerMessage aKind,
                 std::string aBody,
                 TransferTimeout aTimeout)
{
  std::shared_ptr<Connection> connection = this->TakeConnection(aPeer);
  const asio::any_io_executor strand = connection->strand;
  asio::awaitable<PeerReply> call = this->CallOnStrand(
    std::move(aPeer), aKind, std::move(aBody), aTimeout, std::move(connection));
  PeerReply reply =
    co_await asio::co_spawn(strand, std::move(call), use_awaitable);
  co_return reply;
}

asio::awaitable<PeerReply>
PeerClient::CallOnStrand(Endpoint aPeer,
                         PeerMessage aKind,
                         std::string aBody,
                         TransferTimeout aTimeout,
                         std::shared_ptr<Connection> aConnection)
{
  PeerReply result;
  error_code error;
  TransferDeadline deadline(std::chrono::steady_clock::now(), aTimeout);
  beast::tcp_stream& stream = aConnection->stream;
  if (stream.socket().is_open() && !IsReusable(stream.socket())) {
    stream.socket().close(error);
  }
  if (!stream.socket().is_open()) {
    const auto address = asio::ip::make_address(aPeer.address, error);
    if (error) {
      co_return result;
    }
    const Tcp::endpoint endpoint(address,
                                 static_cast<std::uint16_t>(aPeer.port));
    stream.expires_at(deadline.Expiry());
    co_await stream.async_connect(endpoint,
                                  asio::redirect_error(use_awaitable, error));
    if (error) {
      co_return result;
    }
    stream.socket().set_option(Tcp::no_delay(true), error);
  }
  Frame request;
  request.kind = static_cast<std::uint16_t>(aKind);
  request.body = std::move(aBody);
  {
    const std::lock_guard lock(this->mutex);
    request.correlation = this->nextCorrelation++;
  }
  result.mayHaveArrived = true;
  const bool written = co_await WriteFrame(stream, request, deadline);
  if (!written) {
    co_return result;
  }
  std::optional<Frame> reply = co_await ReadFrame(stream, deadline);
  if (!reply || reply->correlation != request.correlation ||
      reply->kind != request.kind) {
    co_return result;
  }
  stream.expires_never();
  if (stream.socket().is_open()) {
    this->ReturnConnection(aPeer, std::move(aConnection));
  }
  result.body = std::move(reply->body);
  co_return result;
}

} // namespace sequoiakeel
