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

/** One quote request and its state. */
struct Quote
{
  std::uint64_t id = 0;
  TimePoint sent;
  /** Latest time at which a response that reaches the entry is in time. */
  TimePoint deadline;
  Duration work{ 0 };
  std::string team;
  bool urgent = false;
  bool cancelled = false;

  bool ended = false;
  std::uint32_t attempts = 0;
  /** Number of the current attempt; replies to earlier attempts are recognised
   * by a lower number. */
  std::uint32_t currentAttempt = 0;
  bool attemptInProgress = false;
  ServerId server = 0;
  TimePoint attemptSent;
  std::vector<ServerId> tried;
};

/** Receives the result of each quote. */
struct QuoteSink
{
  /** Called when the quote ends: without aRefusal if the entry received the
   * whole response, else with the reason of the failure. */
  std::function<void(const Quote&, std::optional<std::string> aRefusal)> end;
  std::function<void()> retry;
};

/** One entry host with its own state. It knows the state of the other entries
 * only from their delayed reports. */
class Entry
{
public:
  Entry(EventLoop& aLoop,
        Random& aRandom,
        const AssociationOptions& aOptions,
        std::vector<std::unique_ptr<Worker>>& aWorkers,
        std::uint32_t aIndex,
        QuoteSink aSink);

  /** Handles a new quote. */
  void Accept(std::shared_ptr<Quote> aQuote);
  /** Handles a quote whose caller has closed the connection. */
  void Cancel(const std::shared_ptr<Quote>& aQuote);

  /** Returns the number of this entry's requests in progress at each worker. */
  std::vector<std::uint32_t> Report() const;
  /** Handles a report that peer aPeer made at aTime. */
  void HandlePeerReport(std::uint32_t aPeer,
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
  void DispatchQueued();
  void EndDropped();
  void Send(const std::shared_ptr<Quote>& aQuote, ServerId aServer);
  void ScheduleAttemptTimeout(const std::shared_ptr<Quote>& aQuote);
  void Receive(const std::shared_ptr<Quote>& aQuote,
               std::uint32_t aAttempt,
               Reply aReply);
  void Retry(const std::shared_ptr<Quote>& aQuote, const char* aReason);
  /** Queues a refused request again for another worker. */
  void RequeueRefused(const std::shared_ptr<Quote>& aQuote);
  /** Retries the requests in progress at a server that was ejected as
   * unresponsive (a black hole), until attempts or retry budget run out. */
  void RetryUnanswered(ServerId aServer);
  /** Abandons the current attempt of a request and queues the request again.
   * Returns false without effect if its attempts or the retry budget are used
   * up. */
  bool AbandonAttempt(const std::shared_ptr<Quote>& aQuote);
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
  /** Requests in progress by server, in order of arrival. */
  std::vector<std::set<std::shared_ptr<Quote>, ById>> inProgress;
};

} // namespace sequoiakeel::bench
