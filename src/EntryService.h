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
  /** Binds the sockets. Throws UserError if one can't be bound. aContext must
   * outlive the service, but must have stopped running before the service is
   * destroyed. */
  EntryService(boost::asio::io_context& aContext, Settings aSettings);
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;
  ~EntryService();

  /** Starts to listen and returns true once a configuration is active and the
   * host list has been read; until then, callers' requests are refused. Returns
   * false if Stop() was called first. */
  boost::asio::awaitable<bool> Start();

  /** Closes the listener, announces that this entry is leaving and waits for
   * the requests in progress and the records of their outcomes. Returns false
   * if the deadline of the settings passed first. */
  boost::asio::awaitable<bool> Stop();

  std::uint16_t HttpPort() const;
  std::uint16_t PeerPort() const;

  /** Components and their background loops. */
  struct Impl;

private:
  std::shared_ptr<Impl> impl;
};

} // namespace sequoiakeel
