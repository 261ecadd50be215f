#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sequoiakeel {

/** A complete request that a fake backend server received. */
struct BackendRequest
{
  std::string target;
  /** Value of Sequoiakeel-Request-Id. */
  std::string id;
  std::string body;
  /** Number of the connection, counted from 1 in the order of acceptance. */
  std::size_t connection = 0;
  /** Number of the request among the requests to services, counted from 1 in
   * the order of arrival. */
  std::size_t number = 0;
};

/** What a fake backend server does with a request. */
struct Reaction
{
  std::chrono::milliseconds delay{ 0 };
  /** Raw bytes that are written to the connection. */
  std::string bytes;
  /** Delay before laterBytes, counted from the end of the first write. */
  std::chrono::milliseconds laterDelay{ 0 };
  /** Raw bytes of a second write; empty for none. */
  std::string laterBytes;
  /** Whether to close the connection after the last write. */
  bool close = false;
  /** Whether the request counts as executed; false for an explicit refusal. */
  bool executes = true;
};

/** Returns the raw bytes of a well-formed response. */
std::string
RawResponse(unsigned aStatus,
            const std::string& aRequestId,
            const std::string& aBody,
            const std::string& aMoreHeaders = "");

/** Returns a well-formed response whose body is "answer to " and the body of
 * the request. */
Reaction
AnswerNormally(const BackendRequest& aRequest);

/** Returns an explicit refusal: status 503 with aWhy, "busy" or "leaving", in
 * the header field Sequoiakeel-Not-Run. */
Reaction
RefuseExplicitly(const BackendRequest& aRequest, const std::string& aWhy);

/**
 * Backend server on 127.0.0.1 whose responses are raw bytes given by the test,
 * so that they can violate HTTP. Counts the requests that it executed. Thread
 * safe. The io_context must be stopped before the object is destroyed.
 */
class FakeBackend
{
public:
  using Behaviour = std::function<Reaction(const BackendRequest&)>;

  FakeBackend(boost::asio::io_context& aContext, Behaviour aBehaviour);
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;
  ~FakeBackend();

  std::uint16_t Port() const;

  /** Returns the number of executed requests. */
  std::size_t Executions() const;

  /** Returns the number of executed requests with this body. */
  std::size_t ExecutionsOf(const std::string& aBody) const;

  /** Returns the number of connections accepted so far. */
  std::size_t Accepted() const;

  /** Returns the number of second writes that have ended. */
  std::size_t LaterWrites() const;

  /** Returns the number of open connections. */
  std::size_t Open() const;

  /** Makes all existing connections unresponsive: they stay open, but get no
   * more responses. New connections work. */
  void MakeExistingUnresponsive();

  /** Sets the behaviour for requests that arrive from now on. */
  void SetBehaviour(Behaviour aBehaviour);

  struct Shared;

private:
  std::shared_ptr<Shared> shared;
};

} // namespace sequoiakeel
