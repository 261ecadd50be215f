#pragma once

#include "Clock.h"
#include "generated/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>

namespace sequoiakeel::soak {

/** What a proxy does with the bytes between two processes. */
enum class PathFault : std::uint8_t
{
  None,
  /** Each piece arrives later. */
  Delay,
  /** Requests arrive, responses do not. */
  OneWay,
  /** Nothing arrives either way; connections stay open. */
  Silent,
};

/** A loopback proxy to one endpoint, with faults. All calls run on the
 * executor, which has one thread. */
class FaultProxy
{
public:
  FaultProxy(boost::asio::any_io_executor aExecutor, Endpoint aTarget);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  ~FaultProxy();

  /** Returns where the proxy listens. */
  Endpoint Address() const;

  /** Sets the fault of open and of new connections. With aOpenOnly, connections
   * made later have none, as when something between the ends has lost track of
   * the old ones. */
  void SetFault(PathFault aFault, bool aOpenOnly = false);

  /** Resets all open connections. */
  void Reset();

  struct State;

private:
  std::shared_ptr<State> state;
};

} // namespace sequoiakeel::soak
