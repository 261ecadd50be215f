#include "EtcdStore.h"

#include "Base64.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/** Returns an integer member, or 0 if the member is missing. etcd encodes
 * 64-bit integers as JSON strings; JSON numbers are accepted too. */
std::uint64_t
ReadInteger(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return 0;
  }
  return found->is_string() ? std::stoull(found->get<std::string>())
                            : found->get<std::uint64_t>();
}

/** Returns the exclusive end of the range of keys that start with aPrefix: the
 * prefix without trailing 0xff bytes, with its last byte incremented. If no
 * byte remains, returns a zero byte, which etcd reads as an unbounded range. */
std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty() &&
         static_cast<unsigned char>(aPrefix.back()) == 0xff) {
    aPrefix.pop_back();
  }
  if (aPrefix.empty()) {
    return std::string(1, '\0');
  }
  ++aPrefix.back();
  return aPrefix;
}

json
CompareVersion(const std::string& aKey, std::uint64_t aExpected)
{
  return json{ { "key", Base64Encode(aKey) },
               { "target", "MOD" },
               { "result", "EQUAL" },
               { "mod_revision", std::to_string(aExpected) } };
}

/** Returns the result of a call that received no complete response. */
StoreResult
FailureOf(const ExchangeResult& aExchange)
{
  return aExchange.progress == ExchangeProgress::NotSent
           ? StoreResult::Unavailable
           : StoreResult::Unknown;
}

/** Returns the result of a call whose complete response reports no success. A
 * server error, including 503, leaves open whether the call took effect: etcd
 * also answers 503 if it loses its leader after accepting the call. */
StoreResult
ResultOfStatus(unsigned aStatus)
{
  return aStatus == 400 || aStatus == 404 ? StoreResult::Unavailable
                                          : StoreResult::Unknown;
}

} // namespace

EtcdStore::EtcdStore(asio::any_io_executor aExecutor,
                     Endpoint aEndpoint,
                     Duration aTimeout)
  : client(std::move(aExecutor), std::move(aEndpoint))
  , timeout(aTimeout)
{
}

asio::awaitable<ExchangeResult>
EtcdStore::Post(std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.headers.Set("Content-Type", "application/json");
  request.body = std::move(aBody);
  return this->client.Call(std::move(request), this->timeout);
}

