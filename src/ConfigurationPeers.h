#pragma once

#include "ConfigurationAgent.h"
#include "PeerRpc.h"

namespace sequoiakeel {

/** Returns a function that sends FetchConfiguration requests through aClient,
 * which must outlive the function. Thread safe. */
FetchFromPeer
FetchOverRpc(PeerClient& aClient);

/** Registers a handler that answers FetchConfiguration requests with the
 * configuration of aAgent, which must outlive aServer. Precondition: aServer
 * was not started. */
void
ServeConfiguration(PeerServer& aServer, const ConfigurationAgent& aAgent);

} // namespace sequoiakeel
