#include "LeavingHosts.h"

#include <algorithm>
#include <xxhash.h>

namespace sequoiakeel {

namespace {

/** Prefixes of the keys of evidence. */
constexpr char kListKey = 'l';
constexpr char kReportKey = 'r';

/** Withdrawals are kept and sent to peers for this long. This is longer than a
 * partition of an hour, after which a peer would otherwise keep evidence that
 * was withdrawn in the meantime. */
constexpr std::chrono::hours kWithdrawalLifetime{ 2 };

/** A report is forwarded as a renewal if it is newer than the known one by at
 * least this time. With a third of the lifetime, two renewals may be lost
 * before the report expires. */
constexpr Duration kRenewalStep = kReportLifetime / 3;

/** Evidence learned within this time is preferred for a peer whose digest
 * differs, since it is the most likely to be missing there. */
constexpr std::chrono::seconds kRecentAge{ 10 };

/** Maximum number of hosts in the host list's evidence and in the reports,
 * each; bounds the memory that forged evidence can occupy. A fleet has 5,600
 * workers. */
constexpr std::size_t kMaxHosts = 8192;

/** Encoded size in bytes of one item of evidence without the host name. */
constexpr std::size_t kEvidenceBytes = 21;

std::uint32_t
ToMilliseconds(Duration aAge)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aAge);
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX));
}

} // namespace

LeavingHosts::LeavingHosts(const Clock& aClock)
  : clock(&aClock)
{
}

bool
LeavingHosts::SetHostList(std::uint64_t aRevision,
                          std::span<const std::string> aLeaving)
{
  if (aRevision < this->listRevision) {
    return false;
  }
  this->listRevision = aRevision;
  const std::set<std::string, std::less<>> named(aLeaving.begin(),
                                                 aLeaving.end());
  bool isNew = false;
  for (const std::string& host : named) {
    isNew |= this->SetListed(host, aRevision, true, Duration(0));
  }
  std::vector<std::string> withdrawn;
  for (const auto& [host, entry] : this->listed) {
    if (entry.leaving && !named.contains(host)) {
      withdrawn.push_back(host);
    }
  }
  for (const std::string& host : withdrawn) {
    isNew |= this->SetListed(host, aRevision, false, Duration(0));
  }
  return isNew;
}

void
LeavingHosts::SetDocument(std::span<const std::string> aLeaving)
{
  this->documentHosts.clear();
  this->documentHosts.insert(aLeaving.begin(), aLeaving.end());
}

bool
LeavingHosts::ReportRefusal(std::string_view aHost)
{
  return this->SetReported(std::string(aHost), Duration(0));
}

bool
LeavingHosts::Merge(const LeavingEvidence& aEvidence)
{
  const std::chrono::milliseconds age(aEvidence.ageMs);
  if (aEvidence.listRevision > 0) {
    return this->SetListed(
      aEvidence.host, aEvidence.listRevision, !aEvidence.withdrawn, age);
  }
  return !aEvidence.withdrawn && this->SetReported(aEvidence.host, age);
}

bool
LeavingHosts::SetListed(const std::string& aHost,
                        std::uint64_t aRevision,
                        bool aLeaving,
                        Duration aAge)
{
  const auto found = this->listed.find(aHost);
  if (found == this->listed.end() && this->listed.size() >= kMaxHosts) {
    return false;
  }
  ListEntry& entry = this->listed[aHost];
  if (aRevision < entry.revision) {
    return false;
  }
  const bool isNew = entry.revision == 0 || entry.leaving != aLeaving;
  entry.revision = aRevision;
  if (!isNew) {
    return false;
  }
  entry.leaving = aLeaving;
  entry.learnedAt = this->clock->Now();
  entry.changedAt = entry.learnedAt - aAge;
  this->QueueFirst(kListKey + aHost);
  return true;
}

bool
LeavingHosts::SetReported(const std::string& aHost, Duration aAge)
{
  if (aAge >= kReportLifetime) {
    return false;
  }
  const TimePoint now = this->clock->Now();
  const TimePoint made = now - aAge;
  const auto found = this->reported.find(aHost);
  if (found == this->reported.end()) {
    if (this->reported.size() >= kMaxHosts) {
      return false;
    }
    this->reported.emplace(aHost, Report{ made, now });
    this->QueueFirst(kReportKey + aHost);
    return true;
  }
  Report& report = found->second;
  const bool isNew = made - report.reportedAt >= kRenewalStep;
  report.reportedAt = std::max(report.reportedAt, made);
  if (isNew) {
    report.learnedAt = now;
    this->QueueFirst(kReportKey + aHost);
  }
  return isNew;
}

void
LeavingHosts::QueueFirst(std::string aKey)
{
  const auto found = std::ranges::find(this->sendQueue, aKey);
  if (found != this->sendQueue.end()) {
    const auto position =
      static_cast<std::size_t>(found - this->sendQueue.begin());
    this->unsentCount -= position < this->unsentCount ? 1 : 0;
    this->sendQueue.erase(found);
  }
  this->sendQueue.push_front(std::move(aKey));
  ++this->unsentCount;
}

