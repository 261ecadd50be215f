#include "support/FakeBackend.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

struct FakeBackend::Shared
{
  explicit Shared(asio::io_context& aContext)
    : context(aContext)
    , acceptor(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
  }

  asio::io_context& context;
  Tcp::acceptor acceptor;
  mutable std::mutex mutex;
  Behaviour behaviour;
  std::map<std::string, std::size_t> executions;
  std::size_t requests = 0;
  std::size_t accepted = 0;
  std::size_t unresponsive = 0;
  std::size_t open = 0;
  std::size_t laterWrites = 0;
};

namespace {

using SharedPointer = std::shared_ptr<FakeBackend::Shared>;

std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  std::string lower = aHead;
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  const std::size_t at = lower.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t start = at + aName.size() + 4;
  return aHead.substr(start, aHead.find("\r\n", start) - start);
}

/** Reads one request into aRequest. Returns false if the connection ended. */
asio::awaitable<bool>
ReadRequest(Tcp::socket& aSocket,
            std::string& aBuffer,
            BackendRequest& aRequest)
{
  error_code error;
  const std::size_t headSize =
    co_await asio::async_read_until(aSocket,
                                    asio::dynamic_buffer(aBuffer),
                                    "\r\n\r\n",
                                    asio::redirect_error(use_awaitable, error));
  if (error) {
    co_return false;
  }
  const std::string head = aBuffer.substr(0, headSize);
  aBuffer.erase(0, headSize);
  const std::size_t targetAt = head.find(' ') + 1;
  aRequest.target = head.substr(targetAt, head.find(' ', targetAt) - targetAt);
  aRequest.id = FieldOf(head, "sequoiakeel-request-id");
  const std::string length = FieldOf(head, "content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (aBuffer.size() < size) {
    std::string more(size - aBuffer.size(), '\0');
    const std::size_t received = co_await aSocket.async_read_some(
      asio::buffer(more), asio::redirect_error(use_awaitable, error));
    if (error) {
      co_return false;
    }
    aBuffer.append(more, 0, received);
  }
  aRequest.body = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  co_return true;
}

asio::awaitable<bool>
WriteAfter(Tcp::socket& aSocket,
           std::chrono::milliseconds aDelay,
           std::string aBytes)
{
  error_code error;
  if (aDelay.count() > 0) {
    asio::steady_timer timer(aSocket.get_executor(), aDelay);
    co_await timer.async_wait(use_awaitable);
  }
  co_await asio::async_write(
    aSocket, asio::buffer(aBytes), asio::redirect_error(use_awaitable, error));
  co_return !error;
}

Reaction
React(FakeBackend::Shared& aShared, BackendRequest& aRequest)
{
  if (aRequest.target == "/probe") {
    Reaction alive;
    alive.bytes = "HTTP/1.1 204 No Content\r\n\r\n";
    return alive;
  }
  FakeBackend::Behaviour behaviour;
  {
    const std::lock_guard lock(aShared.mutex);
    aRequest.number = ++aShared.requests;
    behaviour = aShared.behaviour;
  }
  Reaction reaction = behaviour(aRequest);
  if (reaction.executes) {
    const std::lock_guard lock(aShared.mutex);
    ++aShared.executions[aRequest.body];
  }
  return reaction;
}

bool
IsUnresponsive(const FakeBackend::Shared& aShared, std::size_t aConnection)
{
  const std::lock_guard lock(aShared.mutex);
  return aConnection <= aShared.unresponsive;
}

asio::awaitable<void>
ServeBackend(SharedPointer aShared, Tcp::socket aSocket, std::size_t aNumber)
{
  std::string buffer;
  bool open = true;
  while (open) {
    BackendRequest request;
    request.connection = aNumber;
    open = co_await ReadRequest(aSocket, buffer, request);
    if (!open || IsUnresponsive(*aShared, aNumber)) {
      continue;
    }
    Reaction reaction = React(*aShared, request);
    open =
      co_await WriteAfter(aSocket, reaction.delay, std::move(reaction.bytes));
    if (open && !reaction.laterBytes.empty()) {
      open = co_await WriteAfter(
        aSocket, reaction.laterDelay, std::move(reaction.laterBytes));
      const std::lock_guard lock(aShared->mutex);
      ++aShared->laterWrites;
    }
    open = open && !reaction.close;
  }
  const std::lock_guard lock(aShared->mutex);
  --aShared->open;
}

asio::awaitable<void>
AcceptBackend(SharedPointer aShared)
{
  while (true) {
    error_code error;
    const auto strand = asio::make_strand(aShared->context);
    Tcp::socket socket = co_await aShared->acceptor.async_accept(
      strand, asio::redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
    std::size_t number = 0;
    {
      const std::lock_guard lock(aShared->mutex);
      number = ++aShared->accepted;
      ++aShared->open;
    }
    asio::co_spawn(
      strand, ServeBackend(aShared, std::move(socket), number), asio::detached);
  }
}

} // namespace

std::string
RawResponse(unsigned aStatus,
            const std::string& aRequestId,
            const std::string& aBody,
            const std::string& aMoreHeaders)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" +
         "Sequoiakeel-Request-Id: " + aRequestId + "\r\n" + aMoreHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Reaction
AnswerNormally(const BackendRequest& aRequest)
{
  Reaction reaction;
  reaction.bytes = RawResponse(200, aRequest.id, "answer to " + aRequest.body);
  return reaction;
}

Reaction
RefuseExplicitly(const BackendRequest& aRequest, const std::string& aWhy)
{
  Reaction reaction;
  reaction.bytes =
    RawResponse(503, aRequest.id, "", "Sequoiakeel-Not-Run: " + aWhy + "\r\n");
  reaction.executes = false;
  return reaction;
}

FakeBackend::FakeBackend(asio::io_context& aContext, Behaviour aBehaviour)
  : shared(std::make_shared<Shared>(aContext))
{
  this->shared->behaviour = std::move(aBehaviour);
  asio::co_spawn(aContext, AcceptBackend(this->shared), asio::detached);
}

FakeBackend::~FakeBackend() = default;

std::uint16_t
FakeBackend::Port() const
{
  return this->shared->acceptor.local_endpoint().port();
}

std::size_t
FakeBackend::Executions() const
{
  const std::lock_guard lock(this->shared->mutex);
  std::size_t sum = 0;
  for (const auto& [body, count] : this->shared->executions) {
    sum += count;
  }
  return sum;
}

std::size_t
FakeBackend::ExecutionsOf(const std::string& aBody) const
{
  const std::lock_guard lock(this->shared->mutex);
  const auto found = this->shared->executions.find(aBody);
  return found == this->shared->executions.end() ? 0 : found->second;
}

std::size_t
FakeBackend::Accepted() const
{
  const std::lock_guard lock(this->shared->mutex);
  return this->shared->accepted;
}

std::size_t
FakeBackend::LaterWrites() const
{
  const std::lock_guard lock(this->shared->mutex);
  return this->shared->laterWrites;
}

std::size_t
FakeBackend::Open() const
{
  const std::lock_guard lock(this->shared->mutex);
  return this->shared->open;
}

void
FakeBackend::MakeExistingUnresponsive()
{
  const std::lock_guard lock(this->shared->mutex);
  this->shared->unresponsive = this->shared->accepted;
}

void
FakeBackend::SetBehaviour(Behaviour aBehaviour)
{
  const std::lock_guard lock(this->shared->mutex);
  this->shared->behaviour = std::move(aBehaviour);
}

} // namespace sequoiakeel