asio::awaitable<StoreReadReply>
EtcdStore::Read(std::string aBody)
{
  const ExchangeResult exchange =
    co_await this->Post("/v3/kv/range", std::move(aBody));
  StoreReadReply reply;
  if (!exchange.Complete() || exchange.response.status != 200) {
    co_return reply;
  }
  const json answer = json::parse(exchange.response.body, nullptr, false);
  if (!answer.is_object()) {
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  for (const json& pair : answer.value("kvs", json::array())) {
    StoreValue value;
    value.key = Base64Decode(pair.value("key", "")).value_or("");
    value.value = Base64Decode(pair.value("value", "")).value_or("");
    value.version = ReadInteger(pair, "mod_revision");
    reply.values.push_back(std::move(value));
  }
  co_return reply;
}

asio::awaitable<StoreReadReply>
EtcdStore::Get(std::string aKey)
{
  const json body{ { "key", Base64Encode(aKey) } };
  return this->Read(body.dump());
}

asio::awaitable<StoreReadReply>
EtcdStore::GetVersion(std::string aKey)
{
  const json body{ { "key", Base64Encode(aKey) }, { "keys_only", true } };
  return this->Read(body.dump());
}

asio::awaitable<StoreReadReply>
EtcdStore::Range(std::string aPrefix)
{
  const json body{ { "key", Base64Encode(aPrefix) },
                   { "range_end", Base64Encode(PrefixEnd(aPrefix)) } };
  return this->Read(body.dump());
}

asio::awaitable<StoreWriteReply>
EtcdStore::Transaction(std::string aBody)
{
  const ExchangeResult exchange =
    co_await this->Post("/v3/kv/txn", std::move(aBody));
  StoreWriteReply reply;
  if (!exchange.Complete()) {
    reply.result = FailureOf(exchange);
    co_return reply;
  }
  const json answer = json::parse(exchange.response.body, nullptr, false);
  if (exchange.response.status != 200 || !answer.is_object()) {
    reply.result = ResultOfStatus(exchange.response.status);
    co_return reply;
  }
  if (!answer.value("succeeded", false)) {
    reply.result = StoreResult::Conflict;
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  reply.version =
    ReadInteger(answer.value("header", json::object()), "revision");
  co_return reply;
}

asio::awaitable<StoreWriteReply>
EtcdStore::CompareAndSwap(std::string aKey,
                          std::uint64_t aExpected,
                          std::string aValue,
                          std::uint64_t aLease)
{
  json put{ { "key", Base64Encode(aKey) }, { "value", Base64Encode(aValue) } };
  if (aLease != kNoLease) {
    put["lease"] = std::to_string(aLease);
  }
  const json body{
    { "compare", json::array({ CompareVersion(aKey, aExpected) }) },
    { "success", json::array({ json{ { "request_put", std::move(put) } } }) }
  };
  return this->Transaction(body.dump());
}

asio::awaitable<StoreWriteReply>
EtcdStore::CompareAndDelete(std::string aKey, std::uint64_t aExpected)
{
  const json remove{ { "key", Base64Encode(aKey) } };
  const json body{
    { "compare", json::array({ CompareVersion(aKey, aExpected) }) },
    { "success", json::array({ json{ { "request_delete_range", remove } } }) }
  };
  return this->Transaction(body.dump());
}

asio::awaitable<StoreLeaseReply>
EtcdStore::GrantLease(std::chrono::seconds aTtl)
{
  const json body{ { "TTL", std::to_string(aTtl.count()) } };
  const ExchangeResult exchange =
    co_await this->Post("/v3/lease/grant", body.dump());
  StoreLeaseReply reply;
  const json answer = json::parse(exchange.response.body, nullptr, false);
  if (!exchange.Complete() || exchange.response.status != 200 ||
      !answer.is_object()) {
    reply.result = exchange.Complete()
                     ? ResultOfStatus(exchange.response.status)
                     : FailureOf(exchange);
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  reply.lease = ReadInteger(answer, "ID");
  reply.ttl = std::chrono::seconds(ReadInteger(answer, "TTL"));
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
EtcdStore::RenewLease(std::uint64_t aLease)
{
  const json body{ { "ID", std::to_string(aLease) } };
  const ExchangeResult exchange =
    co_await this->Post("/v3/lease/keepalive", body.dump());
  StoreLeaseReply reply;
  const json answer = json::parse(exchange.response.body, nullptr, false);
  if (!exchange.Complete() || exchange.response.status != 200 ||
      !answer.is_object()) {
    reply.result = exchange.Complete()
                     ? ResultOfStatus(exchange.response.status)
                     : FailureOf(exchange);
    co_return reply;
  }
  const json result = answer.value("result", json::object());
  reply.lease = aLease;
  reply.ttl = std::chrono::seconds(ReadInteger(result, "TTL"));
  // etcd reports an expired lease with a TTL of zero or with no TTL.
  reply.result =
    reply.ttl.count() > 0 ? StoreResult::Ok : StoreResult::Conflict;
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
EtcdStore::RevokeLease(std::uint64_t aLease)
{
  const json body{ { "ID", std::to_string(aLease) } };
  const ExchangeResult exchange =
    co_await this->Post("/v3/lease/revoke", body.dump());
  StoreLeaseReply reply;
  reply.lease = aLease;
  if (!exchange.Complete()) {
    reply.result = FailureOf(exchange);
    co_return reply;
  }
  reply.result = exchange.response.status == 200
                   ? StoreResult::Ok
                   : ResultOfStatus(exchange.response.status);
  co_return reply;
}

} // namespace sequoiakeel
