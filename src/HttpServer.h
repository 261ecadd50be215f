#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "generated/Settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace sequoiakeel {

/** Bounds on what a client may send. */
struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 4096;
  /** Time for a whole request to arrive once its first byte is there or the
   * connection was opened. */
  std::chrono::milliseconds requestTimeout{ 10000 };
  /** Time that a connection may stay open without a request. */
  std::chrono::milliseconds idleTimeout{ 60000 };
  /** Time after StopAccepting in which open connections still take one request,
   * since a client may send one before it learns of the stop. */
  std::chrono::milliseconds stopGrace{ 1000 };
};

/** Answers one request. Runs on the connection's strand; several connections
 * run at a time. */
using HttpHandler =
  std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/**
 * HTTP/1.1 server over Boost.Beast. Malformed or oversized requests are
 * answered with 400, 413 or 431 and the connection is closed. A handler that
 * throws is answered with 500. All methods are thread safe.
 */
class HttpServer
{
public:
  /** Binds at once. Throws UserError if the endpoint can't be bound. aContext
   * must outlive the server. */
  HttpServer(boost::asio::io_context& aContext,
             const Endpoint& aEndpoint,
             HttpServerLimits aLimits,
             HttpHandler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Starts accepting. Precondition: called once. */
  void Start();

  /** Returns the bound port. */
  std::uint16_t Port() const;

  /** Returns the requests in progress. */
  std::size_t InFlight() const;

  /** Serves the connections that wait to be accepted and closes the listener.
   * Open connections close after their request in progress, or after one that
   * arrives within the grace time. */
  void StopAccepting();

  /** Waits until all connections are closed; returns false if requests were
   * still in progress at aDeadline. Precondition: StopAccepting() was called.
   */
  boost::asio::awaitable<bool> Drain(TimePoint aDeadline);

  /** State shared with the connections. */
  struct Shared;

private:
  std::shared_ptr<Shared> shared;
};

} // namespace sequoiakeel
