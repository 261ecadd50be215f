#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "ResponseMemory.h"
#include "TransferDeadline.h"
#include "generated/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace sequoiakeel {

/** Progress of an exchange, that is, of one request and its response. */
enum class ExchangeProgress : std::uint8_t
{
  /** No byte of the request was written to the socket. */
  NotSent,
  /** At least part of the request was sent, but no complete response was
   * received. */
  Sent,
  /** The complete response was received. */
  Complete,
};

/** Result of one exchange. */
struct ExchangeResult
{
  ExchangeProgress progress = ExchangeProgress::NotSent;
  /** Valid if progress is Complete. */
  HttpResponse response;
  /** Error message if progress isn't Complete. */
  std::string error;
  bool timedOut = false;
  /** The response was given up since it exceeds a limit. */
  bool overLimit = false;
  /** Number of the connection that was used, unique within its HttpClient; 0 if
   * there was none. */
  std::uint64_t connection = 0;
  /** Bytes of the request that were passed to the network, and of the response
   * that were received. */
  std::size_t sentBytes = 0;
  std::size_t receivedBytes = 0;

  bool Complete() const { return this->progress == ExchangeProgress::Complete; }
};

/**
 * Client connection that carries one request at a time, without pipelining.
 *
 * Not thread safe: all calls must run on the executor that was passed to the
 * constructor, which must be a strand or run on a single thread.
 */
class HttpConnection
{
public:
  explicit HttpConnection(boost::asio::any_io_executor aExecutor,
                          ResponseLimits aLimits = {});
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  /** Connects to aEndpoint. Returns an empty string on success and an error
   * message otherwise. Precondition: not connected. */
  boost::asio::awaitable<std::string> Connect(Endpoint aEndpoint,
                                              Duration aTimeout);

  /** Sends a request and receives the complete response. aMaxBodyBytes: limits
   * the body of the response further. Precondition: Reusable(). */
  boost::asio::awaitable<ExchangeResult> Exchange(
    HttpRequest aRequest,
    TransferDeadline aDeadline,
    std::size_t aMaxBodyBytes = SIZE_MAX);

  /** Like Exchange() with a deadline that begins now. */
  boost::asio::awaitable<ExchangeResult> Exchange(HttpRequest aRequest,
                                                  TransferTimeout aTimeout);

  /** Returns whether the connection is open, has no exchange in progress and
   * has no unread data from an earlier exchange. */
  bool Reusable();

  /** Closes the connection. An exchange in progress fails with an error, and
   * the connection is then reset, so that the network drops what it has not
   * delivered of the request. */
  void Close();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

/**
 * Client of one endpoint that keeps idle connections open for reuse. Meant for
 * the platform's services; requests of callers use ConnectionPool. Thread safe.
 */
class HttpClient
{
public:
  HttpClient(boost::asio::any_io_executor aExecutor,
             Endpoint aEndpoint,
             std::size_t aMaxIdle = 8,
             ResponseLimits aLimits = {});

  /**
   * Sends one request, without retries. aMaxBodyBytes: limits the body of the
   * response further. If sending the request or receiving the
   * response times out, all idle connections are closed, because the network
   * path may have lost the state of all of them at the same time.
   */
  boost::asio::awaitable<ExchangeResult> Call(
    HttpRequest aRequest,
    TransferTimeout aTimeout,
    std::size_t aMaxBodyBytes = SIZE_MAX);

  /** Like Call(), but sends the request only on the connection with the number
   * aConnection, which reaches the same process as the earlier requests on it.
   * If that connection is not idle and open, the request is not sent and the
   * result names no connection. */
  boost::asio::awaitable<ExchangeResult> CallOn(std::uint64_t aConnection,
                                                HttpRequest aRequest,
                                                TransferTimeout aTimeout);

  /** Closes all idle connections. */
  void DropIdle();

private:
  enum class Reconnect : std::uint8_t
  {
    Never,
    IfClosed,
  };

  struct Idle
  {
    std::uint64_t number = 0;
    std::unique_ptr<HttpConnection> connection;
    boost::asio::any_io_executor strand;
    TimePoint since;
  };

  Idle TakeIdle();
  Idle TakeIdle(std::uint64_t aConnection);
  void PutIdle(Idle aIdle);
  std::uint64_t NextNumber();
  void NoteRefused(const std::string& aError) const;
  boost::asio::awaitable<ExchangeResult> CallOnStrand(HttpRequest aRequest,
                                                      TransferTimeout aTimeout,
                                                      std::size_t aMaxBodyBytes,
                                                      Idle aIdle,
                                                      Reconnect aReconnect);

  boost::asio::any_io_executor executor;
  Endpoint endpoint;
  std::size_t maxIdle;
  ResponseLimits limits;
  std::mutex mutex;
  std::vector<Idle> idle;
  std::uint64_t lastNumber = 0;
};

} // namespace sequoiakeel
