#include "Association.h"

#include "AssociationEntry.h"
#include "AssociationWorld.h"
#include "Error.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(3);
constexpr Duration kMeasured = seconds(20);
/** Time after the measured period. Not shorter than the longest deadline, so
 * that every measured quote ends within the run. */
constexpr Duration kDrain = seconds(2);
constexpr Duration kDisturbanceStart = seconds(8);
constexpr Duration kDisturbanceEnd = seconds(16);
constexpr Duration kMeanWork = milliseconds(30);
/** Standard deviation of the logarithm of the log-normally distributed work. */
constexpr double kWorkSpread = 0.7;
constexpr Duration kMeanBatchTime = seconds(4);
constexpr double kUrgentShare = 0.05;
constexpr std::array<std::string_view, 8> kShapes = {
  "steady",      "load-shift",      "noisy-wave", "cancellation-wave",
  "sizes-wrong", "failing-workers", "zone-lost",  "busy-refusals"
};

/** Simulated deployment: callers, entries, workers and injected disturbances.
 */
class Deployment
{
public:
  explicit Deployment(const AssociationOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , worldRandom(aOptions.seed ^ 0x9E3779B97F4A7C15ULL)
  {
    for (std::uint32_t index = 0; index < kWorkers; ++index) {
      this->workers.push_back(
        std::make_unique<Worker>(this->loop, this->worldRandom, index));
      this->ScheduleBatchShift(index);
    }
    const QuoteSink sink = {
      [this](const Quote& aQuote, const std::optional<std::string>& aRefusal) {
        this->OnEnd(aQuote, aRefusal);
      },
      [this]() { this->retries += this->Measuring() ? 1 : 0; }
    };
    for (std::uint32_t index = 0; index < kEntries; ++index) {
      this->entries.push_back(std::make_unique<Entry>(
        this->loop, this->random, this->options, this->workers, index, sink));
      this->ScheduleTick(index);
      this->ScheduleReport(index);
    }
    this->ScheduleDisturbance();
    this->ScheduleQuote();
  }

  AssociationFigures Run()
  {
    this->loop.Run(this->start + kWarmUp + kMeasured + kDrain);
    return this->Figures();
  }

private:
  bool Is(std::string_view aShape) const
  {
    return this->options.shape == aShape;
  }

  Duration Elapsed() const { return this->loop.Now() - this->start; }

  bool Disturbed() const
  {
    return this->Elapsed() >= kDisturbanceStart &&
           this->Elapsed() < kDisturbanceEnd;
  }

  bool Measuring() const
  {
    return this->Elapsed() >= kWarmUp && this->Elapsed() < kWarmUp + kMeasured;
  }

  void ScheduleBatchShift(std::uint32_t aWorker)
  {
    this->loop.After(DrawExponential(this->worldRandom, kMeanBatchTime),
                     [this, aWorker]() {
                       this->workers[aWorker]->ReplaceBatchTask();
                       this->ScheduleBatchShift(aWorker);
                     });
  }

  void ScheduleTick(std::uint32_t aEntry)
  {
    this->loop.After(milliseconds(50), [this, aEntry]() {
      this->entries[aEntry]->Tick();
      this->ScheduleTick(aEntry);
    });
  }

  /** Schedules the next report of an entry. Peers forward reports to each
   * other, so each peer receives it after a different random delay. */
  void ScheduleReport(std::uint32_t aEntry)
  {
    this->loop.After(seconds(1), [this, aEntry]() {
      const std::vector<std::uint32_t> report = this->entries[aEntry]->Report();
      const TimePoint time = this->loop.Now();
      for (std::uint32_t peer = 0; peer < kEntries; ++peer) {
        if (peer == aEntry || this->options.probesPerRequest > 0) {
          continue;
        }
        const Duration delay =
          milliseconds(300) + Scaled(milliseconds(2700), this->Draw());
        this->loop.After(delay, [this, peer, aEntry, time, report]() {
          this->entries[peer]->HandlePeerReport(aEntry, time, report);
        });
      }
      this->ScheduleReport(aEntry);
    });
  }

  void ScheduleDisturbance()
  {
    if (this->Is("busy-refusals")) {
      for (const auto& worker : this->workers) {
        worker->SetRefusesAbove(0);
      }
    }
    if (this->Is("noisy-wave")) {
      for (std::uint32_t wave = 0; wave < 3; ++wave) {
        this->ScheduleWave(seconds(5 + 6 * wave));
      }
    }
    this->loop.After(kDisturbanceStart, [this]() { this->Disturb(true); });
    this->loop.After(kDisturbanceEnd, [this]() { this->Disturb(false); });
  }

  /** Schedules noisy tasks that slow two adjacent racks for four seconds. */
  void ScheduleWave(Duration aStart)
  {
    const std::size_t racks =
      (kWorkers + kWorkersPerRack - 1) / kWorkersPerRack;
    const std::size_t first = DrawIndex(this->worldRandom, racks - 1);
    this->loop.After(aStart, [this, first]() { this->SetNoise(first, 4); });
    this->loop.After(aStart + seconds(4),
                     [this, first]() { this->SetNoise(first, 1); });
  }

  void SetNoise(std::size_t aFirstRack, double aFactor)
  {
    for (std::uint32_t index = 0; index < kWorkers; ++index) {
      const std::size_t rack = index / kWorkersPerRack;
      if (rack == aFirstRack || rack == aFirstRack + 1) {
        this->workers[index]->SetNoise(aFactor);
      }
    }
  }

  void Disturb(bool aStart)
  {
    for (std::uint32_t index = 0; index < kWorkers; ++index) {
      Worker& worker = *this->workers[index];
      if (this->Is("failing-workers") && index % 20 == 7) {
        worker.SetFailing(aStart);
      }
      if (this->Is("zone-lost") && worker.Zone() == 0) {
        worker.SetUnresponsive(aStart);
      }
      if (this->Is("load-shift") && aStart && index % 5 == 0) {
        worker.FillWithHeavyBatch();
      }
    }
  }

  double Rate() const
  {
    const bool more = this->Is("load-shift") && this->Disturbed();
    return this->options.rate * (more ? 1.3 : 1);
  }

  void ScheduleQuote()
  {
    const Duration mean(static_cast<Duration::rep>(1e9 / this->Rate()));
    this->loop.After(DrawExponential(this->worldRandom, mean), [this]() {
      this->SendQuote();
      this->ScheduleQuote();
    });
  }

  double Draw() { return DrawUnit(this->worldRandom); }

  Duration DrawWork()
  {
    if (this->Is("sizes-wrong")) {
      return this->Draw() < 0.9 ? milliseconds(10) : milliseconds(210);
    }
    // Uses the Box-Muller transform because std::normal_distribution differs
    // between standard libraries.
    const double normal = std::sqrt(-2 * std::log(1 - this->Draw())) *
                          std::cos(2 * M_PI * this->Draw());
    return Scaled(
      kMeanWork,
      std::exp(kWorkSpread * normal - kWorkSpread * kWorkSpread / 2));
  }

  Duration DrawDeadline()
  {
    const double kind = this->Draw();
    if (kind < 0.3) {
      return milliseconds(300);
    }
    return kind < 0.8 ? milliseconds(600) : milliseconds(1500);
  }

  std::uint32_t DrawEntry()
  {
    const bool lost = this->Is("zone-lost") && this->Disturbed();
    const bool skewed = this->Is("load-shift") && this->Disturbed();
    while (true) {
      const auto entry =
        static_cast<std::uint32_t>(DrawIndex(this->worldRandom, kEntries));
      if (lost && entry % kZones == 0) {
        continue;
      }
      if (skewed && entry >= 3 && this->Draw() > 0.4) {
        continue;
      }
      return entry;
    }
  }

  void SendQuote()
  {
    auto quote = std::make_shared<Quote>();
    quote->id = this->nextId++;
    quote->sent = this->loop.Now();
    quote->work = this->DrawWork();
    quote->deadline = quote->sent + this->DrawDeadline() - kClientDelay;
    quote->team = "team-" + std::to_string(DrawIndex(this->worldRandom, 4));
    quote->urgent = this->Draw() < kUrgentShare;
    const std::uint32_t entry = this->DrawEntry();
    this->loop.After(kClientDelay, [this, quote, entry]() {
      this->entries[entry]->Accept(quote);
    });
    const bool wave =
      this->Is("cancellation-wave") && this->Elapsed() / seconds(2) % 2;
    if (wave && this->Draw() < 0.5) {
      quote->cancelled = true;
      this->loop.After(
        kClientDelay + milliseconds(5) + Scaled(milliseconds(55), this->Draw()),
        [this, quote, entry]() { this->entries[entry]->Cancel(quote); });
    }
  }

  void OnEnd(const Quote& aQuote, const std::optional<std::string>& aRefusal)
  {
    const Duration since = aQuote.sent - this->start;
    if (aQuote.cancelled || since < kWarmUp || since >= kWarmUp + kMeasured) {
      return;
    }
    ++this->quotes;
    Duration latency = this->loop.Now() + kClientDelay - aQuote.sent;
    if (aRefusal) {
      ++this->refusals[*aRefusal];
      // A caller without an answer waits until the deadline, so the full time
      // until the deadline counts as latency.
      latency = aQuote.deadline + kClientDelay - aQuote.sent;
    }
    this->latencies.push_back(
      std::chrono::duration<double, std::milli>(latency).count());
  }

  double Quantile(double aShare)
  {
    const auto place = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(this->latencies.size() - 1));
    const auto middle = this->latencies.begin() + place;
    std::nth_element(this->latencies.begin(), middle, this->latencies.end());
    return *middle;
  }

