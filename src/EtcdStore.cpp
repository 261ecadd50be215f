#include "EtcdStore.h"

#include "Base64.h"
#include "BoundedJson.h"
#include "Error.h"
#include "Log.h"

#include <charconv>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/** Longest time to live that is accepted from a reply; longer ones would
 * overflow the clock. */
constexpr std::uint64_t kMaxTtlSeconds = 365 * 24 * 3600;

/** Returns an integer member, or 0 if the member is missing. etcd encodes
 * 64-bit integers as JSON strings; JSON numbers are accepted too. Throws
 * UserError if the member is no integer in the range of the type. */
std::uint64_t
ReadInteger(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_unsigned()) {
    return found->get<std::uint64_t>();
  }
  UserAssert(found->is_string(), std::string(aKey) + " is no integer");
  const auto& text = found->get_ref<const std::string&>();
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  UserAssert(!text.empty() && parsed.ec == std::errc() && parsed.ptr == end,
             std::string(aKey) + " is no integer");
  return value;
}

std::chrono::seconds
ReadTtl(const json& aObject)
{
  const std::uint64_t seconds = ReadInteger(aObject, "TTL");
  UserAssert(seconds <= kMaxTtlSeconds, "TTL is out of range");
  return std::chrono::seconds(seconds);
}

/** Decodes the body of a reply with aDecode, which may throw. Returns false if
 * the body is malformed or nested too deeply. */
template<typename Decode>
bool
DecodeReply(const std::string& aBody, Decode aDecode)
{
  const auto answer = ParseJson(aBody);
  try {
    UserAssert(answer && answer->is_object(), "the reply is no object");
    aDecode(*answer);
    return true;
  } catch (const std::exception& error) {
    Event("store_answer_unreadable", LogLevel::Warning)
      .Add("bytes", static_cast<std::uint64_t>(aBody.size()))
      .Add("error", error.what());
    return false;
  }
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
  return this->client.Call(std::move(request),
                           TransferTimeout::Silence(this->timeout));
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
  const bool decoded =
    DecodeReply(exchange.response.body, [&reply](const json& aAnswer) {
      const auto pairs = aAnswer.find("kvs");
      if (pairs == aAnswer.end()) {
        return;
      }
      for (const json& pair : *pairs) {
        StoreValue value;
        value.key = Base64Decode(pair.value("key", "")).value_or("");
        value.value = Base64Decode(pair.value("value", "")).value_or("");
        value.version = ReadInteger(pair, "mod_revision");
        reply.values.push_back(std::move(value));
      }
    });
  if (!decoded) {
    reply.values.clear();
    co_return reply;
  }
  reply.result = StoreResult::Ok;
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
  if (exchange.response.status != 200) {
    reply.result = ResultOfStatus(exchange.response.status);
    co_return reply;
  }
  bool succeeded = false;
  const bool decoded =
    DecodeReply(exchange.response.body, [&](const json& aAnswer) {
      succeeded = aAnswer.value("succeeded", false);
      const auto header = aAnswer.find("header");
      if (succeeded && header != aAnswer.end()) {
        reply.version = ReadInteger(*header, "revision");
      }
    });
  if (!decoded) {
    // The transaction may have taken effect.
    reply.result = StoreResult::Unknown;
    co_return reply;
  }
  reply.result = succeeded ? StoreResult::Ok : StoreResult::Conflict;
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
  if (!exchange.Complete() || exchange.response.status != 200) {
    reply.result = exchange.Complete()
                     ? ResultOfStatus(exchange.response.status)
                     : FailureOf(exchange);
    co_return reply;
  }
  const bool decoded =
    DecodeReply(exchange.response.body, [&reply](const json& aAnswer) {
      reply.lease = ReadInteger(aAnswer, "ID");
      reply.ttl = ReadTtl(aAnswer);
    });
  reply.result = decoded ? StoreResult::Ok : StoreResult::Unknown;
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
EtcdStore::RenewLease(std::uint64_t aLease)
{
  const json body{ { "ID", std::to_string(aLease) } };
  const ExchangeResult exchange =
    co_await this->Post("/v3/lease/keepalive", body.dump());
  StoreLeaseReply reply;
  if (!exchange.Complete() || exchange.response.status != 200) {
    reply.result = exchange.Complete()
                     ? ResultOfStatus(exchange.response.status)
                     : FailureOf(exchange);
    co_return reply;
  }
  reply.lease = aLease;
  const bool decoded =
    DecodeReply(exchange.response.body, [&reply](const json& aAnswer) {
      const auto result = aAnswer.find("result");
      if (result != aAnswer.end()) {
        reply.ttl = ReadTtl(*result);
      }
    });
  if (!decoded) {
    reply.result = StoreResult::Unknown;
    co_return reply;
  }
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
