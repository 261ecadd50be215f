#include "PlannerDirectory.h"

#include "CellCodec.h"
#include "CellKeys.h"
#include "Log.h"
#include "PeerCodec.h"
#include "generated/Cell.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

constexpr std::chrono::seconds kReportAge{ 1 };
constexpr std::chrono::milliseconds kReportTimeout{ 500 };
constexpr std::chrono::milliseconds kGatherInterval{ 5 };

} // namespace

/** State of one collection of planner reports: the number of unanswered
 * requests and the reports received so far, by cell. */
struct PlannerDirectory::Gathering
{
  std::mutex mutex;
  std::size_t open = 0;
  std::map<std::string, CellReport> cells;
};

PlannerDirectory::PlannerDirectory(asio::any_io_executor aExecutor,
                                   const MembershipView& aMembership,
                                   PeerClient& aClient,
                                   KeyValueStore& aStore,
                                   const Clock& aClock)
  : executor(std::move(aExecutor))
  , membership(&aMembership)
  , client(&aClient)
  , store(&aStore)
  , clock(&aClock)
{
}

asio::awaitable<void>
PlannerDirectory::Ask(std::shared_ptr<Gathering> aGathering, MemberRow aPlanner)
{
  Endpoint endpoint{ aPlanner.address, aPlanner.port };
  std::string body = EncodeMessage(PlannerStatusRequest{});
  const PeerReply bytes = co_await this->client->Call(
    endpoint, PeerMessage::PlannerStatus, std::move(body), kReportTimeout);
  std::optional<PlannerStatusReply> reply;
  if (bytes) {
    reply = DecodeMessage<PlannerStatusReply>(*bytes);
  }
  const std::lock_guard lock(aGathering->mutex);
  --aGathering->open;
  if (!reply) {
    co_return;
  }
  for (CellStatus& cell : reply->cells) {
    CellReport& known = aGathering->cells[cell.cell];
    if (known.planner.empty() || known.status.epoch < cell.epoch) {
      known.status = std::move(cell);
      known.planner = reply->planner;
      known.endpoint = endpoint;
    }
  }
}

asio::awaitable<std::vector<CellReport>>
PlannerDirectory::Gather()
{
  const auto gathering = std::make_shared<Gathering>();
  for (const Member& member : this->membership->Members()) {
    if (member.row.role != MemberRole::Planner || member.suspect) {
      continue;
    }
    {
      const std::lock_guard lock(gathering->mutex);
      ++gathering->open;
    }
    asio::co_spawn(
      this->executor, this->Ask(gathering, member.row), asio::detached);
  }
  asio::steady_timer timer(this->executor);
  std::vector<CellReport> cells;
  while (true) {
    {
      const std::lock_guard lock(gathering->mutex);
      if (gathering->open == 0) {
        for (auto& [name, report] : gathering->cells) {
          cells.push_back(std::move(report));
        }
        break;
      }
    }
    timer.expires_after(kGatherInterval);
    co_await timer.async_wait(use_awaitable);
  }
  co_return cells;
}

asio::awaitable<std::vector<CellReport>>
PlannerDirectory::Cells()
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->known && this->clock->Now() - this->gathered < kReportAge) {
      co_return this->reports;
    }
  }
  std::vector<CellReport> cells = co_await this->Gather();
  const std::lock_guard lock(this->mutex);
  this->reports = cells;
  this->gathered = this->clock->Now();
  this->known = !cells.empty();
  co_return cells;
}

asio::awaitable<std::optional<Endpoint>>
PlannerDirectory::OwnerInStore(std::string aCell)
{
  const StoreReadReply reply = co_await this->store->Get(OwnerKey(aCell));
  if (reply.result != StoreResult::Ok || reply.values.empty()) {
    co_return std::nullopt;
  }
  std::optional<Endpoint> owner;
  try {
    const auto record = DecodeBinary<OwnerRecord>(reply.values.front().value);
    owner = Endpoint{ record.address, record.port };
  } catch (const UserError& error) {
    Event("owner_record_unreadable", LogLevel::Warning)
      .Add("cell", aCell)
      .Add("error", error.what());
  }
  co_return owner;
}

asio::awaitable<std::optional<Endpoint>>
PlannerDirectory::OwnerOf(std::string aCell, bool aFresh)
{
  std::optional<Endpoint> owner;
  if (aFresh) {
    owner = co_await this->OwnerInStore(aCell);
    if (owner) {
      co_return owner;
    }
  }
  const std::vector<CellReport> cells = co_await this->Cells();
  for (const CellReport& report : cells) {
    if (report.status.cell == aCell) {
      co_return report.endpoint;
    }
  }
  if (!aFresh) {
    owner = co_await this->OwnerInStore(aCell);
  }
  co_return owner;
}

} // namespace sequoiakeel
