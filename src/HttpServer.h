#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "RequestMemory.h"
#include "generated/Settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace sequoiakeel {

/** Limits on the size, number and duration of requests and connections. */
struct HttpServerLimits
{
  /** Also limits the trailers and each chunk extension of a body. */
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  /** Accounts for the connections and the memory of requests, together with the
   * other listeners that have the same object. Null: the server has its own,
   * with the default limits. */
  std::shared_ptr<RequestMemory> memory;
  /** Maximum time to receive a complete request after its first bytes, and to
   * send a response. */
  std::chrono::milliseconds requestTimeout{ 10000 };
  /** Maximum time that a connection may stay open without a request, also
   * before its first one. */
  std::chrono::milliseconds idleTimeout{ 60000 };
  /** Grace period after StopAccepting() in which each open connection still
   * serves one request, because a client may send a request before it detects
   * that the server is stopping. */
  std::chrono::milliseconds stopGrace{ 1000 };
};

/** Returns the response to one request. Runs on the strand of the connection;
 * handlers of different connections may run concurrently. */
using HttpHandler =
  std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/**
 * HTTP/1.1 server based on Boost.Beast. Malformed or oversized requests are
 * answered with 400, 413 or 431 and the connection is closed; an announced body
 * over the limit is refused before any of it is read. An incomplete request
 * that is evicted for others is answered with 503. If the handler throws, the
 * server responds with 500. All methods are thread safe.
 */
class HttpServer
{
public:
  /** Binds the endpoint and listens on it. Throws UserError if the address is
   * invalid or the endpoint can't be bound. aContext must outlive the server.
   */
  HttpServer(boost::asio::io_context& aContext,
             const Endpoint& aEndpoint,
             HttpServerLimits aLimits,
             HttpHandler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Starts accepting connections. Must be called at most once. */
  void Start();

  /** Changes HttpServerLimits::maxBodyBytes for the requests that begin from
   * now on. */
  void LimitBody(std::size_t aBytes);

  /** Returns the port that the listener is bound to. */
  std::uint16_t Port() const;

  /** Returns the number of requests in progress, which includes requests that
   * are still being received. */
  std::size_t InFlight() const;

  /** Accepts the connections that are pending in the kernel and closes the
   * listener. Each open connection is closed after its request in progress, or
   * after one request that arrives within HttpServerLimits::stopGrace. Further
   * calls have no effect. */
  void StopAccepting();

  /** Waits until the listener and all connections are closed, but no longer
   * than until aDeadline. Returns false if requests were still in progress at
   * aDeadline. Precondition: StopAccepting() was called. */
  boost::asio::awaitable<bool> Drain(TimePoint aDeadline);

  /** State shared with the connections. */
  struct Shared;

private:
  std::shared_ptr<Shared> shared;
};

} // namespace sequoiakeel
