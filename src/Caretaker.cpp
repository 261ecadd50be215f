#include "Caretaker.h"

#include "CellKeys.h"
#include "RenewalGate.h"

namespace sequoiakeel {

namespace asio = boost::asio;

Endpoint
AgentEndpointOf(const HostRecord& aHost)
{
  Endpoint result;
  result.address = aHost.address;
  result.port = aHost.agentPort;
  return result;
}

asio::awaitable<void>
RenewListedLeases(WorkerAgent& aAgent, std::string aCell, Endpoint aWorker)
{
  const AgentStatusReply reply = co_await aAgent.Status(aWorker);
  if (reply.result != AgentResult::Ok) {
    co_return;
  }
  const std::string prefix = WorkerLeasePrefix(aCell);
  for (const WorkerLease& lease : reply.status.leases) {
    if (lease.id.starts_with(prefix)) {
      co_await aAgent.RenewLease(aWorker, lease.id, kWorkerLeaseTtl);
    }
  }
}

} // namespace sequoiakeel
