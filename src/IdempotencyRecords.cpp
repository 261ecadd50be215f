#include "IdempotencyRecords.h"

#include "Base64.h"
#include "Error.h"
#include "Log.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;
using nlohmann::json;

namespace {

constexpr std::chrono::hours kLeaseTtl{ 25 };
constexpr std::chrono::hours kLeaseAge{ 1 };
constexpr Duration kClaimPause = std::chrono::milliseconds(50);
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kMaxPause = std::chrono::seconds(5);
/** Maximum number of attempts to write one record in the background during an
 * outage of the store; they take about five minutes. */
constexpr int kMaxWrites = 60;
/** Number of concurrent background writes above which a failed one is not
 * retried. */
constexpr std::size_t kMaxPending = 1024;

std::string
HashText(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

json
KeyToJson(const IdempotencyKey& aKey)
{
  // A key can contain any byte allowed in a header field, also bytes that are
  // not valid in JSON text, so it is encoded as Base64.
  return json::array({ Base64Encode(aKey.team),
                       Base64Encode(aKey.service),
                       Base64Encode(aKey.key) });
}

json
HeadOf(const Claim& aClaim, std::string_view aState)
{
  return json{ { "state", aState },
               { "key", KeyToJson(aClaim.key) },
               { "request_id", aClaim.requestId },
               { "fingerprint", aClaim.fingerprint },
               { "job_id", aClaim.jobId } };
}

std::string
DoneText(const Claim& aClaim, const HttpResponse& aResponse)
{
  if (aResponse.body.size() > kMaxKeptResponseBytes) {
    return HeadOf(aClaim, "not-kept").dump();
  }
  json record = HeadOf(aClaim, "done");
  record["status"] = aResponse.status;
  record["headers"] = json::array();
  for (const HttpHeader& field : aResponse.headers.All()) {
    record["headers"].push_back(
      json::array({ Base64Encode(field.name), Base64Encode(field.value) }));
  }
  record["body"] = Base64Encode(aResponse.body);
  return record.dump();
}

std::string
DecodedAt(const json& aText)
{
  const std::optional<std::string> bytes =
    Base64Decode(aText.get_ref<const std::string&>());
  InternalAssert(bytes.has_value(), "malformed base64 in a request record");
  return *bytes;
}

HttpResponse
ResponseOf(const json& aRecord)
{
  HttpResponse response;
  response.status = aRecord.at("status").get<unsigned>();
  for (const json& field : aRecord.at("headers")) {
    response.headers.Add(DecodedAt(field.at(0)), DecodedAt(field.at(1)));
  }
  response.body = DecodedAt(aRecord.at("body"));
  return response;
}

} // namespace

std::string
FingerprintOf(std::string_view aBody)
{
  return HashText(aBody);
}

std::string
RecordKey(const IdempotencyKey& aKey)
{
  const std::string parts = std::to_string(aKey.team.size()) + ":" + aKey.team +
                            std::to_string(aKey.service.size()) + ":" +
                            aKey.service + aKey.key;
  return "requests/" + HashText(parts);
}

IdempotencyRecords::IdempotencyRecords(asio::any_io_executor aExecutor,
                                       KeyValueStore& aStore,
                                       const Clock& aClock,
                                       std::string aName,
                                       std::uint64_t aIncarnation,
                                       IsAlive aIsAlive)
  : executor(std::move(aExecutor))
  , store(&aStore)
  , clock(&aClock)
  , name(std::move(aName))
  , incarnation(aIncarnation)
  , isAlive(std::move(aIsAlive))
{
}

asio::awaitable<std::uint64_t>
IdempotencyRecords::HourlyLease()
{
  const TimePoint sent = this->clock->Now();
  {
    const std::lock_guard lock(this->mutex);
    if (this->lease != kNoLease && sent - this->leaseGranted < kLeaseAge) {
      co_return this->lease;
    }
  }
  const StoreLeaseReply reply = co_await this->store->GrantLease(kLeaseTtl);
  if (reply.result != StoreResult::Ok) {
    co_return kNoLease;
  }
  // Two requests may obtain a lease at the same time; either one lasts long
  // enough, so the last one is kept.
  const std::lock_guard lock(this->mutex);
  this->lease = reply.lease;
  this->leaseGranted = sent;
  co_return reply.lease;
}

void
IdempotencyRecords::DropLease(std::uint64_t aLease)
{
  const std::lock_guard lock(this->mutex);
  if (this->lease == aLease) {
    this->lease = kNoLease;
  }
}

std::string
IdempotencyRecords::ClaimText(const Claim& aClaim) const
{
  json record = HeadOf(aClaim, "claimed");
  record["entry"] = this->name;
  record["incarnation"] = this->incarnation;
  return record.dump();
}

Claim
IdempotencyRecords::EvaluateRecord(Claim aClaim, const StoreValue& aValue) const
{
  const json record = json::parse(aValue.value);
  if (record.at("key") != KeyToJson(aClaim.key) ||
      record.at("fingerprint") != aClaim.fingerprint) {
    aClaim.state = ClaimState::Reused;
    return aClaim;
  }
  const std::string state = record.at("state").get<std::string>();
  if (state == "claimed" && record.at("request_id") == aClaim.requestId) {
    // This request wrote the claim, but the reply of the store was lost.
    aClaim.state = ClaimState::Claimed;
    aClaim.version = aValue.version;
    return aClaim;
  }
  aClaim.jobId = record.at("job_id").get<std::string>();
  if (state == "done") {
    aClaim.state = ClaimState::Replay;
    aClaim.response = ResponseOf(record);
    return aClaim;
  }
  if (state == "claimed") {
    const bool alive =
      this->isAlive(record.at("entry").get_ref<const std::string&>(),
                    record.at("incarnation").get<std::uint64_t>());
    aClaim.state = alive ? ClaimState::InProgress : ClaimState::Unknown;
    return aClaim;
  }
  aClaim.state =
    state == "not-kept" ? ClaimState::NotKept : ClaimState::Unknown;
  return aClaim;
}

asio::awaitable<Claim>
IdempotencyRecords::Resolve(Claim aClaim)
{
  const StoreReadReply reply = co_await this->store->Get(aClaim.recordKey);
  aClaim.state = ClaimState::StoreUnavailable;
  if (reply.result != StoreResult::Ok) {
    co_return aClaim;
  }
  if (reply.values.empty()) {
    // The record has expired or was withdrawn since the conflict, or the store
    // lease no longer exists. A new lease is granted in case it was the lease.
    this->DropLease(aClaim.lease);
    co_return aClaim;
  }
  try {
    aClaim = this->EvaluateRecord(aClaim, reply.values.front());
  } catch (const std::exception& error) {
    Event("request_record_unreadable", LogLevel::Error)
      .Add("key", aClaim.recordKey)
      .Add("error", error.what());
    aClaim.state = ClaimState::Unknown;
  }
  co_return aClaim;
}

asio::awaitable<Claim>
IdempotencyRecords::Acquire(ClaimRequest aRequest)
{
  const std::shared_ptr<IdempotencyRecords> self = this->shared_from_this();
  Claim claim;
  claim.key = std::move(aRequest.key);
  claim.recordKey = RecordKey(claim.key);
  claim.requestId = std::move(aRequest.requestId);
  claim.fingerprint = std::move(aRequest.fingerprint);
  claim.jobId = std::move(aRequest.jobId);
  const std::string text = this->ClaimText(claim);
  bool unresolved = false;
  asio::steady_timer timer(this->executor);
  while (this->clock->Now() < aRequest.deadline) {
    claim.lease = co_await this->HourlyLease();
    if (claim.lease == kNoLease) {
      break;
    }
    const StoreWriteReply reply = co_await this->store->CompareAndSwap(
      claim.recordKey, kAbsentVersion, text, claim.lease);
    if (reply.result == StoreResult::Ok) {
      claim.state = ClaimState::Claimed;
      claim.version = reply.version;
      co_return claim;
    }
    if (reply.result == StoreResult::Unavailable && !unresolved) {
      break;
    }
    unresolved = unresolved || reply.result == StoreResult::Unknown;
    if (reply.result == StoreResult::Conflict) {
      Claim found = co_await this->Resolve(claim);
      if (found.state != ClaimState::StoreUnavailable) {
        co_return found;
      }
    }
    timer.expires_after(kClaimPause);
    co_await timer.async_wait(use_awaitable);
  }
  if (unresolved) {
    // The write of the claim may have taken effect or may still do so.
    this->Withdraw(claim);
  }
  claim.state = ClaimState::StoreUnavailable;
  co_return claim;
}

void
IdempotencyRecords::Spawn(asio::awaitable<void> aWork)
{
  ++this->pending;
  asio::co_spawn(
    this->executor,
    std::move(aWork),
    [self = this->shared_from_this()](const std::exception_ptr& aError) {
      --self->pending;
      if (aError) {
        Event("request_record_write_failed", LogLevel::Error);
      }
    });
}

void
IdempotencyRecords::Complete(Claim aClaim, HttpResponse aResponse)
{
  std::string text = DoneText(aClaim, aResponse);
  this->Spawn(this->WriteUntilKnown(std::move(aClaim), std::move(text)));
}

void
IdempotencyRecords::CompleteUnknown(Claim aClaim)
{
  std::string text = HeadOf(aClaim, "unknown").dump();
  this->Spawn(this->WriteUntilKnown(std::move(aClaim), std::move(text)));
}

void
IdempotencyRecords::Withdraw(Claim aClaim)
{
  this->Spawn(this->WithdrawUntilKnown(std::move(aClaim)));
}

asio::awaitable<void>
IdempotencyRecords::WriteUntilKnown(Claim aClaim, std::string aText)
{
  const std::shared_ptr<IdempotencyRecords> self = this->shared_from_this();
  asio::steady_timer timer(this->executor);
  Duration pause = kFirstPause;
  for (int writes = 0; writes < kMaxWrites; ++writes) {
    const StoreWriteReply reply = co_await this->store->CompareAndSwap(
      aClaim.recordKey, aClaim.version, aText, aClaim.lease);
    // Conflict means that an earlier attempt took effect or the record expired.
    if (reply.result == StoreResult::Ok ||
        reply.result == StoreResult::Conflict) {
      co_return;
    }
    if (this->pending > kMaxPending) {
      break;
    }
    timer.expires_after(pause);
    co_await timer.async_wait(use_awaitable);
    pause = std::min(pause * 2, kMaxPause);
  }
  Event("request_record_not_written", LogLevel::Warning)
    .Add("key", aClaim.recordKey)
    .Add("request_id", aClaim.requestId);
}

asio::awaitable<void>
IdempotencyRecords::WithdrawUntilKnown(Claim aClaim)
{
  const std::shared_ptr<IdempotencyRecords> self = this->shared_from_this();
  asio::steady_timer timer(this->executor);
  Duration pause = kFirstPause;
  for (int writes = 0; writes < kMaxWrites; ++writes) {
    const bool known = aClaim.version != kAbsentVersion;
    if (!known) {
      Claim found = co_await this->Resolve(aClaim);
      if (found.state == ClaimState::Claimed) {
        aClaim.version = found.version;
      } else if (found.state != ClaimState::StoreUnavailable) {
        co_return;
      }
    }
    if (aClaim.version != kAbsentVersion) {
      const StoreWriteReply reply = co_await this->store->CompareAndDelete(
        aClaim.recordKey, aClaim.version);
      if (reply.result == StoreResult::Ok ||
          reply.result == StoreResult::Conflict) {
        co_return;
      }
    }
    if (this->pending > kMaxPending) {
      break;
    }
    timer.expires_after(pause);
    co_await timer.async_wait(use_awaitable);
    pause = std::min(pause * 2, kMaxPause);
  }
  Event("request_claim_not_withdrawn", LogLevel::Warning)
    .Add("key", aClaim.recordKey)
    .Add("request_id", aClaim.requestId);
}

} // namespace sequoiakeel