bool
LeavingHosts::IsLeaving(std::string_view aHost) const
{
  if (this->documentHosts.contains(aHost)) {
    return true;
  }
  const auto inList = this->listed.find(aHost);
  if (inList != this->listed.end() && inList->second.leaving) {
    return true;
  }
  const auto report = this->reported.find(aHost);
  return report != this->reported.end() && this->IsValid(report->second);
}

bool
LeavingHosts::IsValid(const Report& aReport) const
{
  return this->clock->Now() - aReport.reportedAt < kReportLifetime;
}

bool
LeavingHosts::IsRecent(std::string_view aKey) const
{
  const std::string_view host = aKey.substr(1);
  TimePoint learnedAt;
  if (aKey.front() == kReportKey) {
    const auto report = this->reported.find(host);
    learnedAt =
      report == this->reported.end() ? TimePoint() : report->second.learnedAt;
  } else {
    const auto entry = this->listed.find(host);
    learnedAt =
      entry == this->listed.end() ? TimePoint() : entry->second.learnedAt;
  }
  return this->clock->Now() - learnedAt <= kRecentAge;
}

std::uint32_t
LeavingHosts::Digest() const
{
  std::uint64_t digest = 0;
  const auto add = [&digest](char aKind, std::string_view aHost) {
    digest ^= XXH64(aHost.data(), aHost.size(), aKind);
  };
  for (const auto& [host, entry] : this->listed) {
    if (entry.leaving) {
      add(kListKey, host);
    }
  }
  for (const auto& [host, report] : this->reported) {
    if (this->IsValid(report)) {
      add(kReportKey, host);
    }
  }
  return static_cast<std::uint32_t>(digest);
}

std::vector<std::string>
LeavingHosts::All() const
{
  std::set<std::string, std::less<>> candidates = this->documentHosts;
  for (const auto& [host, entry] : this->listed) {
    candidates.insert(host);
  }
  for (const auto& [host, report] : this->reported) {
    candidates.insert(host);
  }
  std::vector<std::string> leaving;
  for (const std::string& host : candidates) {
    if (this->IsLeaving(host)) {
      leaving.push_back(host);
    }
  }
  return leaving;
}

std::optional<LeavingEvidence>
LeavingHosts::MakeEvidence(std::string_view aKey) const
{
  const std::string_view host = aKey.substr(1);
  LeavingEvidence evidence;
  evidence.host = host;
  if (aKey.front() == kReportKey) {
    const auto report = this->reported.find(host);
    if (report == this->reported.end() || !this->IsValid(report->second)) {
      return std::nullopt;
    }
    evidence.ageMs =
      ToMilliseconds(this->clock->Now() - report->second.reportedAt);
    return evidence;
  }
  const auto entry = this->listed.find(host);
  if (entry == this->listed.end()) {
    return std::nullopt;
  }
  evidence.ageMs = ToMilliseconds(this->clock->Now() - entry->second.changedAt);
  evidence.withdrawn = !entry->second.leaving;
  evidence.listRevision = entry->second.revision;
  return evidence;
}

std::vector<LeavingEvidence>
LeavingHosts::Next(std::size_t aCount, std::size_t aBytes)
{
  std::vector<LeavingEvidence> chosen;
  std::size_t space = aBytes;
  for (std::size_t left = this->sendQueue.size(); left > 0; --left) {
    if (chosen.size() == aCount) {
      break;
    }
    const std::size_t size =
      kEvidenceBytes + this->sendQueue.front().size() - 1;
    if (size > space) {
      break;
    }
    std::string key = std::move(this->sendQueue.front());
    this->sendQueue.pop_front();
    this->unsentCount -= this->unsentCount > 0 ? 1 : 0;
    std::optional<LeavingEvidence> evidence = this->MakeEvidence(key);
    if (!evidence) {
      continue;
    }
    space -= size;
    chosen.push_back(std::move(*evidence));
    this->sendQueue.push_back(std::move(key));
  }
  return chosen;
}

std::vector<LeavingEvidence>
LeavingHosts::NextUnsent(std::size_t aBytes)
{
  return this->Next(this->unsentCount, aBytes);
}

std::vector<LeavingEvidence>
LeavingHosts::NextRecent(std::size_t aBytes)
{
  // Moves recent evidence ahead of the older evidence that was sent before.
  // Next() then returns it and moves it to the end of the queue.
  const auto sent =
    this->sendQueue.begin() + static_cast<std::ptrdiff_t>(this->unsentCount);
  const auto older = std::stable_partition(
    sent, this->sendQueue.end(), [this](const auto& aKey) {
      return this->IsRecent(aKey);
    });
  const auto recent = static_cast<std::size_t>(older - this->sendQueue.begin());
  return this->Next(recent > 0 ? recent : this->sendQueue.size(), aBytes);
}

void
LeavingHosts::Tick()
{
  const TimePoint now = this->clock->Now();
  std::erase_if(this->reported, [this](const auto& aReport) {
    return !this->IsValid(aReport.second);
  });
  std::erase_if(this->listed, [now](const auto& aListed) {
    const ListEntry& entry = aListed.second;
    return !entry.leaving && now - entry.changedAt >= kWithdrawalLifetime;
  });
}

} // namespace sequoiakeel
