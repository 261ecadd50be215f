#pragma once

#include "Clock.h"
#include "generated/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>

namespace sequoiakeel::soak {

/** Fault that a proxy applies to the bytes between two processes. */
enum class PathFault : std::uint8_t
{
  None,
  /** Each chunk of data is delayed. */
  Delay,
  /** Requests are forwarded; responses are dropped. */
  OneWay,
  /** Data is dropped in both directions; connections stay open. */
  Silent,
  /** Data is held up in both directions and delivered in order after the fault,
   * except that of a sender that has reset its connection meanwhile. */
  Held,
};

/** Loopback TCP proxy to one endpoint that injects faults. All calls must run
 * on the executor, which has one thread. */
class FaultProxy
{
public:
  FaultProxy(boost::asio::any_io_executor aExecutor, Endpoint aTarget);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  ~FaultProxy();

  /** Returns the endpoint on which the proxy listens. */
  Endpoint Address() const;

  /** Sets the fault of open and of new connections. With aOpenOnly, only open
   * connections have the fault and new ones have none, as after a middlebox has
   * lost its connection-tracking state. */
  void SetFault(PathFault aFault, bool aOpenOnly = false);

  /** Limits the data of all connections together, in each direction. 0: no
   * limit. */
  void SetBandwidth(std::uint64_t aBytesPerSecond);

  /** Resets all open connections. */
  void Reset();

  struct State;

private:
  std::shared_ptr<State> state;
};

} // namespace sequoiakeel::soak
