#include "QueueTable.h"

#include "Log.h"

namespace sequoiakeel {

const QueueRule*
QueueTable::Match(std::string_view aHostName, std::string_view aPath) const
{
  const QueueRule* best = nullptr;
  for (const QueueRule& queue : this->queues) {
    if (queue.hostName != aHostName || !aPath.starts_with(queue.pathPrefix)) {
      continue;
    }
    if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()) {
      best = &queue;
    }
  }
  return best;
}

std::shared_ptr<const QueueTable>
ActiveQueues::Get() const
{
  const std::lock_guard lock(this->mutex);
  return this->active;
}

bool
ActiveQueues::Activate(QueueTable aTable)
{
  const std::lock_guard lock(this->mutex);
  if (this->active && aTable.version <= this->active->version) {
    return false;
  }
  Event("queues_active")
    .Add("version", aTable.version)
    .Add("queues", static_cast<std::uint64_t>(aTable.queues.size()));
  this->active = std::make_shared<const QueueTable>(std::move(aTable));
  return true;
}

} // namespace sequoiakeel