  AssociationFigures Figures()
  {
    const auto count = static_cast<double>(this->quotes);
    AssociationFigures figures;
    figures["p50"] = this->Quantile(0.5);
    figures["p99"] = this->Quantile(0.99);
    figures["p99.9"] = this->Quantile(0.999);
    double refused = 0;
    for (const auto& [reason, times] : this->refusals) {
      figures["refused-" + reason] = 1000 * static_cast<double>(times) / count;
      refused += static_cast<double>(times);
    }
    figures["refused"] = 1000 * refused / count;
    figures["in-time"] = 100 * (1 - refused / count);
    figures["retries"] = 1000 * static_cast<double>(this->retries) / count;
    return figures;
  }

  AssociationOptions options;
  Random random;
  Random worldRandom;
  EventLoop loop;
  TimePoint start = loop.Now();
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Entry>> entries;
  std::uint64_t nextId = 1;
  std::uint64_t quotes = 0;
  std::uint64_t retries = 0;
  std::map<std::string, std::uint64_t> refusals;
  std::vector<double> latencies;
};

} // namespace

std::span<const std::string_view>
AssociationShapes()
{
  return kShapes;
}

AssociationFigures
RunAssociation(const AssociationOptions& aOptions)
{
  UserAssert(std::ranges::find(kShapes, aOptions.shape) != kShapes.end(),
             "unknown shape: " + aOptions.shape);
  return Deployment(aOptions).Run();
}

} // namespace sequoiakeel::bench
