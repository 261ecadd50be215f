#pragma once

#include "HttpClient.h"
#include "WorkerAgent.h"

#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace sequoiakeel {

/** Calls worker agents over HTTP with JSON (docs/api.md, section Backend
 * servers). Thread safe. */
class HttpWorkerAgent : public WorkerAgent
{
public:
  /** A call that takes longer than aTimeout ends without an answer. */
  explicit HttpWorkerAgent(boost::asio::any_io_executor aExecutor,
                           Duration aTimeout = std::chrono::milliseconds(2000));

  boost::asio::awaitable<AgentStatusReply> Status(Endpoint aWorker) override;
  boost::asio::awaitable<AgentResult> GrantLease(
    Endpoint aWorker,
    std::string aLease,
    std::chrono::milliseconds aTtl) override;
  boost::asio::awaitable<AgentResult> RenewLease(
    Endpoint aWorker,
    std::string aLease,
    std::chrono::milliseconds aTtl) override;
  boost::asio::awaitable<AgentTaskReply> Start(Endpoint aWorker,
                                               StartTask aTask) override;
  boost::asio::awaitable<AgentTaskReply>
  MoveToLease(Endpoint aWorker, std::string aTask, std::string aLease) override;
  boost::asio::awaitable<AgentTaskReply> Checkpoint(Endpoint aWorker,
                                                    std::string aTask) override;
  boost::asio::awaitable<AgentTaskReply> Throttle(
    Endpoint aWorker,
    std::string aTask,
    std::uint32_t aPermille) override;
  boost::asio::awaitable<AgentTaskReply> Stop(Endpoint aWorker,
                                              std::string aTask) override;
  boost::asio::awaitable<AgentTaskReply> Acknowledge(
    Endpoint aWorker,
    std::string aTask) override;

private:
  std::shared_ptr<HttpClient> ClientOf(const Endpoint& aWorker);
  boost::asio::awaitable<ExchangeResult> Call(Endpoint aWorker,
                                              std::string aMethod,
                                              std::string aTarget,
                                              std::string aBody);
  boost::asio::awaitable<AgentTaskReply> CallTask(Endpoint aWorker,
                                                  std::string aMethod,
                                                  std::string aTarget,
                                                  std::string aBody);

  boost::asio::any_io_executor executor;
  Duration timeout;
  std::mutex mutex;
  std::map<std::pair<std::string, std::uint32_t>, std::shared_ptr<HttpClient>>
    clients;
};

} // namespace sequoiakeel
