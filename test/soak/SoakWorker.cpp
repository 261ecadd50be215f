#include "SoakWorker.h"

#include "AsyncSignal.h"
#include "BootClock.h"
#include "Log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sequoiakeel::soak {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kLongestLeaseMs = 6000;

constexpr std::uint32_t kRoomCpuMilli = 16000;

/** Late commands are executed 2 to 5 s after they were sent. */
constexpr int kLateMinMs = 2000;
constexpr int kLateSpreadMs = 3000;

/** With WorkerTraits::keepsCommands they are executed 2 to 12 s after. The
 * remainder covers a second crash. */
constexpr int kKeptLateSpreadMs = 9000;
constexpr std::chrono::seconds kLongestWait{ 12 };

/** Held data is delivered within this time. Commands in it are not delayed, so
 * that they are executed in time. */
constexpr std::chrono::milliseconds kDeliveryTime{ 500 };

/** Range of the first reading of a worker's clock, which also lasts days. */
constexpr int kFirstReadingSpreadMs = 10'000'000;

/** Delay of a response that counts as lost. It exceeds the time-out of the
 * caller. */
constexpr std::chrono::seconds kSilence{ 3 };

constexpr std::chrono::milliseconds kHoldStep{ 10 };

/** Time from the start of a crashing task to the crash. */
constexpr std::chrono::milliseconds kCrashDelay{ 10 };

/** A smaller capacity counts after 3 s and one heartbeat. */
constexpr std::chrono::milliseconds kCapacityNotice =
  std::chrono::milliseconds(3000) + SoakWorker::kHeartbeat;

std::uint64_t
UnixMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

SoakWorker::SoakWorker(asio::io_context& aContext,
                       std::string aId,
                       JobLedger& aLedger,
                       Random& aRandom,
                       WorkerTraits aTraits)
  : context(aContext)
  , id(std::move(aId))
  , ledger(aLedger)
  , random(aRandom)
  , traits(std::move(aTraits))
  , server(aContext,
           Endpoint{ "127.0.0.1", 0 },
           HttpServerLimits{},
           [this](HttpRequest aRequest) {
             return this->Answer(std::move(aRequest));
           })
  , proxy(aContext.get_executor(), Endpoint{ "127.0.0.1", server.Port() })
  , startedAt(std::chrono::steady_clock::now())
  , bornUnixMs(UnixMs())
  , capacities{ { TimePoint(), kRoomCpuMilli } }
{
  this->server.Start();
}

std::uint64_t
SoakWorker::ClockMs() const
{
  const std::chrono::duration<double, std::milli> age =
    std::chrono::steady_clock::now() - this->startedAt;
  return this->firstReadingMs +
         static_cast<std::uint64_t>(age.count() * this->traits.clockRate);
}

std::string
SoakWorker::RegistryEntry() const
{
  const Endpoint address = this->proxy.Address();
  return nlohmann::json{
    { "service", "desk" },
    { "address", address.address + ":" + std::to_string(address.port) },
    { "zone", this->traits.zone },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "coldRemainingMs", 0 },
    { "seq", 1 },
    { "born", this->bornUnixMs },
    { "room",
      { { "cpu", this->capacities.back().second },
        { "memMb", 64000 },
        { "gpu", 0 } } },
    { "labels", { "a", "r-" + this->id } }
  }.dump();
}

void
SoakWorker::Crash()
{
  this->up = false;
  ++this->crashCount;
  if (this->traits.keepsCommands) {
    this->HoldPath();
  } else {
    this->proxy.SetFault(PathFault::Silent);
  }
  Event("worker_crash", LogLevel::Debug)
    .Add("worker", this->id)
    .Add("crashes", this->crashCount);
  for (const auto& [task, run] : this->runs) {
    this->ledger.RecordRunEnded(this->id, task, run.run);
    this->ledger.RecordCrash(task);
  }
  this->crashAt.reset();
  for (const End& end : this->ends) {
    if (std::string_view(end.how) == "done") {
      this->ledger.RecordCompletionLost(end.task, end.run);
    }
  }
  this->runs.clear();
  this->ends.clear();
  this->highestRun.clear();
}

void
SoakWorker::Resize(std::uint32_t aCpuMilli)
{
  this->capacities.push_back({ std::chrono::steady_clock::now(), aCpuMilli });
}

void
SoakWorker::Restart()
{
  this->up = true;
  this->startedAt = std::chrono::steady_clock::now();
  this->bornUnixMs = UnixMs();
  this->fence = 0;
  this->leaseUntilMs = 0;
  this->leased = false;
  this->nextEnd = 1;
  if (this->traits.keepsCommands) {
    this->firstReadingMs = 1 + DrawIndex(this->random, kFirstReadingSpreadMs);
    this->HoldPath();
    return;
  }
  this->proxy.SetFault(PathFault::None);
  this->proxy.Reset();
}

void
SoakWorker::Cut()
{
  ++this->cuts;
  this->HoldPath();
}

void
SoakWorker::EndCut()
{
  --this->cuts;
  this->HoldPath();
}

