#pragma once

#include "Association.h"
#include "AssociationWorld.h"
#include "RequestQueue.h"
#include "ServerTable.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel::bench {

/** One quote request and what became of it. */
struct Quote
{
  std::uint64_t id = 0;
  TimePoint sent;
  /** Time at the entry after which a response comes too late. */
  TimePoint deadline;
  Duration work{ 0 };
  std::string team;
  bool urgent = false;
  bool cancelled = false;

  bool ended = false;
  std::uint32_t attempts = 0;
  /** Counts attempts, so that replies to earlier ones are recognised. */
  std::uint32_t current = 0;
  bool open = false;
  ServerId server = 0;
  TimePoint attemptSent;
  std::vector<ServerId> tried;
};

/** Receives the result of each quote. */
struct QuoteSink
{
  /** The entry has the whole response, or gave up with a reason. */
  std::function<void(const Quote&, std::optional<std::string> aRefusal)> end;
  std::function<void()> retry;
};

/** One entry host with its own state; the other entries are known only by
 * their late reports. */
class Entry
{
public:
  Entry(EventLoop& aLoop,
        Random& aRandom,
        const AssociationOptions& aOptions,
        std::vector<std::unique_ptr<Worker>>& aWorkers,
        std::uint32_t aIndex,
        QuoteSink aSink);

  /** A quote arrives. */
  void Accept(std::shared_ptr<Quote> aQuote);
  /** The caller hangs up. */
  void Cancel(const std::shared_ptr<Quote>& aQuote);

  /** Returns the requests in progress at each worker. */
  std::vector<std::uint32_t> Report() const;
  /** A peer's report arrives. */
  void Learn(std::uint32_t aPeer,
             TimePoint aTime,
             const std::vector<std::uint32_t>& aReport);
  void Tick();

private:
  struct ById
  {
    bool operator()(const std::shared_ptr<Quote>& aLeft,
                    const std::shared_ptr<Quote>& aRight) const
    {
      return aLeft->id < aRight->id;
    }
  };
  struct PeerReport
  {
    TimePoint time;
    std::vector<std::uint32_t> inFlight;
  };

  void Queue(const std::shared_ptr<Quote>& aQuote);
  void Drain();
  void EndDropped();
  void Send(const std::shared_ptr<Quote>& aQuote, ServerId aServer);
  void Watch(const std::shared_ptr<Quote>& aQuote);
  void Receive(const std::shared_ptr<Quote>& aQuote,
               std::uint32_t aAttempt,
               Reply aReply);
  void Retry(const std::shared_ptr<Quote>& aQuote, const char* aReason);
  /** Sends a refused request elsewhere. */
  void GoElsewhere(const std::shared_ptr<Quote>& aQuote);
  /** Retries what a black hole has not answered. */
  void Rescue(ServerId aServer);
  /** Retries a request that is in progress, if the budget allows. */
  bool GiveUp(const std::shared_ptr<Quote>& aQuote);
  void Close(const std::shared_ptr<Quote>& aQuote);
  void End(const std::shared_ptr<Quote>& aQuote,
           std::optional<std::string> aRefusal);
  void Probe();
  Duration DelayTo(const Worker& aWorker) const;

  EventLoop& loop;
  Random& random;
  const AssociationOptions& options;
  std::vector<std::unique_ptr<Worker>>& workers;
  std::uint32_t zone;
  QuoteSink sink;
  ServerTable table;
  std::unique_ptr<RequestQueue> queue;
  RetryBudget budget;
  std::map<std::uint64_t, std::shared_ptr<Quote>> queued;
  std::vector<PeerReport> reports;
  /** By server, in the order of arrival. */
  std::vector<std::set<std::shared_ptr<Quote>, ById>> inProgress;
};

} // namespace sequoiakeel::bench
