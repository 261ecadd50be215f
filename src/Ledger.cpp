#include "Ledger.h"

#include "Error.h"

#include <algorithm>

namespace sequoiakeel {

bool
Fits(const Resources& aNeed, const Resources& aFree)
{
  return aNeed.cpuMillis <= aFree.cpuMillis &&
         aNeed.memoryMb <= aFree.memoryMb &&
         aNeed.accelerators <= aFree.accelerators;
}

Resources
Plus(const Resources& aLeft, const Resources& aRight)
{
  return Resources{ aLeft.cpuMillis + aRight.cpuMillis,
                    aLeft.memoryMb + aRight.memoryMb,
                    aLeft.accelerators + aRight.accelerators };
}

Resources
Minus(const Resources& aLeft, const Resources& aRight)
{
  return Resources{ aLeft.cpuMillis - aRight.cpuMillis,
                    aLeft.memoryMb - aRight.memoryMb,
                    aLeft.accelerators - aRight.accelerators };
}

namespace {

Resources
Raised(const Resources& aLeft, const Resources& aRight)
{
  return Resources{ std::max(aLeft.cpuMillis, aRight.cpuMillis),
                    std::max(aLeft.memoryMb, aRight.memoryMb),
                    std::max(aLeft.accelerators, aRight.accelerators) };
}

} // namespace

const Ledger::Account*
Ledger::Find(const std::string& aWorker) const
{
  const auto found = this->accounts.find(aWorker);
  return found == this->accounts.end() ? nullptr : &found->second;
}

void
Ledger::SetCapacity(const std::string& aWorker, const Resources& aCapacity)
{
  this->accounts[aWorker].capacity = aCapacity;
}

void
Ledger::RemoveWorker(const std::string& aWorker)
{
  InternalAssert(this->Count(aWorker) == 0,
                 "a worker with commitments cannot be removed");
  this->accounts.erase(aWorker);
}

bool
Ledger::Commit(const std::string& aWorker,
               const std::string& aTask,
               const Resources& aSize)
{
  const Account* account = this->Find(aWorker);
  if (account == nullptr || account->tasks.contains(aTask)) {
    return false;
  }
  if (!Fits(aSize, Minus(account->capacity, account->committed))) {
    return false;
  }
  this->Restore(aWorker, aTask, aSize);
  return true;
}

void
Ledger::Restore(const std::string& aWorker,
                const std::string& aTask,
                const Resources& aSize)
{
  const auto found = this->accounts.find(aWorker);
  InternalAssert(found != this->accounts.end(),
                 "a commitment names an unknown worker");
  Account& account = found->second;
  const bool inserted = account.tasks.emplace(aTask, aSize).second;
  InternalAssert(inserted, "a task is committed twice on a worker");
  account.committed = Plus(account.committed, aSize);
}

void
Ledger::Observe(const std::string& aWorker,
                const std::string& aTask,
                const Resources& aUsage)
{
  const auto found = this->accounts.find(aWorker);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  const auto task = account.tasks.find(aTask);
  if (task == account.tasks.end()) {
    return;
  }
  const Resources raised = Raised(task->second, aUsage);
  account.committed = Plus(account.committed, Minus(raised, task->second));
  task->second = raised;
}

void
Ledger::Release(const std::string& aWorker, const std::string& aTask)
{
  const auto found = this->accounts.find(aWorker);
  InternalAssert(found != this->accounts.end(),
                 "a release names an unknown worker");
  Account& account = found->second;
  const auto task = account.tasks.find(aTask);
  InternalAssert(task != account.tasks.end(),
                 "a release names a task without commitment");
  account.committed = Minus(account.committed, task->second);
  account.tasks.erase(task);
}

Resources
Ledger::Free(const std::string& aWorker) const
{
  const Account* account = this->Find(aWorker);
  if (account == nullptr) {
    return {};
  }
  return Minus(account->capacity, account->committed);
}

Resources
Ledger::Committed(const std::string& aWorker) const
{
  const Account* account = this->Find(aWorker);
  return account == nullptr ? Resources{} : account->committed;
}

std::size_t
Ledger::Count(const std::string& aWorker) const
{
  const Account* account = this->Find(aWorker);
  return account == nullptr ? 0 : account->tasks.size();
}

bool
Ledger::WithinCapacity() const
{
  return std::ranges::all_of(this->accounts, [](const auto& aEntry) {
    return Fits(aEntry.second.committed, aEntry.second.capacity);
  });
}

} // namespace sequoiakeel