void
SoakWorker::HoldPath()
{
  if (this->Reachable()) {
    this->deliveredAt = std::chrono::steady_clock::now();
  }
  this->proxy.SetFault(this->Reachable() ? PathFault::None : PathFault::Held);
}

HttpResponse
SoakWorker::Reply(unsigned aStatus, nlohmann::json aBody) const
{
  aBody["clockMs"] = this->ClockMs();
  return JsonResponse(aStatus, aBody.dump());
}

HttpResponse
SoakWorker::FenceReply() const
{
  return this->Reply(409, { { "reason", "fence" } });
}

bool
SoakWorker::Fenced(const nlohmann::json& aBody)
{
  const auto token = aBody.value<std::uint64_t>("fence", 0);
  if (token < this->fence) {
    return true;
  }
  this->fence = token;
  return false;
}

void
SoakWorker::ExtendLease(std::uint64_t aUntilMs)
{
  const std::uint64_t longest = this->ClockMs() + kLongestLeaseMs;
  this->leaseUntilMs =
    std::max(this->leaseUntilMs, std::min(aUntilMs, longest));
  this->leased = this->leaseUntilMs > this->ClockMs();
}

asio::awaitable<HttpResponse>
SoakWorker::Answer(HttpRequest aRequest)
{
  const int present = this->crashCount;
  const nlohmann::json body =
    nlohmann::json::parse(aRequest.body, nullptr, false);
  if (body.is_discarded()) {
    co_return this->Reply(400, {});
  }
  if (aRequest.headers.Get("Expect-Instance") != this->id) {
    co_return this->Reply(421, {});
  }
  const TimePoint arrivedAt = std::chrono::steady_clock::now();
  const auto waited = [arrivedAt] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - arrivedAt);
  };
  const bool order = aRequest.target != "/-/hold";
  const bool kept = order && this->traits.keepsCommands;
  if (order) {
    co_await this->DelayCommand();
  }
  while (kept && !this->up && waited() < kLongestWait) {
    co_await SleepFor(this->context.get_executor(), kHoldStep);
  }
  if (!this->up || (this->crashCount != present && !kept)) {
    co_await SleepFor(this->context.get_executor(), kSilence);
    co_return this->Reply(503, {});
  }
  if (!order && !this->Fenced(body)) {
    co_return co_await this->Hold(body);
  }
  if (!order) {
    co_return this->FenceReply();
  }
  HttpResponse response = this->Execute(aRequest.target, body);
  Event("command", LogLevel::Debug)
    .Add("worker", this->id)
    .Add("target", aRequest.target)
    .Add("task", body.value("task", ""))
    .Add("run", body.value<std::uint64_t>("run", 0))
    .Add("fence", body.value<std::uint64_t>("fence", 0))
    .Add("held", this->DeliversHeld(arrivedAt))
    .Add("waited_ms", static_cast<std::int64_t>(waited().count()))
    .Add("crashes_at_arrival", present)
    .Add("crashes", this->crashCount)
    .Add("response", response.body);
  co_return response;
}

bool
SoakWorker::DeliversHeld(TimePoint aArrival) const
{
  const Duration since = aArrival - this->deliveredAt;
  return since >= Duration::zero() && since < kDeliveryTime;
}

asio::awaitable<void>
SoakWorker::DelayCommand()
{
  if (!this->lateCommands ||
      this->DeliversHeld(std::chrono::steady_clock::now()) ||
      DrawIndex(this->random, 2) != 0) {
    co_return;
  }
  const int spread =
    this->traits.keepsCommands ? kKeptLateSpreadMs : kLateSpreadMs;
  co_await SleepFor(
    this->context.get_executor(),
    std::chrono::milliseconds(kLateMinMs + DrawIndex(this->random, spread)));
}

HttpResponse
SoakWorker::Execute(const std::string& aTarget, const nlohmann::json& aBody)
{
  if (this->Fenced(aBody)) {
    return this->FenceReply();
  }
  if (aTarget == "/-/run-start") {
    return this->Start(aBody);
  }
  if (aTarget == "/-/run-stop") {
    return this->Stop(aBody);
  }
  return this->Reply(aTarget == "/-/pace" ? 200 : 404, {});
}

HttpResponse
SoakWorker::Start(const nlohmann::json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t run = aBody.at("run");
  const std::uint64_t until = aBody.at("untilMs");
  if (until <= this->ClockMs()) {
    return this->Reply(409, { { "reason", "late" } });
  }
  this->ExtendLease(until);
  const auto present = this->runs.find(task);
  if (present != this->runs.end() && present->second.run == run) {
    return this->Reply(200, {});
  }
  if (run <= this->highestRun[task] || present != this->runs.end()) {
    return this->Reply(409, { { "reason", "old" } });
  }
  this->highestRun[task] = run;
  const auto name = ParseTaskName(task);
  const StepPlan* const step = name ? this->ledger.StepOf(*name) : nullptr;
  Run started;
  started.run = run;
  started.lasts = step != nullptr && step->longRunning;
  started.endsAt = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(step ? step->durationMs : 100);
  this->runs[task] = started;
  if (aBody.at("spec") == kCrashPayload && name && name->step == 0 &&
      name->index == 0) {
    this->crashAt = std::chrono::steady_clock::now() + kCrashDelay;
  }
  this->ledger.RecordStart(this->id, task, run);
  this->CheckCapacity();
  return this->Reply(200, {});
}

