#include "AssociationEntry.h"

namespace sequoiakeel::bench {

namespace {

constexpr std::size_t kQueueLimit = 512;

ServerTableOptions
TableOptions(const AssociationOptions& aOptions, std::uint32_t aZone)
{
  ServerTableOptions options;
  options.zone = kZoneNames[aZone];
  options.slots = kSlots;
  options.connectionsPerWorker = kConnections;
  options.policy = aOptions.naive ? "naive" : "current";
  options.routing = aOptions.routing;
  if (aOptions.disabledPart == "health") {
    options.health.maxEjectedShare = 0;
    options.health.maxSlowShare = 0;
  }
  return options;
}

const char*
QueueName(const AssociationOptions& aOptions)
{
  const bool naive = aOptions.naive || aOptions.disabledPart == "queue";
  return naive ? "naive" : "current";
}

std::unique_ptr<RoutingPolicy>
MakePolicy(const AssociationOptions& aOptions)
{
  if (aOptions.makePolicy) {
    return aOptions.makePolicy();
  }
  return MakeRoutingPolicy(aOptions.naive ? "naive" : "current",
                           aOptions.routing);
}

} // namespace

Entry::Entry(EventLoop& aLoop,
             Random& aRandom,
             const AssociationOptions& aOptions,
             std::vector<std::unique_ptr<Worker>>& aWorkers,
             std::uint32_t aIndex,
             QuoteSink aSink)
  : loop(aLoop)
  , random(aRandom)
  , options(aOptions)
  , workers(aWorkers)
  , zone(aIndex % kZones)
  , sink(std::move(aSink))
  , table(TableOptions(aOptions, aIndex % kZones), MakePolicy(aOptions))
  , queue(MakeRequestQueue(QueueName(aOptions), kQueueLimit))
  , budget(aOptions.retry)
  , reports(kEntries)
  , inProgress(kWorkers)
{
  for (std::uint32_t worker = 0; worker < kWorkers; ++worker) {
    // The table assigns ids from 0, so each id equals the worker's index.
    this->table.Add("worker-" + std::to_string(worker),
                    std::string(kZoneNames[this->workers[worker]->Zone()]));
  }
}

void
Entry::Accept(std::shared_ptr<Quote> aQuote)
{
  this->budget.OnRequest();
  const Duration left = aQuote->deadline - this->loop.Now();
  this->loop.After(left, [this, aQuote]() {
    if (aQuote->ended) {
      return;
    }
    if (aQuote->attemptInProgress) {
      this->Close(aQuote);
      this->table.OnTimeout(aQuote->server,
                            this->loop.Now() - aQuote->attemptSent,
                            this->loop.Now());
    }
    this->End(aQuote, "deadline-passed");
    this->DispatchQueued();
  });
  this->Queue(aQuote);
}

void
Entry::Cancel(const std::shared_ptr<Quote>& aQuote)
{
  if (aQuote->ended) {
    return;
  }
  aQuote->cancelled = true;
  if (aQuote->attemptInProgress) {
    this->Close(aQuote);
    this->table.OnAbandoned(aQuote->server, this->loop.Now());
  }
  this->End(aQuote, "cancelled");
  this->DispatchQueued();
}

std::vector<std::uint32_t>
Entry::Report() const
{
  std::vector<std::uint32_t> report(kWorkers);
  for (const ServerView& view : this->table.Views()) {
    report[view.id] = view.inFlight;
  }
  return report;
}

void
Entry::HandlePeerReport(std::uint32_t aPeer,
                        TimePoint aTime,
                        const std::vector<std::uint32_t>& aReport)
{
  if (this->reports[aPeer].time > aTime) {
    return;
  }
  this->reports[aPeer] = { aTime, aReport };
  for (std::uint32_t worker = 0; worker < kWorkers; ++worker) {
    double inFlight = 0;
    Duration ages{ 0 };
    Duration::rep known = 0;
    for (const PeerReport& report : this->reports) {
      if (report.inFlight.empty()) {
        continue;
      }
      inFlight += report.inFlight[worker];
      ages += this->loop.Now() - report.time;
      ++known;
    }
    this->table.SetPeersInFlight(
      worker, inFlight, this->loop.Now() - ages / known, this->loop.Now());
  }
}

void
Entry::Tick()
{
  this->table.Tick(this->loop.Now(), this->random);
  for (const HealthChange& change : this->table.TakeHealthChanges()) {
    if (change.state == HealthState::Ejected && IsUnresponsive(change.reason)) {
      this->RetryUnanswered(change.server);
    }
  }
  this->queue->Expire(this->loop.Now());
  this->EndDropped();
  this->DispatchQueued();
}

void
Entry::RetryUnanswered(ServerId aServer)
{
  const std::vector<std::shared_ptr<Quote>> lost(
    this->inProgress[aServer].begin(), this->inProgress[aServer].end());
  for (const std::shared_ptr<Quote>& quote : lost) {
    if (quote->attemptInProgress && quote->server == aServer &&
        !this->AbandonAttempt(quote)) {
      return;
    }
  }
}

bool
Entry::AbandonAttempt(const std::shared_ptr<Quote>& aQuote)
{
  if (aQuote->attempts >= this->options.retry.attempts ||
      !this->budget.TryTake()) {
    return false;
  }
  this->Close(aQuote);
  this->table.OnTimeout(
    aQuote->server, this->loop.Now() - aQuote->attemptSent, this->loop.Now());
  aQuote->tried.push_back(aQuote->server);
  this->sink.retry();
  this->Queue(aQuote);
  return true;
}

void
Entry::Close(const std::shared_ptr<Quote>& aQuote)
{
  aQuote->attemptInProgress = false;
  this->inProgress[aQuote->server].erase(aQuote);
}

void
Entry::Queue(const std::shared_ptr<Quote>& aQuote)
{
  QueuedRequest request;
  request.id = aQuote->id;
  request.team = aQuote->team;
  request.deadline = aQuote->deadline;
  request.urgent = aQuote->urgent;
  request.expectedLatency = this->table.ExpectedLatency();
  const std::optional<QueueRefusal> refusal =
    this->queue->Push(std::move(request), this->loop.Now());
  if (refusal) {
    this->End(aQuote, std::string(ToText(*refusal)));
    return;
  }
  this->queued[aQuote->id] = aQuote;
  this->EndDropped();
  this->DispatchQueued();
}

void
Entry::DispatchQueued()
{
  while (const QueuedRequest* first = this->queue->Front(this->loop.Now())) {
    const std::shared_ptr<Quote> quote = this->queued.at(first->id);
    RequestView request;
    request.deadline = quote->deadline;
    request.urgent = quote->urgent;
    request.tried = quote->tried;
    const RoutingDecision decision =
      this->table.Choose(request, this->loop.Now(), this->random);
    if (!decision.index) {
      break;
    }
    this->queue->Pop(this->loop.Now());
    this->queued.erase(quote->id);
    this->Send(quote, this->table.Views()[*decision.index].id);
  }
  this->EndDropped();
}

void
Entry::EndDropped()
{
  for (const DroppedRequest& dropped : this->queue->TakeDropped()) {
    const std::shared_ptr<Quote> quote = this->queued.at(dropped.id);
    this->queued.erase(dropped.id);
    this->End(quote, std::string(ToText(dropped.reason)));
  }
}

void
Entry::Send(const std::shared_ptr<Quote>& aQuote, ServerId aServer)
{
  this->table.OnStart(aServer, this->loop.Now());
  ++aQuote->attempts;
  const std::uint32_t attempt = ++aQuote->currentAttempt;
  aQuote->attemptInProgress = true;
  aQuote->server = aServer;
  this->inProgress[aServer].insert(aQuote);
  aQuote->attemptSent = this->loop.Now();
  Worker& worker = *this->workers[aServer];
  const Duration delay = this->DelayTo(worker);
  const auto wanted = [aQuote, attempt]() {
    return aQuote->attemptInProgress && aQuote->currentAttempt == attempt;
  };
  const auto respond = [this, aQuote, attempt, delay](Reply aReply) {
    this->loop.After(delay, [this, aQuote, attempt, aReply]() {
      this->Receive(aQuote, attempt, aReply);
    });
  };
  this->loop.After(delay, [&worker, aQuote, wanted, respond]() {
    worker.Receive(aQuote->work, wanted, respond);
  });
  this->ScheduleAttemptTimeout(aQuote);
  this->Probe();
}

void
Entry::ScheduleAttemptTimeout(const std::shared_ptr<Quote>& aQuote)
{
  if (this->options.naive || aQuote->attempts >= this->options.retry.attempts) {
    return;
  }
  const std::optional<Duration> limit =
    AttemptTimeout(this->options.retry,
                   this->table.TypicalLatency(),
                   this->table.P99Latency(),
                   aQuote->deadline - this->loop.Now());
  if (!limit) {
    return;
  }
  this->loop.After(*limit, [this, aQuote, attempt = aQuote->currentAttempt]() {
    if (aQuote->attemptInProgress && aQuote->currentAttempt == attempt) {
      this->AbandonAttempt(aQuote);
    }
  });
}

void
Entry::Receive(const std::shared_ptr<Quote>& aQuote,
               std::uint32_t aAttempt,
               Reply aReply)
{
  if (!aQuote->attemptInProgress || aQuote->currentAttempt != aAttempt) {
    return;
  }
  this->Close(aQuote);
  const TimePoint now = this->loop.Now();
  switch (aReply) {
    case Reply::Done:
      this->table.OnResponse(aQuote->server, now - aQuote->attemptSent, now);
      this->End(aQuote, std::nullopt);
      break;
    case Reply::Busy:
      this->table.OnRefusal(aQuote->server, now);
      this->RequeueRefused(aQuote);
      break;
    case Reply::Failed:
      this->table.OnFailure(aQuote->server, now);
      this->Retry(aQuote, "failed");
      break;
  }
  this->DispatchQueued();
}

void
Entry::Retry(const std::shared_ptr<Quote>& aQuote, const char* aReason)
{
  if (aQuote->attempts >= this->options.retry.attempts) {
    this->End(aQuote, aReason);
    return;
  }
  if (this->options.naive) {
    this->sink.retry();
    this->Queue(aQuote);
    return;
  }
  if (!this->budget.TryTake()) {
    this->End(aQuote, std::string(aReason) + "-no-retry-budget");
    return;
  }
  this->sink.retry();
  aQuote->tried.push_back(aQuote->server);
  this->loop.After(this->budget.Backoff(aQuote->attempts, this->random),
                   [this, aQuote]() {
                     if (!aQuote->ended) {
                       this->Queue(aQuote);
                     }
                   });
}

void
Entry::RequeueRefused(const std::shared_ptr<Quote>& aQuote)
{
  if (this->options.naive) {
    this->Retry(aQuote, "busy");
    return;
  }
  // A refused request has not run, so it can be retried until its caller
  // stops waiting. If the retry budget is empty, the request is queued again
  // after a backoff.
  this->sink.retry();
  aQuote->tried.push_back(aQuote->server);
  if (this->budget.TryTake()) {
    this->Queue(aQuote);
    return;
  }
  this->loop.After(this->budget.Backoff(aQuote->attempts + 1, this->random),
                   [this, aQuote]() {
                     if (!aQuote->ended) {
                       this->Queue(aQuote);
                     }
                   });
}

void
Entry::End(const std::shared_ptr<Quote>& aQuote,
           std::optional<std::string> aRefusal)
{
  if (aQuote->ended) {
    return;
  }
  aQuote->ended = true;
  if (this->queued.erase(aQuote->id) > 0) {
    this->queue->Remove(aQuote->id);
  }
  this->sink.end(*aQuote, std::move(aRefusal));
}

void
Entry::Probe()
{
  for (std::uint32_t probe = 0; probe < this->options.probesPerRequest;
       ++probe) {
    const auto index =
      static_cast<std::uint32_t>(DrawIndex(this->random, kWorkers));
    const Duration delay = this->DelayTo(*this->workers[index]);
    this->loop.After(delay, [this, index, delay]() {
      if (this->workers[index]->Unresponsive()) {
        return;
      }
      const double load = this->workers[index]->Load();
      this->loop.After(delay, [this, index, load]() {
        const double own = this->table.Views()[index].inFlight;
        this->table.SetPeersInFlight(
          index, std::max(0.0, load - own), this->loop.Now(), this->loop.Now());
      });
    });
  }
}

Duration
Entry::DelayTo(const Worker& aWorker) const
{
  return aWorker.Zone() == this->zone ? kLocalDelay : kZoneDelay;
}

} // namespace sequoiakeel::bench
