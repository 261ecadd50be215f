#pragma once

#include "generated/Settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace sequoiakeel {

/** An entry: serves the HTTP requests of callers and operators. Not thread
 * safe; its components synchronize their own state. */
class EntryService
{
public:
  /** Binds the sockets. Throws UserError if a socket cannot be bound. aContext
   * must outlive the service, but must have stopped running before the service
   * is destroyed. */
  EntryService(boost::asio::io_context& aContext, Settings aSettings);
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;
  ~EntryService();

  /** Starts to listen at once, and returns true as soon as a configuration is
   * active and the host list, if one is configured, has been read; callers'
   * requests are refused until then. Returns false if Stop() was called first.
   */
  boost::asio::awaitable<bool> Start();

  /** Closes the listener, announces that this entry is leaving and waits until
   * the requests in progress have ended and the records of their outcomes are
   * stored. Returns false if the deadline for stopping in the settings passed
   * first. */
  boost::asio::awaitable<bool> Stop();

  std::uint16_t HttpPort() const;
  std::uint16_t PeerPort() const;

  /** Components and their background loops. */
  struct Impl;

private:
  std::shared_ptr<Impl> impl;
};

} // namespace sequoiakeel
