#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sequoiakeel {

/** A whole request that arrived at a fake backend server. */
struct BackendRequest
{
  std::string target;
  /** Value of Sequoiakeel-Request-Id. */
  std::string id;
  std::string body;
  /** Connections from 1, in the order in which they were accepted. */
  std::size_t connection = 0;
  /** Requests to services from 1, in the order in which they arrived. */
  std::size_t number = 0;
};

/** What a fake backend server does with a request. */
struct Reaction
{
  std::chrono::milliseconds delay{ 0 };
  /** Written as they are. */
  std::string bytes;
  /** Written after another delay. */
  std::chrono::milliseconds laterDelay{ 0 };
  std::string laterBytes;
  /** Close the connection afterwards. */
  bool close = false;
  /** Whether the request ran; an explicit refusal did not. */
  bool executes = true;
};

/** Returns a well-formed response in raw bytes. */
std::string
RawResponse(unsigned aStatus,
            const std::string& aRequestId,
            const std::string& aBody,
            const std::string& aMoreHeaders = "");

/** Answers with "answer to " and the request's body. */
Reaction
AnswerWell(const BackendRequest& aRequest);

/** Refuses explicitly; aWhy is "busy" or "leaving". */
Reaction
RefuseExplicitly(const BackendRequest& aRequest, const std::string& aWhy);

/**
 * Backend server on 127.0.0.1 that misbehaves as told, below the level of HTTP,
 * and counts what it executed. Thread safe. The io_context must stop before the
 * object ends.
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

  /** Returns how often requests ran. */
  std::size_t Executions() const;

  /** Returns how often requests with this body ran. */
  std::size_t ExecutionsOf(const std::string& aBody) const;

  /** Returns the connections accepted so far. */
  std::size_t Accepted() const;

  /** Returns the connections that are open. */
  std::size_t Open() const;

  /** All connections that exist now never answer again and stay open; new ones
   * work. */
  void SilenceExisting();

  /** Changes the behaviour. */
  void SetBehaviour(Behaviour aBehaviour);

  struct Shared;

private:
  std::shared_ptr<Shared> shared;
};

} // namespace sequoiakeel
