#pragma once

#include "HttpClient.h"
#include "KeyValueStore.h"

#include <boost/asio/any_io_executor.hpp>

namespace sequoiakeel {

/**
 * Key-value store client for the JSON gRPC gateway of the etcd v3 API, as
 * published in the API reference of etcd, "JSON gRPC gateway". Thread safe.
 */
class EtcdStore : public KeyValueStore
{
public:
  /** aTimeout limits the duration of each call. */
  EtcdStore(boost::asio::any_io_executor aExecutor,
            Endpoint aEndpoint,
            Duration aTimeout = std::chrono::milliseconds(1500));

  boost::asio::awaitable<StoreReadReply> Get(std::string aKey) override;
  boost::asio::awaitable<StoreReadReply> GetVersion(std::string aKey) override;
  boost::asio::awaitable<StoreReadReply> Range(std::string aPrefix) override;
  boost::asio::awaitable<StoreWriteReply> CompareAndSwap(
    std::string aKey,
    std::uint64_t aExpected,
    std::string aValue,
    std::uint64_t aLease) override;
  boost::asio::awaitable<StoreWriteReply> CompareAndDelete(
    std::string aKey,
    std::uint64_t aExpected) override;
  boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::seconds aTtl) override;
  boost::asio::awaitable<StoreLeaseReply> RenewLease(
    std::uint64_t aLease) override;
  boost::asio::awaitable<StoreLeaseReply> RevokeLease(
    std::uint64_t aLease) override;

private:
  boost::asio::awaitable<ExchangeResult> Post(std::string aTarget,
                                              std::string aBody);
  boost::asio::awaitable<StoreReadReply> Read(std::string aBody);
  boost::asio::awaitable<StoreWriteReply> Transaction(std::string aBody);

  HttpClient client;
  Duration timeout;
};

} // namespace sequoiakeel
