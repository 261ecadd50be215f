#include "SoakStore.h"

#include "AsyncSignal.h"
#include "Base64.h"
#include "WorkflowKeys.h"

namespace sequoiakeel::soak {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kSilence{ 3 };
constexpr std::chrono::milliseconds kSlowAnswer{ 300 };
constexpr int kLateMinMs = 1000;
constexpr int kLateSpreadMs = 3000;

/** Limit of the values in a page of a range. */
constexpr std::size_t kPageBytes = 1000000;

constexpr std::chrono::seconds kTimeout{ 1 };

nlohmann::json
ToWire(const StoreItem& aItem)
{
  if (aItem.deleted) {
    return { { "key", aItem.key },
             { "revision", aItem.revision },
             { "tombstone", true } };
  }
  return { { "key", aItem.key },
           { "value", Base64Encode(aItem.value) },
           { "revision", aItem.revision },
           { "created", aItem.created },
           { "lease", aItem.lease } };
}

nlohmann::json
ToWire(const std::vector<StoreItem>& aItems)
{
  nlohmann::json result = nlohmann::json::array();
  for (const StoreItem& item : aItems) {
    result.push_back(ToWire(item));
  }
  return result;
}

std::uint64_t
Number(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

/** A transaction may hold several values of the largest size. */
HttpServerLimits
Limits()
{
  HttpServerLimits limits;
  limits.maxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
  return limits;
}

} // namespace

SoakStore::SoakStore(asio::io_context& aContext, Random& aRandom)
  : context(aContext)
  , random(aRandom)
  , store(aContext.get_executor())
  , server(aContext,
           Endpoint{ "127.0.0.1", 0 },
           Limits(),
           [this](HttpRequest aRequest) {
             return this->Answer(std::move(aRequest));
           })
{
  this->server.Start();
}

void
SoakStore::RevokeOwner(std::uint32_t aCell)
{
  this->store.Remove(WorkflowKeys(aCell).Owner());
}

asio::awaitable<std::string>
SoakStore::OwnerOf(std::uint32_t aCell)
{
  const StoreRangeReply read =
    co_await this->store.Get(WorkflowKeys(aCell).Owner(), kTimeout);
  if (read.items.empty()) {
    co_return "";
  }
  co_return nlohmann::json::parse(read.items.front().value).at("node");
}

asio::awaitable<void>
SoakStore::Put(std::string aKey, std::string aValue)
{
  StoreTransaction change;
  change.puts.push_back({ std::move(aKey), std::move(aValue) });
  co_await this->store.Commit(std::move(change), kTimeout);
}

asio::awaitable<HttpResponse>
SoakStore::Answer(HttpRequest aRequest)
{
  const StoreFault present = this->fault;
  const asio::any_io_executor executor = this->context.get_executor();
  if (present == StoreFault::Busy) {
    co_return JsonResponse(503, "{}");
  }
  if (present == StoreFault::Silent) {
    co_await SleepFor(executor, kSilence);
    co_return JsonResponse(503, "{}");
  }
  if (present == StoreFault::Slow) {
    co_await SleepFor(executor, kSlowAnswer);
  }
  const bool hit = DrawIndex(this->random, 3) == 0 && aRequest.method == "POST";
  if (present == StoreFault::Late && hit) {
    co_await SleepFor(executor,
                      std::chrono::milliseconds(
                        kLateMinMs + DrawIndex(this->random, kLateSpreadMs)));
  }
  HttpResponse response = co_await this->Execute(std::move(aRequest));
  if (present == StoreFault::LostResponses && hit) {
    co_await SleepFor(executor, kSilence);
  }
  co_return response;
}

asio::awaitable<HttpResponse>
SoakStore::Execute(HttpRequest aRequest)
{
  const std::string path(TargetPath(aRequest.target));
  const bool rejected =
    !this->rejectedKey.empty() &&
    (QueryParameter(aRequest.target, "key") == this->rejectedKey ||
     QueryParameter(aRequest.target, "prefix") == this->rejectedKey);
  if (rejected) {
    co_return JsonResponse(503, "{}");
  }
  if (path == "/-/kv-key") {
    const StoreRangeReply read = co_await this->store.Get(
      QueryParameter(aRequest.target, "key"), kTimeout);
    nlohmann::json body = read.items.empty() ? nlohmann::json::object()
                                             : ToWire(read.items.front());
    body["currentRev"] = read.revision;
    co_return JsonResponse(read.items.empty() ? 404 : 200, body.dump());
  }
  if (path == "/-/kv-range") {
    co_return co_await this->Range(std::move(aRequest));
  }
  if (path == "/-/kv-watch") {
    co_return co_await this->Watch(std::move(aRequest));
  }
  if (path == "/-/kv-txn") {
    co_return co_await this->Commit(nlohmann::json::parse(aRequest.body));
  }
  const std::vector<std::string> parts = PathSegments(aRequest.target);
  StoreLeaseReply lease;
  if (path == "/-/kv-lease") {
    const auto body = nlohmann::json::parse(aRequest.body);
    lease = co_await this->store.GrantLease(
      std::chrono::milliseconds(body.at("ttlMs").get<std::int64_t>()),
      kTimeout);
  } else if (path.starts_with("/-/kv-keep/")) {
    lease = co_await this->store.RenewLease(Number(parts.back()), kTimeout);
  } else if (path.starts_with("/-/kv-lease-end/")) {
    lease = co_await this->store.EndLease(Number(parts.back()), kTimeout);
  }
  const nlohmann::json body{ { "lease", lease.lease },
                             { "ttlMs", lease.ttl.count() } };
  co_return JsonResponse(lease.result == StoreResult::Ok ? 200 : 404,
                         body.dump());
}

asio::awaitable<HttpResponse>
SoakStore::Range(HttpRequest aRequest)
{
  const StorePage read =
    co_await this->store.ReadPage(QueryParameter(aRequest.target, "prefix"),
                                  QueryParameter(aRequest.target, "after"),
                                  ReadFreshness::Linearizable,
                                  kTimeout);
  nlohmann::json items = nlohmann::json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (const StoreItem& item : read.items) {
    bytes += item.value.size();
    more =
      items.size() == this->pageItems || (!items.empty() && bytes > kPageBytes);
    if (more) {
      break;
    }
    items.push_back(ToWire(item));
  }
  const nlohmann::json body{ { "items", items },
                             { "hasMore", more },
                             { "currentRev", read.revision } };
  co_return JsonResponse(200, body.dump());
}

asio::awaitable<HttpResponse>
SoakStore::Watch(HttpRequest aRequest)
{
  const StoreWatchReply watched =
    co_await this->store.Watch(QueryParameter(aRequest.target, "prefix"),
                               Number(QueryParameter(aRequest.target, "after")),
                               std::chrono::milliseconds(Number(
                                 QueryParameter(aRequest.target, "waitMs"))));
  if (watched.compacted) {
    co_return JsonResponse(410, "{}");
  }
  const nlohmann::json body{ { "events", ToWire(watched.events) },
                             { "currentRev", watched.revision } };
  co_return JsonResponse(200, body.dump());
}

asio::awaitable<HttpResponse>
SoakStore::Commit(nlohmann::json aBody)
{
  StoreTransaction change;
  for (const nlohmann::json& row : aBody.at("expect")) {
    change.expect.push_back(
      { row.at("key"), row.at("revision").get<std::uint64_t>() });
  }
  for (const nlohmann::json& row : aBody.at("puts")) {
    const std::string value = row.at("value");
    change.puts.push_back({ row.at("key"),
                            Base64Decode(value).value_or(""),
                            row.value<std::uint64_t>("lease", kNoLease) });
  }
  change.removes = aBody.at("remove").get<std::vector<std::string>>();
  const StoreTransactionReply reply =
    co_await this->store.Commit(std::move(change), kTimeout);
  if (reply.result == StoreResult::Conflict) {
    co_return JsonResponse(
      412, nlohmann::json{ { "items", ToWire(reply.current) } }.dump());
  }
  co_return JsonResponse(
    reply.result == StoreResult::Ok ? 200 : 400,
    nlohmann::json{ { "revision", reply.revision } }.dump());
}

} // namespace sequoiakeel::soak
