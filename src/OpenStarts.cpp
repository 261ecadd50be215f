#include "OpenStarts.h"

#include "TaskName.h"

#include <algorithm>

namespace sequoiakeel {

bool
OpenStarts::Add(const OpenStart& aStart,
                TimePoint aClosesAt,
                std::optional<TimePoint> aLastCopyClosesAt)
{
  const TimePoint last =
    std::max(aClosesAt, aLastCopyClosesAt.value_or(aClosesAt));
  if (Entry* const known = this->Find(aStart.task, aStart.worker, aStart.run)) {
    known->closesAt = std::max(known->closesAt, aClosesAt);
    if (last > known->lastCopyClosesAt) {
      known->lastCopyClosesAt = last;
      known->recorded = false;
    }
    return false;
  }
  std::vector<Entry>& entries = this->starts[aStart.task];
  // The further start has its own entry from now on.
  for (Entry& earlier : entries) {
    earlier.start.followed = false;
  }
  Entry entry;
  entry.start = aStart;
  entry.closesAt = aClosesAt;
  entry.lastCopyClosesAt = last;
  entry.follows = !entries.empty();
  entries.push_back(std::move(entry));
  return true;
}

void
OpenStarts::Restore(const OpenStart& aStart, TimePoint aCommandsOverAt)
{
  OpenStart start = aStart;
  start.followed = false;
  start.closesInMs = 0;
  this->Add(start, aCommandsOverAt);
  Entry& entry = *this->Find(aStart.task, aStart.worker, aStart.run);
  entry.single = false;
  entry.earlierCommandsOverAt = aCommandsOverAt;
  // A record that says more than is open now has to be replaced, so that the
  // owner after this one can rely on the closing time.
  entry.recorded = !aStart.followed;
  if (!aStart.followed && aStart.closesInMs > 0) {
    entry.closesAfterRoster = std::chrono::milliseconds(aStart.closesInMs);
    entry.awaitsRosterAge = true;
  }
}

void
OpenStarts::BoundRestored(TimePoint aWrittenBefore)
{
  for (auto& [task, entries] : this->starts) {
    for (Entry& entry : entries) {
      if (!entry.closesAfterRoster) {
        continue;
      }
      const TimePoint closesAt = aWrittenBefore + *entry.closesAfterRoster;
      entry.closesAt = std::min(entry.closesAt, closesAt);
      entry.lastCopyClosesAt = std::min(entry.lastCopyClosesAt, closesAt);
      entry.awaitsRosterAge = false;
    }
  }
}

void
OpenStarts::NoteRepeated(const std::string& aTask,
                         const std::string& aWorker,
                         std::uint64_t aRun)
{
  if (Entry* const known = this->Find(aTask, aWorker, aRun)) {
    known->single = false;
  }
}

void
OpenStarts::NoteCarriedOut(const std::string& aTask,
                           const std::string& aWorker,
                           std::uint64_t aRun)
{
  const auto found = this->starts.find(aTask);
  if (found == this->starts.end()) {
    return;
  }
  std::erase_if(found->second, [&](const Entry& aEntry) {
    return aEntry.single && aEntry.start.worker == aWorker &&
           aEntry.start.run == aRun;
  });
  if (found->second.empty()) {
    this->starts.erase(found);
  }
}

const OpenStarts::Entry*
OpenStarts::Find(const std::string& aTask,
                 const std::string& aWorker,
                 std::uint64_t aRun) const
{
  const auto found = this->starts.find(aTask);
  if (found == this->starts.end()) {
    return nullptr;
  }
  const auto entry =
    std::ranges::find_if(found->second, [&](const Entry& aEntry) {
      return aEntry.start.worker == aWorker && aEntry.start.run == aRun;
    });
  return entry == found->second.end() ? nullptr : &*entry;
}

OpenStarts::Entry*
OpenStarts::Find(const std::string& aTask,
                 const std::string& aWorker,
                 std::uint64_t aRun)
{
  return const_cast<Entry*>(std::as_const(*this).Find(aTask, aWorker, aRun));
}

bool
OpenStarts::Contains(const std::string& aTask,
                     const std::string& aWorker,
                     std::uint64_t aRun) const
{
  return this->Find(aTask, aWorker, aRun) != nullptr;
}

bool
OpenStarts::IsRecorded(const std::string& aTask,
                       const std::string& aWorker,
                       std::uint64_t aRun) const
{
  const Entry* const entry = this->Find(aTask, aWorker, aRun);
  return entry != nullptr && entry->recorded;
}

TimePoint
OpenStarts::CommandsOverAt(const Entry& aEntry)
{
  return std::max(aEntry.closesAt,
                  aEntry.earlierCommandsOverAt.value_or(aEntry.closesAt));
}

std::optional<TimePoint>
OpenStarts::CommandsOverAt(const std::string& aTask,
                           const std::string& aWorker) const
{
  const auto found = this->starts.find(aTask);
  if (found == this->starts.end()) {
    return std::nullopt;
  }
  std::optional<TimePoint> last;
  for (const Entry& entry : found->second) {
    if (entry.start.worker == aWorker) {
      last = std::max(last, std::optional(CommandsOverAt(entry)));
    }
  }
  return last;
}

StartRestriction
OpenStarts::RestrictionOf(const std::string& aTask) const
{
  const auto found = this->starts.find(aTask);
  if (found == this->starts.end()) {
    return {};
  }
  const Entry& first = found->second.front();
  if (found->second.size() > 1 || first.follows || !first.recorded) {
    return { StartRestriction::Kind::NoWorker, "" };
  }
  return { StartRestriction::Kind::OneWorker, first.start.worker };
}

bool
OpenStarts::BeginFurtherStart(const std::string& aTask)
{
  const auto found = this->starts.find(aTask);
  if (found == this->starts.end()) {
    return true;
  }
  Entry& entry = found->second.front();
  if (entry.start.followed) {
    return entry.recorded;
  }
  entry.start.followed = true;
  entry.recorded = false;
  return false;
}

void
OpenStarts::EndFurtherStart(const std::string& aTask,
                            const std::string& aWorker)
{
  const auto found = this->starts.find(aTask);
  if (found == this->starts.end()) {
    return;
  }
  for (Entry& entry : found->second) {
    if (entry.start.worker != aWorker || !entry.start.followed) {
      continue;
    }
    entry.start.followed = false;
    entry.recorded = false;
  }
}

bool
OpenStarts::MayBeCarriedOut(const std::string& aTask, TimePoint aNow) const
{
  const std::optional<TaskName> name = ParseTaskName(aTask);
  if (this->starts.empty() || !name) {
    return false;
  }
  const std::string step = FormatStepKey(*name) + ".";
  for (auto found = this->starts.lower_bound(step);
       found != this->starts.end() && found->first.starts_with(step);
       ++found) {
    for (const Entry& entry : found->second) {
      const bool concerns = found->first == aTask || entry.start.gang;
      if (concerns && aNow <= entry.closesAt) {
        return true;
      }
    }
  }
  return false;
}

const char*
OpenStarts::SettledBy(const Entry& aEntry,
                      TimePoint aNow,
                      const WorkerEvidence& aEvidence) const
{
  if (aEvidence.reportRequestedAt > aEntry.closesAt) {
    return "reported without it";
  }
  if (aEvidence.missingAt > aEntry.closesAt + kRegistrationTime) {
    return "worker is gone";
  }
  return aNow > CommandsOverAt(aEntry) + this->longestLease ? "leases expired"
                                                            : "";
}

std::vector<OpenStarts::Settled>
OpenStarts::RemoveSettled(
  TimePoint aNow,
  const std::function<WorkerEvidence(const std::string&)>& aEvidence)
{
  std::vector<Settled> settled;
  for (auto& [task, entries] : this->starts) {
    std::erase_if(entries, [&](const Entry& aEntry) {
      if (aNow <= aEntry.closesAt) {
        return false;
      }
      const char* const reason =
        this->SettledBy(aEntry, aNow, aEvidence(aEntry.start.worker));
      if (*reason == '\0') {
        return false;
      }
      settled.push_back({ aEntry.start, reason, aEntry.follows });
      return true;
    });
  }
  std::erase_if(this->starts,
                [](const auto& aItem) { return aItem.second.empty(); });
  return settled;
}

std::vector<OpenStart>
OpenStarts::ToRecord(std::optional<TimePoint> aNow) const
{
  std::vector<OpenStart> result;
  for (const auto& [task, entries] : this->starts) {
    for (const Entry& entry : entries) {
      result.push_back(entry.start);
      if (entry.start.followed) {
        continue;
      }
      std::chrono::milliseconds left{ 0 };
      if (aNow) {
        left = std::chrono::ceil<std::chrono::milliseconds>(
          entry.lastCopyClosesAt - *aNow);
        left = std::max(left, std::chrono::milliseconds(1));
      } else if (entry.closesAfterRoster) {
        left = *entry.closesAfterRoster;
      }
      result.back().closesInMs = static_cast<std::uint64_t>(left.count());
    }
  }
  return result;
}

bool
OpenStarts::AwaitRosterAge() const
{
  return std::ranges::any_of(this->starts, [](const auto& aItem) {
    return std::ranges::any_of(aItem.second, &Entry::awaitsRosterAge);
  });
}

void
OpenStarts::Recorded(std::span<const OpenStart> aStarts)
{
  this->recordNamesStarts = !aStarts.empty();
  for (auto& [task, entries] : this->starts) {
    for (Entry& entry : entries) {
      entry.recorded = false;
    }
  }
  for (const OpenStart& start : aStarts) {
    if (Entry* const known = this->Find(start.task, start.worker, start.run)) {
      known->recorded = known->start.followed == start.followed;
    }
  }
}

bool
OpenStarts::RecordIsStale() const
{
  if (this->starts.empty()) {
    return this->recordNamesStarts;
  }
  return std::ranges::any_of(this->starts, [](const auto& aItem) {
    return std::ranges::any_of(
      aItem.second, [](const Entry& aEntry) { return !aEntry.recorded; });
  });
}

} // namespace sequoiakeel
