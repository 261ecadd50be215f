#include "CellCodec.h"
#include "CellMachine.h"
#include "ConfiguredPolicies.h"
#include "Log.h"
#include "Scenario.h"

#include <chrono>
#include <memory>

namespace sequoiakeel {

namespace {

constexpr int kSlots = 8;

/** Fake store and workers of one cell that answer without delay. */
class InstantPlatform
{
public:
  explicit InstantPlatform(int aWorkers)
  {
    for (int number = 0; number < aWorkers; ++number) {
      HostRecord host;
      host.host = "worker-" + std::to_string(number);
      host.address = "127.0.0.1";
      host.agentPort = 1;
      host.zone = "zone-1";
      host.rack = "rack-" + std::to_string(number / 11);
      this->hosts.push_back(host);
      WorkerStatus& status = this->statuses[host.host];
      status.incarnation = 1;
      status.capacity = Resources{ 32000, 125000, 0 };
    }
  }

  StoreReply Answer(const StoreCommand& aCommand)
  {
    StoreReply reply;
    reply.id = aCommand.id;
    if (aCommand.verb == StoreVerb::Get || aCommand.verb == StoreVerb::Range) {
      ++this->reads;
      for (auto it = this->values.lower_bound(aCommand.key);
           it != this->values.end() && it->first.starts_with(aCommand.key);
           ++it) {
        reply.rows.push_back(it->second);
        this->bytesRead += it->second.value.size();
      }
      return reply;
    }
    ++this->writes;
    const auto found = this->values.find(aCommand.key);
    const std::uint64_t version =
      found == this->values.end() ? kAbsentVersion : found->second.version;
    if (version != aCommand.expectedVersion) {
      reply.result = StoreResult::Conflict;
      return reply;
    }
    reply.version = ++this->revision;
    this->values[aCommand.key] =
      StoreValue{ aCommand.key, aCommand.value, reply.version };
    return reply;
  }

  WorkerReply Answer(const WorkerCommand& aCommand)
  {
    ++this->calls;
    WorkerReply reply;
    reply.id = aCommand.id;
    WorkerStatus& status = this->statuses[aCommand.worker];
    if (aCommand.verb == WorkerVerb::GrantLease) {
      status.leases.push_back(WorkerLease{ aCommand.lease, 30000 });
    }
    if (aCommand.verb == WorkerVerb::Start) {
      WorkerTask task;
      task.taskId = aCommand.start.taskId;
      task.attempt = aCommand.start.attempt;
      task.lease = aCommand.start.lease;
      status.tasks.push_back(task);
    }
    if (aCommand.verb == WorkerVerb::Status) {
      reply.status = status;
    }
    return reply;
  }

  std::vector<HostRecord> hosts;
  std::map<std::string, StoreValue> values;
  std::map<std::string, WorkerStatus> statuses;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t calls = 0;
  std::uint64_t bytesRead = 0;
  std::uint64_t revision = 0;
};

/** State machine of one planner, connected to an InstantPlatform. */
class InstantPlanner
{
public:
  InstantPlanner(InstantPlatform& aPlatform, const std::string& aName)
    : platform(aPlatform)
    , policies(1)
  {
    CellOptions options;
    options.cell = "cell-1";
    options.planner = aName;
    options.writer = aName;
    this->machine = std::make_unique<CellMachine>(options, this->policies);
    this->machine->SetCandidate(true);
  }

  void Step(TimePoint aNow)
  {
    this->machine->OnStoreLease(1, aNow + std::chrono::seconds(6));
    this->machine->OnStoreReports(aNow, true, false);
    this->machine->SetFleet(this->platform.hosts, aNow);
    this->machine->Tick(aNow);
    Outbox& outbox = this->machine->outbox;
    while (!outbox.store.empty() || !outbox.workers.empty()) {
      for (const StoreCommand& command : std::exchange(outbox.store, {})) {
        this->machine->OnStoreReply(this->platform.Answer(command), aNow);
      }
      for (const WorkerCommand& command : std::exchange(outbox.workers, {})) {
        this->machine->OnWorkerReply(this->platform.Answer(command), aNow);
      }
    }
  }

