#pragma once

#include "WorkerAgent.h"
#include "generated/Platform.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Queries a worker's status and renews each lease of the cell that it lists.
 * Used for a cell whose owner may have failed while the store is unreachable:
 * the renewals keep its tasks running; nothing is started, stopped or evicted.
 * Precondition: the renewal gate allows renewals. aAgent must outlive the call.
 * Thread safe.
 */
boost::asio::awaitable<void>
RenewListedLeases(WorkerAgent& aAgent, std::string aCell, Endpoint aWorker);

/** Returns the endpoint of the worker agent on a host. Thread safe. */
Endpoint
AgentEndpointOf(const HostRecord& aHost);

} // namespace sequoiakeel
