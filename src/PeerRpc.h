#pragma once

#include "Clock.h"
#include "RequestMemory.h"
#include "TransferDeadline.h"
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

/** Request types between the processes of the system. The values are part of
 * the wire format. */
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

/** Maximum size of a message body, in bytes; well above the size of a
 * configuration document. */
inline constexpr std::uint32_t kMaxPeerMessageBytes = 4 * 1024 * 1024;

/** Handles an encoded request and returns the encoded reply. If it throws, the
 * connection is closed without a reply. */
using PeerHandler =
  std::function<boost::asio::awaitable<std::string>(std::string)>;

/** Returns the limits on the connections of the peers of a process on a host
 * with aMemoryMb of memory that may use aDescriptors file descriptors. They are
 * apart from those of clients, so that neither displace the others. Thread
 * safe. */
RequestMemoryLimits
LimitsForPeers(std::size_t aMemoryMb, std::size_t aDescriptors);

/**
 * Serves requests from peers over TCP. A frame consists of the body length (4
 * bytes), the request kind (2 bytes) and a correlation id (8 bytes), all big
 * endian, followed by the body in cereal's portable binary format. An oversized
 * frame or an unknown kind closes the connection, as does a frame that is not
 * progressing for ten seconds after its first bytes or that is evicted because
 * peers hold too much memory or too many connections.
 */
class PeerServer
{
public:
  /** Binds and listens. Throws UserError if the endpoint can't be bound.
   * aMemory accounts for the connections; null: the server has its own, with
   * the limits of a host of default size. */
  PeerServer(boost::asio::io_context& aContext,
             const Endpoint& aEndpoint,
             std::shared_ptr<RequestMemory> aMemory = nullptr);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  ~PeerServer();

  /** Registers the handler of a request kind. Precondition: Start() was not
   * called. Not thread safe. */
  void Handle(PeerMessage aKind, PeerHandler aHandler);

  /** Starts accepting connections. Precondition: called once. */
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

/** Result of a request to a peer. */
struct PeerReply
{
  /** The encoded reply, if one was received in time. */
  std::optional<std::string> body;
  /** Whether the peer may have received the request. If so, the peer may have
   * carried out the request even if no reply was received. */
  bool mayHaveArrived = false;

  explicit operator bool() const { return this->body.has_value(); }
  /** Precondition: there is a reply. */
  const std::string& operator*() const { return *this->body; }
};

/** Sends requests to peers over pooled connections, each of which carries one
 * request at a time. Thread safe. */
class PeerClient
{
public:
  explicit PeerClient(boost::asio::any_io_executor aExecutor);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  ~PeerClient();

  /** Sends one request and waits up to aTimeout for the reply. Does not
   * retry. */
  boost::asio::awaitable<PeerReply> Call(Endpoint aPeer,
                                         PeerMessage aKind,
                                         std::string aBody,
                                         TransferTimeout aTimeout);

private:
  struct Connection;

  std::shared_ptr<Connection> TakeConnection(const Endpoint& aPeer);
  void ReturnConnection(const Endpoint& aPeer,
                        std::shared_ptr<Connection> aConnection);
  boost::asio::awaitable<PeerReply> CallOnStrand(
    Endpoint aPeer,
    PeerMessage aKind,
    std::string aBody,
    TransferTimeout aTimeout,
    std::shared_ptr<Connection> aConnection);

  boost::asio::any_io_executor executor;
  std::mutex mutex;
  std::uint64_t nextCorrelation = 1;
  std::map<std::pair<std::string, std::uint32_t>,
           std::vector<std::shared_ptr<Connection>>>
    idle;
};

} // namespace sequoiakeel