  InstantPlatform& platform;
  ConfiguredPolicies policies;
  std::unique_ptr<CellMachine> machine;
};

std::uint64_t
CountRunning(const CellState& aState)
{
  std::uint64_t result = 0;
  for (const auto& [id, job] : aState.Jobs()) {
    for (const auto& [index, task] : job.tasks) {
      result += task.phase == TaskPhase::Running ? 1 : 0;
    }
  }
  return result;
}

void
RunRecovery(const ScenarioOptions& aOptions, const Report& aReport)
{
  const int workers = std::stoi(aOptions.Get("workers", "65"));
  const auto tasks = static_cast<std::uint64_t>(workers) * kSlots;
  StartLogging("bench", LogLevel::Error);
  const auto report =
    [&](const char* aMeasure, double aValue, const char* aUnit) {
      Measurement figure;
      figure.scenario = "cell-recovery";
      figure.measure = aMeasure;
      figure.value = aValue;
      figure.unit = aUnit;
      figure.seed = aOptions.seed;
      figure.labels["workers"] = std::to_string(workers);
      aReport(figure);
    };
  InstantPlatform platform(workers);
  TimePoint now{ std::chrono::hours(1) };
  constexpr std::chrono::milliseconds kStep{ 50 };
  InstantPlanner first(platform, "planner-1");
  const auto runFirst = [&](int aSteps) {
    for (int step = 0; step < aSteps; ++step) {
      now += kStep;
      first.Step(now);
    }
  };
  runFirst(200);
  for (std::uint64_t job = 0; job < tasks; ++job) {
    SubmitJob request;
    request.jobId = "cell-1." + std::to_string(1000000000000000 + job);
    request.cell = "cell-1";
    request.spec.team = "planning";
    request.spec.taskClass = "batch-order";
    request.spec.resources = Resources{ 4000, 15000, 0 };
    request.spec.runTimeMs = 600000;
    first.machine->Submit(job + 1, request, now);
  }
  std::uint64_t limit = 4000;
  while (CountRunning(first.machine->Committed()) < tasks && limit-- > 0) {
    runFirst(1);
  }
  const double perTask = 1.0 / static_cast<double>(tasks);
  LogRecord record;
  LogEntry intent;
  intent.kind = LogEntryKind::StartIntent;
  intent.job = "cell-1.1000000000000000";
  intent.worker = "worker-10";
  intent.epoch = 1;
  const auto empty = static_cast<double>(EncodeBinary(record).size());
  record.entries.push_back(intent);
  report("running_tasks",
         static_cast<double>(CountRunning(first.machine->Committed())),
         "tasks");
  report("snapshot_per_task",
         static_cast<double>(
           EncodeBinary(first.machine->Committed().Snapshot()).size()) *
           perTask,
         "B");
  report("log_record_without_entries", empty, "B");
  report("log_entry_of_a_start",
         static_cast<double>(EncodeBinary(record).size()) - empty,
         "B");

  platform.values.erase(OwnerKey("cell-1"));
  const std::uint64_t readsBefore = platform.reads;
  const std::uint64_t writesBefore = platform.writes;
  const std::uint64_t bytesBefore = platform.bytesRead;
  const std::uint64_t callsBefore = platform.calls;
  InstantPlanner second(platform, "planner-2");
  int steps = 0;
  const auto began = std::chrono::steady_clock::now();
  do {
    now += kStep;
    ++steps;
    second.Step(now);
  } while (second.machine->Phase() != CellPhase::Active && steps < 100);
  now += kStep;
  second.Step(now);
  const std::chrono::duration<double, std::milli> spent =
    std::chrono::steady_clock::now() - began;
  report(
    "store_reads", static_cast<double>(platform.reads - readsBefore), "calls");
  report("store_writes",
         static_cast<double>(platform.writes - writesBefore),
         "calls");
  report("store_bytes_read",
         static_cast<double>(platform.bytesRead - bytesBefore),
         "B");
  report(
    "worker_calls", static_cast<double>(platform.calls - callsBefore), "calls");
  report("processor_time_to_adoption", spent.count(), "ms");
  report("tasks_adopted",
         static_cast<double>(CountRunning(second.machine->Committed())),
         "tasks");
}

const RegisterScenario kRecovery(
  "cell-recovery",
  "Takeover of a cell with 8 tasks per worker by a second planner, on a store "
  "and workers that answer at once. --set workers=N",
  RunRecovery);

} // namespace

} // namespace sequoiakeel
