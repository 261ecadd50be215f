#pragma once

#include "Clock.h"
#include "generated/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Kinds of request between the processes of the system. The numbers are part
 * of the wire format. */
enum class PeerMessage : std::uint16_t
{
  FetchConfiguration = 1,
  SubmitJob = 2,
  CancelJob = 3,
  QueryJob = 4,
  PlannerStatus = 5,
  ExplainJob = 6,
  QueryWorkflow = 7,
  RelaySubmission = 8,
  RelayCancellation = 9,
};

/** Largest message, in bytes: a configuration document with room to spare. */
inline constexpr std::uint32_t kMaxPeerMessageBytes = 4 * 1024 * 1024;

/** Answers one encoded request with an encoded reply. */
using PeerHandler =
  std::function<boost::asio::awaitable<std::string>(std::string)>;

/**
 * Serves requests of peers over TCP. A frame is length (4 bytes), kind (2),
 * correlation id (8), all big endian, and the body in cereal's portable binary
 * form. A malformed frame closes the connection.
 */
class PeerServer
{
public:
  /** Binds at once. Throws UserError if the endpoint can't be bound. */
  PeerServer(boost::asio::io_context& aContext, const Endpoint& aEndpoint);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  ~PeerServer();

  /** Sets the handler of a kind. Precondition: Start() was not called. Not
   * thread safe. */
  void Handle(PeerMessage aKind, PeerHandler aHandler);

  /** Starts accepting. Precondition: called once. */
  void Start();

  /** Stops accepting and closes the connections. Thread safe. */
  void Stop();

  /** Returns the bound port. Thread safe. */
  std::uint16_t Port() const;

  /** State shared with the connections. */
  struct Shared;

private:
  std::shared_ptr<Shared> shared;
};

/** What came of a request to a peer. */
struct PeerReply
{
  /** The encoded reply, if one came in time. */
  std::optional<std::string> body;
  /** Without a reply: the request may have been carried out. */
  bool mayHaveArrived = false;

  explicit operator bool() const { return this->body.has_value(); }
  /** Precondition: there is a reply. */
  const std::string& operator*() const { return *this->body; }
};

/** Sends requests to peers, with one request at a time on a connection. Thread
 * safe. */
class PeerClient
{
public:
  explicit PeerClient(boost::asio::any_io_executor aExecutor);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  ~PeerClient();

  /** Sends one request, without a retry. */
  boost::asio::awaitable<PeerReply> Call(Endpoint aPeer,
                                         PeerMessage aKind,
                                         std::string aBody,
                                         Duration aTimeout);

private:
  struct Connection;

  std::shared_ptr<Connection> Take(const Endpoint& aPeer);
  void Put(const Endpoint& aPeer, std::shared_ptr<Connection> aConnection);
  boost::asio::awaitable<PeerReply> CallOnStrand(
    Endpoint aPeer,
    PeerMessage aKind,
    std::string aBody,
    Duration aTimeout,
    std::shared_ptr<Connection> aConnection);

  boost::asio::any_io_executor executor;
  std::mutex mutex;
  std::uint64_t nextCorrelation = 1;
  std::map<std::pair<std::string, std::uint32_t>,
           std::vector<std::shared_ptr<Connection>>>
    idle;
};

} // namespace sequoiakeel
