#pragma once

#include "HttpServer.h"
#include "Random.h"
#include "support/FakePlatform.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace sequoiakeel::soak {

/** Fault of the store that affects all of its clients. */
enum class StoreFault : std::uint8_t
{
  None,
  /** Rejects every request with status 503. */
  Busy,
  /** Executes no request; responses are delayed beyond the client time-out. */
  Silent,
  /** Delays every request by about a third of a second. */
  Slow,
  /** Executes some POST requests but delays their responses beyond the client
   * time-out. */
  LostResponses,
  /** Executes some POST requests seconds late, after the client has timed out.
   */
  Late,
};

/** Simulated metadata store of the platform, served over HTTP. All calls must
 * run on the io_context, which has one thread. */
class SoakStore
{
public:
  SoakStore(boost::asio::io_context& aContext, Random& aRandom);

  Endpoint Address() const { return { "127.0.0.1", this->server.Port() }; }

  void SetFault(StoreFault aFault) { this->fault = aFault; }

  /** While set, watches receive no events. The event history is dropped when
   * the fault is cleared. */
  void SetWatchesBlocked(bool aDeaf) { this->store.SetWatchesBlocked(aDeaf); }

  /** Limits the items of a page of a range. Pages are small by default, so that
   * ranges span several. */
  void SetPageItems(std::size_t aItems) { this->pageItems = aItems; }

  /** Rejects all reads and watches of a key with status 503; of none if it is
   * empty. */
  void RejectReadsOf(std::string aKey) { this->rejectedKey = std::move(aKey); }

  /** Removes the owner key of a cell without prior notice to the owner. */
  void RevokeOwner(std::uint32_t aCell);

  /** Returns the name of the process that owns a cell, or an empty string. */
  boost::asio::awaitable<std::string> OwnerOf(std::uint32_t aCell);

  /** Removes the registry entry of a worker. */
  void RemoveWorker(const std::string& aId)
  {
    this->store.Remove("servers/" + aId);
  }

  /** Removes a key on behalf of the operator. */
  void Remove(const std::string& aKey) { this->store.Remove(aKey); }

  /** Writes a key on behalf of the platform or the operator. */
  boost::asio::awaitable<void> Put(std::string aKey, std::string aValue);

private:
  boost::asio::awaitable<HttpResponse> Answer(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Execute(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Commit(nlohmann::json aBody);
  boost::asio::awaitable<HttpResponse> Range(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Watch(HttpRequest aRequest);

  boost::asio::io_context& context;
  Random& random;
  FakeTransactionalStore store;
  HttpServer server;
  StoreFault fault = StoreFault::None;
  std::size_t pageItems = 50;
  std::string rejectedKey;
};

} // namespace sequoiakeel::soak
