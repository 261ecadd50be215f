/**
 * Guards against one odd entry, record or reply of another program that ends a
 * process, or that hides the well-formed entries beside it: nested very deeply,
 * with a number or a port out of range, or with a field of another type.
 */
#include "EtcdStore.h"
#include "HttpHostList.h"
#include "HttpServer.h"
#include "HttpWorkerAgent.h"
#include "Registry.h"
#include "StoreRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

std::string
Repeat(std::string_view aText, std::size_t aCount)
{
  std::string result;
  for (std::size_t i = 0; i < aCount; ++i) {
    result += aText;
  }
  return result;
}

/** Returns values that no field of an entry may have. */
std::vector<std::string>
OddValues()
{
  constexpr std::size_t kDepth = 100000;
  return { Repeat("[", kDepth) + Repeat("]", kDepth),
           Repeat("{\"a\":", kDepth) + "1" + Repeat("}", kDepth),
           "65536",
           "4294967376",
           "18446744073709551615",
           "18446744073709551616",
           "99999999999999999999999999999999999999999999999999",
           "1e300",
           "1e999",
           "-1",
           "0.5",
           "null",
           "\"abc\"",
           "{}",
           "[[]]",
           "true" };
}

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

/** A server on loopback that gives the same response to each request. */
class FixedServer
{
public:
  explicit FixedServer(std::string aBody)
    : body(std::move(aBody))
    , server(this->context,
             Endpoint{ "127.0.0.1", 0 },
             HttpServerLimits{},
             [this](HttpRequest aRequest) {
               return this->Answer(std::move(aRequest));
             })
  {
    this->server.Start();
  }

  Endpoint Address() const
  {
    return Endpoint{ "127.0.0.1", this->server.Port() };
  }

  asio::any_io_executor Executor() { return this->context.get_executor(); }

  /** Runs a call to its end; rethrows what it throws. */
  template<typename Result>
  Result Await(asio::awaitable<Result> aCall)
  {
    auto future =
      asio::co_spawn(this->context, std::move(aCall), asio::use_future);
    while (future.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      this->context.run_one();
    }
    return future.get();
  }

private:
  asio::awaitable<HttpResponse> Answer(HttpRequest /*aRequest*/)
  {
    co_return JsonResponse(200, this->body);
  }

  std::string body;
  asio::io_context context{ 1 };
  HttpServer server;
};

constexpr Duration kTimeout = std::chrono::seconds(5);

} // namespace

// Guards against a host list that is not followed any more because of one odd
// entry, and against ports that are cut to another number.
TEST_CASE("an odd entry does not hide the other hosts")
{
  const std::string good =
    R"({"host":"h1","address":"127.0.0.1","request_port":8080,"agent_port":8081,"zone":"z","rack":"r"})";
  for (const std::string& value : OddValues()) {
    for (const std::string field :
         { R"("request_port":8080)", R"("agent_port":8081)" }) {
      const std::string name = field.substr(0, field.find(':') + 1);
      const std::string odd = Replaced(good, field, name + value);
      const auto listing = DecodeHostListing(
        R"({"revision":3,"hosts":[)" + good + "," + odd + "," + good + "]}");
      // A text that is no JSON, or a number beyond the range of a double, makes
      // the whole reply unreadable.
      const bool parses = nlohmann::json::accept(value);
      REQUIRE(listing.has_value() == parses);
      CHECK((!listing || listing->hosts.size() == 2));
    }
  }
  for (const char* entry : { "7", "null", "[]", R"("h1")", R"({"host":5})" }) {
    const auto listing = DecodeHostListing(
      R"({"revision":3,"hosts":[)" + std::string(entry) + "," + good + "]}");
    REQUIRE(listing);
    CHECK(listing->hosts.size() == 1);
  }
}

