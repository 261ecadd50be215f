#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "generated/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace sequoiakeel {

/** How far an exchange got. */
enum class ExchangeProgress : std::uint8_t
{
  /** No byte of the request was handed to the network. */
  NotSent,
  /** Some of the request was sent and no whole response came. */
  Sent,
  /** The whole response was received. */
  Complete,
};

/** Result of one exchange. */
struct ExchangeResult
{
  ExchangeProgress progress = ExchangeProgress::NotSent;
  /** Valid if progress is Complete. */
  HttpResponse response;
  /** Why the exchange isn't complete. */
  std::string error;
  bool timedOut = false;

  bool Complete() const { return this->progress == ExchangeProgress::Complete; }
};

/** Largest response body that a client accepts, in bytes. */
inline constexpr std::size_t kMaxResponseBytes = 8 * 1024 * 1024;

/**
 * One connection, with one request at a time and no pipelining.
 *
 * Not thread safe: all calls run on the executor that was passed in, which must
 * be a strand or run on one thread.
 */
class HttpConnection
{
public:
  explicit HttpConnection(boost::asio::any_io_executor aExecutor);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  /** Connects; returns an empty string or the error. Precondition: not
   * connected. */
  boost::asio::awaitable<std::string> Connect(Endpoint aEndpoint,
                                              Duration aTimeout);

  /** Sends a request and receives the whole response. Precondition: Reusable().
   */
  boost::asio::awaitable<ExchangeResult> Exchange(HttpRequest aRequest,
                                                  Duration aTimeout);

  /** Tells whether the connection is open, quiet and has nothing left over from
   * an earlier exchange. */
  bool Reusable();

  /** Closes the connection; an exchange in progress ends with an error. */
  void Close();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

/**
 * Client of one endpoint that keeps idle connections. For the platform's
 * services; requests of callers use ConnectionPool. Thread safe.
 */
class HttpClient
{
public:
  HttpClient(boost::asio::any_io_executor aExecutor,
             Endpoint aEndpoint,
             std::size_t aMaxIdle = 8);

  /**
   * Sends one request, without a retry. After a timeout all idle connections
   * are closed, since they may have lost their state on the path together.
   */
  boost::asio::awaitable<ExchangeResult> Call(HttpRequest aRequest,
                                              Duration aTimeout);

private:
  struct Idle
  {
    std::unique_ptr<HttpConnection> connection;
    boost::asio::any_io_executor strand;
    TimePoint since;
  };

  Idle TakeIdle();
  void PutIdle(Idle aIdle);
  void DropIdle();
  boost::asio::awaitable<ExchangeResult> CallOnStrand(HttpRequest aRequest,
                                                      Duration aTimeout,
                                                      Idle aIdle);

  boost::asio::any_io_executor executor;
  Endpoint endpoint;
  std::size_t maxIdle;
  std::mutex mutex;
  std::vector<Idle> idle;
};

} // namespace sequoiakeel
