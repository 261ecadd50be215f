#pragma once

#include "HttpServer.h"
#include "Random.h"
#include "support/FakePlatform.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace sequoiakeel::soak {

/** How the store misbehaves towards everybody. */
enum class StoreFault : std::uint8_t
{
  None,
  /** Refuses every call. */
  Busy,
  /** Answers nothing and does nothing. */
  Silent,
  /** Answers after a third of a second. */
  Slow,
  /** Does some calls without an answer. */
  LosesAnswers,
  /** Does some writes seconds later, without an answer. */
  Late,
};

/** The users' metadata store over HTTP. All calls run on the io_context, which
 * has one thread. */
class SoakStore
{
public:
  SoakStore(boost::asio::io_context& aContext, Random& aRandom);

  Endpoint Address() const { return { "127.0.0.1", this->server.Port() }; }

  void SetFault(StoreFault aFault) { this->fault = aFault; }

  /** While set, watches hear nothing; afterwards the history is dropped. */
  void SetDeaf(bool aDeaf) { this->store.SetWatchesBlocked(aDeaf); }

  /** Removes the owner's key of a cell without notice. */
  void RevokeOwner(std::uint32_t aCell);

  /** Writes a key as the platform or the operator does. */
  boost::asio::awaitable<void> Put(std::string aKey, std::string aValue);

private:
  boost::asio::awaitable<HttpResponse> Answer(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Carry(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Commit(nlohmann::json aBody);
  boost::asio::awaitable<HttpResponse> Range(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Watch(HttpRequest aRequest);

  boost::asio::io_context& context;
  Random& random;
  FakeTransactionalStore store;
  HttpServer server;
  StoreFault fault = StoreFault::None;
};

} // namespace sequoiakeel::soak