// Guards against an exception, or an overflow of the stack, that a malformed
// reply of the store causes and that ends the process.
TEST_CASE("malformed replies of the store count as unreadable")
{
  for (const std::string& value : OddValues()) {
    FixedServer server(R"({"kvs":)" + value + R"(,"succeeded":)" + value +
                       R"(,"header":{"revision":)" + value + R"(},"ID":)" +
                       value + R"(,"TTL":)" + value + R"(,"result":{"TTL":)" +
                       value + "}}");
    EtcdStore store(server.Executor(), server.Address(), kTimeout);
    CHECK(server.Await(store.Get("key")).values.empty());
    const StoreWriteReply write =
      server.Await(store.CompareAndSwap("key", 1, "value", kNoLease));
    CHECK((write.result != StoreResult::Ok || value == "true"));
    const StoreLeaseReply lease =
      server.Await(store.GrantLease(std::chrono::seconds(5)));
    CHECK((lease.result != StoreResult::Ok || value == "65536"));
    CHECK_NOTHROW(server.Await(store.RenewLease(4)));
  }
}

// Guards against the same by a worker's reply.
TEST_CASE("malformed replies of a worker agent have an unknown result")
{
  for (const std::string& value : OddValues()) {
    const bool text = value.starts_with('"');
    FixedServer server(R"({"reason":)" + value + "}");
    HttpWorkerAgent agent(server.Executor(), kTimeout);
    const AgentTaskReply reply =
      server.Await(agent.Acknowledge(server.Address(), "task"));
    CHECK((text || reply.reason.empty()));
    CHECK_NOTHROW(server.Await(agent.Status(server.Address())));
  }
}

// Guards against a worker whose capacity wraps to a negative number or
// overflows sums over workers.
TEST_CASE("a worker's entry with an odd value is rejected or in range")
{
  const std::string good =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"seq":4,"room":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"born":77})";
  std::string none;
  REQUIRE(platform::DecodeWorker("i-1", good, none));
  for (const std::string& value : OddValues()) {
    for (const std::string field :
         { R"("service":"s")",
           R"("address":"10.0.0.9:8080")",
           R"("room":{"cpu":16000,"memMb":32768,"gpu":1})",
           R"("cpu":16000)",
           R"("memMb":32768)",
           R"("gpu":1)",
           R"("labels":["a","r1-3"])",
           R"("born":77)" }) {
      const std::string name = field.substr(0, field.find(':') + 1);
      std::string fault;
      const auto worker = platform::DecodeWorker(
        "i-1", Replaced(good, field, name + value), fault);
      if (!worker) {
        CHECK(!fault.empty());
        continue;
      }
      constexpr std::int64_t kMost = 1000000000000;
      CHECK(worker->capacity.cpuMilli >= 0);
      CHECK(worker->capacity.cpuMilli <= kMost);
      CHECK(worker->capacity.memoryMb >= 0);
      CHECK(worker->capacity.memoryMb <= kMost);
      CHECK(worker->capacity.accelerators >= 0);
      CHECK(worker->capacity.accelerators <= kMost);
    }
  }
}

// Guards against a record of the system that another program overwrote.
TEST_CASE("an odd record in the store is left out")
{
  for (const std::string& value : OddValues()) {
    StoreItem item;
    item.key = "sequoiakeel/record";
    for (const std::string& text :
         { value, R"({"node":)" + value + R"(,"cells":)" + value + "}" }) {
      item.value = text;
      CHECK_NOTHROW(DecodeRecord<WorkerRoster>(item));
      CHECK_NOTHROW(DecodeRecord<WorkflowProgress>(item));
      CHECK_NOTHROW(DecodeRecord<NodeRecord>(item));
      CHECK_NOTHROW(DecodeRecord<CellLayout>(item));
      CHECK_NOTHROW(DecodeRecord<CellOwnerRecord>(item));
      CHECK_NOTHROW(DecodeRecord<InterferenceEvidence>(item));
      CHECK_NOTHROW(DecodeRecord<LongRunningCapacity>(item));
      CHECK(!DecodeSubmission(item));
    }
  }
}
