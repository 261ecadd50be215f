#include "StoreLeaseHolder.h"
#include "support/CellSimulation.h"

namespace sequoiakeel {

void
FakeCellStore::Expire()
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->leases,
                [now](const auto& aLease) { return aLease.second <= now; });
  std::erase_if(this->leaseOf, [this](const auto& aEntry) {
    const bool gone = !this->leases.contains(aEntry.second);
    if (gone) {
      this->values.erase(aEntry.first);
    }
    return gone;
  });
}

std::uint64_t
FakeCellStore::RenewLease(std::uint64_t aLease)
{
  this->Expire();
  ++this->writes;
  const std::uint64_t lease =
    this->leases.contains(aLease) ? aLease : ++this->nextLease;
  this->leases[lease] = this->clock.Now() + kStoreLeaseTtl;
  return lease;
}

StoreReply
FakeCellStore::Apply(const StoreCommand& aCommand)
{
  StoreReply reply;
  if (this->down) {
    reply.result = StoreResult::Unavailable;
    return reply;
  }
  this->Expire();
  if (aCommand.verb == StoreVerb::Get || aCommand.verb == StoreVerb::Range) {
    ++this->reads;
    const bool range = aCommand.verb == StoreVerb::Range;
    for (const auto& [key, value] : this->values) {
      if (range ? key.starts_with(aCommand.key) : key == aCommand.key) {
        reply.rows.push_back(value);
      }
    }
    return reply;
  }
  ++this->writes;
  const auto found = this->values.find(aCommand.key);
  const std::uint64_t version =
    found == this->values.end() ? kAbsentVersion : found->second.version;
  const bool leaseGone =
    aCommand.lease != kNoLease && !this->leases.contains(aCommand.lease);
  if (version != aCommand.expectedVersion || leaseGone) {
    reply.result = StoreResult::Conflict;
    return reply;
  }
  reply.version = ++this->revision;
  if (aCommand.verb == StoreVerb::Delete) {
    this->values.erase(aCommand.key);
    return reply;
  }
  this->largestValue = std::max(this->largestValue, aCommand.value.size());
  this->values[aCommand.key] =
    StoreValue{ aCommand.key, aCommand.value, reply.version };
  if (aCommand.lease != kNoLease) {
    this->leaseOf[aCommand.key] = aCommand.lease;
  }
  return reply;
}

} // namespace sequoiakeel
