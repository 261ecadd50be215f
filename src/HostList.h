#pragma once

#include "generated/Platform.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace sequoiakeel {

/** The platform's list of live and leaving hosts, which lags behind the actual
 * state of the hosts. Thread safe. */
class HostList
{
public:
  virtual ~HostList() = default;

  /** Reads the list. Returns an empty optional if it cannot be read. */
  virtual boost::asio::awaitable<std::optional<HostListing>> Read() = 0;
};

} // namespace sequoiakeel
