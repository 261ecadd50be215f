#include "HttpWorkerAgent.h"

#include "BoundedJson.h"
#include "Log.h"
#include "generated/PlatformJson.h"

#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/** Idle connections kept for each agent. There are two, so that the status can
 * be read while a slow call occupies the other connection. */
constexpr std::size_t kIdleConnections = 2;

AgentResult
ResultOf(const ExchangeResult& aExchange)
{
  if (!aExchange.Complete()) {
    return aExchange.progress == ExchangeProgress::NotSent
             ? AgentResult::NotSent
             : AgentResult::Unknown;
  }
  const unsigned status = aExchange.response.status;
  if (status >= 200 && status < 300) {
    return AgentResult::Ok;
  }
  if (status == 404) {
    return AgentResult::NotFound;
  }
  if (status == 409) {
    return AgentResult::Exists;
  }
  if (status == 400 || status == 412 || status == 503) {
    return AgentResult::Refused;
  }
  return AgentResult::Unknown;
}

/** Percent-encodes all characters but unreserved ones (RFC 3986), so that none
 * of them ends a path segment or a query value. */
std::string
Escape(const std::string& aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (std::isalnum(code) || character == '-' || character == '.' ||
        character == '_' || character == '~') {
      escaped += character;
      continue;
    }
    escaped += '%';
    escaped += kHexDigits[code >> 4];
    escaped += kHexDigits[code & 15];
  }
  return escaped;
}

std::string
TaskTarget(const std::string& aTask, const std::string& aSuffix)
{
  return "/v1/tasks/" + Escape(aTask) + aSuffix;
}

} // namespace

HttpWorkerAgent::HttpWorkerAgent(asio::any_io_executor aExecutor,
                                 Duration aTimeout)
  : executor(std::move(aExecutor))
  , timeout(aTimeout)
{
}

std::shared_ptr<HttpClient>
HttpWorkerAgent::ClientOf(const Endpoint& aWorker)
{
  const std::lock_guard lock(this->mutex);
  std::shared_ptr<HttpClient>& client =
    this->clients[{ aWorker.address, aWorker.port }];
  if (!client) {
    client =
      std::make_shared<HttpClient>(this->executor, aWorker, kIdleConnections);
  }
  return client;
}

asio::awaitable<ExchangeResult>
HttpWorkerAgent::Call(Endpoint aWorker,
                      std::string aMethod,
                      std::string aTarget,
                      std::string aBody)
{
  HttpRequest request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  request.headers.Set("Content-Type", "application/json");
  const std::shared_ptr<HttpClient> client = this->ClientOf(aWorker);
  ExchangeResult result = co_await client->Call(
    std::move(request), TransferTimeout::Silence(this->timeout));
  co_return result;
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::CallTask(Endpoint aWorker,
                          std::string aMethod,
                          std::string aTarget,
                          std::string aBody)
{
  const ExchangeResult exchange = co_await this->Call(
    aWorker, std::move(aMethod), std::move(aTarget), std::move(aBody));
  AgentTaskReply reply;
  reply.result = ResultOf(exchange);
  if (!exchange.Complete()) {
    reply.reason = exchange.error;
    co_return reply;
  }
  const auto answer = ParseJson(exchange.response.body);
  if (!answer || !answer->is_object()) {
    co_return reply;
  }
  try {
    reply.reason = answer->value("reason", "");
    reply.checkpoint = answer->value("checkpoint", "");
    FromString(answer->value("state", ""), reply.state);
  } catch (const json::exception& error) {
    Event("worker_reply_malformed", LogLevel::Warning)
      .Add("worker", aWorker.address)
      .Add("error", error.what());
    reply.result = AgentResult::Unknown;
  }
  co_return reply;
}

asio::awaitable<AgentStatusReply>
HttpWorkerAgent::Status(Endpoint aWorker)
{
  const ExchangeResult exchange =
    co_await this->Call(aWorker, "GET", "/v1/status", "");
  AgentStatusReply reply;
  reply.result = ResultOf(exchange);
  if (reply.result != AgentResult::Ok) {
    co_return reply;
  }
  try {
    reply.status = json::parse(exchange.response.body).get<WorkerStatus>();
  } catch (const std::exception& error) {
    Event("worker_status_malformed", LogLevel::Warning)
      .Add("worker", aWorker.address)
      .Add("error", error.what());
    reply.result = AgentResult::Unknown;
  }
  co_return reply;
}

asio::awaitable<AgentResult>
HttpWorkerAgent::GrantLease(Endpoint aWorker,
                            std::string aLease,
                            std::chrono::milliseconds aTtl)
{
  std::string target =
    "/v1/leases/" + Escape(aLease) + "?ttl_ms=" + std::to_string(aTtl.count());
  const ExchangeResult exchange =
    co_await this->Call(std::move(aWorker), "PUT", std::move(target), "");
  co_return ResultOf(exchange);
}

asio::awaitable<AgentResult>
HttpWorkerAgent::RenewLease(Endpoint aWorker,
                            std::string aLease,
                            std::chrono::milliseconds aTtl)
{
  std::string target = "/v1/leases/" + Escape(aLease) +
                       "/renew?ttl_ms=" + std::to_string(aTtl.count());
  const ExchangeResult exchange =
    co_await this->Call(std::move(aWorker), "POST", std::move(target), "");
  co_return ResultOf(exchange);
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::Start(Endpoint aWorker, StartTask aTask)
{
  std::string body =
    json(aTask).dump(-1, ' ', false, json::error_handler_t::replace);
  return this->CallTask(
    std::move(aWorker), "POST", "/v1/tasks", std::move(body));
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::MoveToLease(Endpoint aWorker,
                             std::string aTask,
                             std::string aLease)
{
  return this->CallTask(std::move(aWorker),
                        "PUT",
                        TaskTarget(aTask, "/lease?lease=" + Escape(aLease)),
                        "");
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::Checkpoint(Endpoint aWorker, std::string aTask)
{
  return this->CallTask(
    std::move(aWorker), "POST", TaskTarget(aTask, "/checkpoint"), "");
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::Throttle(Endpoint aWorker,
                          std::string aTask,
                          std::uint32_t aPermille)
{
  std::string suffix = "/throttle?permille=" + std::to_string(aPermille);
  return this->CallTask(
    std::move(aWorker), "POST", TaskTarget(aTask, suffix), "");
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::Stop(Endpoint aWorker, std::string aTask)
{
  return this->CallTask(
    std::move(aWorker), "POST", TaskTarget(aTask, "/stop"), "");
}

asio::awaitable<AgentTaskReply>
HttpWorkerAgent::Acknowledge(Endpoint aWorker, std::string aTask)
{
  return this->CallTask(
    std::move(aWorker), "POST", TaskTarget(aTask, "/acknowledge"), "");
}

} // namespace sequoiakeel
