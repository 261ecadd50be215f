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

/** Evidence learned within this time is the most likely to be missing at a
 * peer. */
constexpr std::chrono::seconds kRecently{ 10 };

/** Bounds the memory that forged evidence can occupy. A fleet has 5,600
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
  bool news = false;
  for (const std::string& host : named) {
    news |= this->SetListed(host, aRevision, true, Duration(0));
  }
  std::vector<std::string> withdrawn;
  for (const auto& [host, entry] : this->listed) {
    if (entry.leaving && !named.contains(host)) {
      withdrawn.push_back(host);
    }
  }
  for (const std::string& host : withdrawn) {
    news |= this->SetListed(host, aRevision, false, Duration(0));
  }
  return news;
}

void
LeavingHosts::SetDocument(std::span<const std::string> aLeaving)
{
  this->document.clear();
  this->document.insert(aLeaving.begin(), aLeaving.end());
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
  Listed& entry = this->listed[aHost];
  if (aRevision < entry.revision) {
    return false;
  }
  const bool news = entry.revision == 0 || entry.leaving != aLeaving;
  entry.revision = aRevision;
  if (!news) {
    return false;
  }
  entry.leaving = aLeaving;
  entry.learned = this->clock->Now();
  entry.since = entry.learned - aAge;
  this->PutFirst(kListKey + aHost);
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
    this->reported.emplace(aHost, Reported{ made, now });
    this->PutFirst(kReportKey + aHost);
    return true;
  }
  Reported& report = found->second;
  const bool news = made - report.made >= kRenewalStep;
  report.made = std::max(report.made, made);
  if (news) {
    report.learned = now;
    this->PutFirst(kReportKey + aHost);
  }
  return news;
}

void
LeavingHosts::PutFirst(std::string aKey)
{
  const auto found = std::ranges::find(this->turn, aKey);
  if (found != this->turn.end()) {
    const auto position = static_cast<std::size_t>(found - this->turn.begin());
    this->unsent -= position < this->unsent ? 1 : 0;
    this->turn.erase(found);
  }
  this->turn.push_front(std::move(aKey));
  ++this->unsent;
}

bool
LeavingHosts::IsLeaving(std::string_view aHost) const
{
  if (this->document.contains(aHost)) {
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
LeavingHosts::IsValid(const Reported& aReported) const
{
  return this->clock->Now() - aReported.made < kReportLifetime;
}

bool
LeavingHosts::IsRecent(std::string_view aKey) const
{
  const std::string_view host = aKey.substr(1);
  TimePoint learned;
  if (aKey.front() == kReportKey) {
    const auto report = this->reported.find(host);
    learned =
      report == this->reported.end() ? TimePoint() : report->second.learned;
  } else {
    const auto entry = this->listed.find(host);
    learned = entry == this->listed.end() ? TimePoint() : entry->second.learned;
  }
  return this->clock->Now() - learned <= kRecently;
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
  std::set<std::string, std::less<>> candidates = this->document;
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
LeavingHosts::Describe(std::string_view aKey) const
{
  const std::string_view host = aKey.substr(1);
  LeavingEvidence evidence;
  evidence.host = host;
  if (aKey.front() == kReportKey) {
    const auto report = this->reported.find(host);
    if (report == this->reported.end() || !this->IsValid(report->second)) {
      return std::nullopt;
    }
    evidence.ageMs = ToMilliseconds(this->clock->Now() - report->second.made);
    return evidence;
  }
  const auto entry = this->listed.find(host);
  if (entry == this->listed.end()) {
    return std::nullopt;
  }
  evidence.ageMs = ToMilliseconds(this->clock->Now() - entry->second.since);
  evidence.withdrawn = !entry->second.leaving;
  evidence.listRevision = entry->second.revision;
  return evidence;
}

std::vector<LeavingEvidence>
LeavingHosts::Next(std::size_t aCount, std::size_t aBytes)
{
  std::vector<LeavingEvidence> chosen;
  std::size_t space = aBytes;
  for (std::size_t left = this->turn.size(); left > 0; --left) {
    if (chosen.size() == aCount) {
      break;
    }
    const std::size_t size = kEvidenceBytes + this->turn.front().size() - 1;
    if (size > space) {
      break;
    }
    std::string key = std::move(this->turn.front());
    this->turn.pop_front();
    this->unsent -= this->unsent > 0 ? 1 : 0;
    std::optional<LeavingEvidence> evidence = this->Describe(key);
    if (!evidence) {
      continue;
    }
    space -= size;
    chosen.push_back(std::move(*evidence));
    this->turn.push_back(std::move(key));
  }
  return chosen;
}

std::vector<LeavingEvidence>
LeavingHosts::NextNews(std::size_t aBytes)
{
  return this->Next(this->unsent, aBytes);
}

std::vector<LeavingEvidence>
LeavingHosts::NextRecent(std::size_t aBytes)
{
  // Moves recent evidence ahead of the older evidence that was sent before.
  // Next() then returns it and moves it to the end of the queue.
  const auto sent =
    this->turn.begin() + static_cast<std::ptrdiff_t>(this->unsent);
  const auto older =
    std::stable_partition(sent, this->turn.end(), [this](const auto& aKey) {
      return this->IsRecent(aKey);
    });
  const auto recent = static_cast<std::size_t>(older - this->turn.begin());
  return this->Next(recent > 0 ? recent : this->turn.size(), aBytes);
}

void
LeavingHosts::Tick()
{
  const TimePoint now = this->clock->Now();
  std::erase_if(this->reported, [this](const auto& aReport) {
    return !this->IsValid(aReport.second);
  });
  std::erase_if(this->listed, [now](const auto& aListed) {
    const Listed& entry = aListed.second;
    return !entry.leaving && now - entry.since >= kWithdrawalLifetime;
  });
}

} // namespace sequoiakeel