void
SoakWorker::CheckCapacity()
{
  std::uint64_t cpu = 0;
  for (const auto& [task, run] : this->runs) {
    const auto name = ParseTaskName(task);
    const StepPlan* const step = name ? this->ledger.StepOf(*name) : nullptr;
    cpu += step != nullptr ? step->cpuMilli : 0;
  }
  // Processes that were disturbed may count on any earlier capacity.
  std::uint32_t allowed = kRoomCpuMilli;
  if (this->ledger.InTouch() && !this->lateCommands) {
    const TimePoint since = std::chrono::steady_clock::now() - kCapacityNotice;
    while (this->capacities.size() > 1 && this->capacities[1].first < since) {
      this->capacities.pop_front();
    }
    allowed = 0;
    for (const auto& [from, capacity] : this->capacities) {
      allowed = std::max(allowed, capacity);
    }
  }
  if (cpu > allowed) {
    this->ledger.RecordViolation("a worker runs more than it has room for",
                                 this->id + ": " + std::to_string(cpu) +
                                   " of " + std::to_string(allowed));
  }
}

HttpResponse
SoakWorker::Stop(const nlohmann::json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t run = aBody.at("run");
  std::uint64_t& highest = this->highestRun[task];
  highest = std::max(highest, run);
  const auto present = this->runs.find(task);
  if (present != this->runs.end() && present->second.run <= run) {
    this->Finish(task, "stopped");
  }
  return this->Reply(200, {});
}

asio::awaitable<HttpResponse>
SoakWorker::Hold(nlohmann::json aBody)
{
  const int present = this->crashCount;
  const std::uint64_t seen = aBody.at("lastSeen");
  if (aBody.contains("untilMs")) {
    this->ExtendLease(aBody.at("untilMs"));
  }
  while (!this->ends.empty() && this->ends.front().number <= seen) {
    const End end = this->ends.front();
    this->ends.pop_front();
    if (std::string_view(end.how) == "done") {
      this->ledger.RecordAcknowledgement(
        end.task, end.run, this->lapses != end.lapses);
      Event("end_acknowledged", LogLevel::Debug)
        .Add("worker", this->id)
        .Add("task", end.task)
        .Add("run", end.run)
        .Add("number", end.number)
        .Add("seen", seen)
        .Add("lapsed", this->lapses != end.lapses);
    }
  }
  const TimePoint deadline =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(aBody.value<std::uint64_t>("waitMs", 0));
  while (this->ends.empty() && this->crashCount == present &&
         std::chrono::steady_clock::now() < deadline) {
    co_await SleepFor(this->context.get_executor(), kHoldStep);
  }
  if (this->crashCount != present) {
    co_await SleepFor(this->context.get_executor(), kSilence);
    co_return this->Reply(503, {});
  }
  nlohmann::json running = nlohmann::json::array();
  for (const auto& [task, run] : this->runs) {
    running.push_back({ task, run.run, "", run.lasts ? 100 : 50, 10 });
  }
  nlohmann::json finished = nlohmann::json::array();
  for (const End& end : this->ends) {
    finished.push_back({ end.number, end.task, end.run, end.how, "" });
  }
  co_return this->Reply(200,
                        { { "running", running },
                          { "finished", finished },
                          { "born", this->bornUnixMs } });
}

void
SoakWorker::Finish(const std::string& aTask, const char* aHow)
{
  const Run run = this->runs.at(aTask);
  this->runs.erase(aTask);
  this->ledger.RecordRunEnded(this->id, aTask, run.run);
  if (std::string_view(aHow) == "done") {
    this->ledger.RecordCompletion(aTask, run.run);
  }
  Event("run_ended", LogLevel::Debug)
    .Add("worker", this->id)
    .Add("task", aTask)
    .Add("run", run.run)
    .Add("how", aHow);
  this->ends.push_back(
    End{ this->nextEnd++, aTask, run.run, aHow, this->lapses });
}

void
SoakWorker::Tick()
{
  if (!this->up) {
    return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  if (this->crashAt && now >= *this->crashAt) {
    this->crashAt.reset();
    this->crashHandler();
    return;
  }
  const bool lapsed = this->leased && this->ClockMs() >= this->leaseUntilMs;
  std::vector<std::string> over;
  for (const auto& [task, run] : this->runs) {
    if (lapsed || (!run.lasts && now >= run.endsAt)) {
      over.push_back(task);
    }
  }
  if (lapsed) {
    this->leased = false;
    ++this->lapses;
  }
  for (const std::string& task : over) {
    this->Finish(task, lapsed ? "lapsed" : "done");
  }
}

} // namespace sequoiakeel::soak
