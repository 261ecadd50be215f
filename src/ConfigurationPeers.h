#pragma once

#include "ConfigurationAgent.h"
#include "PeerRpc.h"

namespace sequoiakeel {

/** Returns a function that sends FetchConfiguration over aClient, which must
 * outlive it. Thread safe. */
FetchFromPeer
FetchOverRpc(PeerClient& aClient);

/** Answers FetchConfiguration with what aAgent has; aAgent must outlive
 * aServer. Precondition: the server was not started. */
void
ServeConfiguration(PeerServer& aServer, const ConfigurationAgent& aAgent);

} // namespace sequoiakeel
