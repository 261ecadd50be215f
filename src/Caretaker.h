#pragma once

#include "WorkerAgent.h"
#include "generated/Platform.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Renews each lease of a cell that a worker lists. For a cell whose owner may
 * be gone while the store is down: running tasks go on, and nothing is started,
 * stopped or evicted. The caller makes sure that the renewal gate allows it.
 * aAgent must outlive the call. Thread safe.
 */
boost::asio::awaitable<void>
RenewListedLeases(WorkerAgent& aAgent, std::string aCell, Endpoint aWorker);

/** The agent's endpoint of a host. Thread safe. */
Endpoint
AgentEndpointOf(const HostRecord& aHost);

} // namespace sequoiakeel
