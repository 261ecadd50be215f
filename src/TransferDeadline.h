#pragma once

#include "Clock.h"

#include <cstddef>

namespace sequoiakeel {

/** Time limits of one exchange, that is, of one request and its response. */
struct TransferTimeout
{
  /** Limits the whole exchange, whatever it carries. */
  template<class Rep, class Period>
  constexpr TransferTimeout(std::chrono::duration<Rep, Period> aTotal)
    : total(aTotal)
  {
  }

  /** Limits the time for which an exchange may make no progress. The whole
   * exchange may take longer, in proportion to the bytes that it carries. The
   * peer may wait for up to aWait before it begins its response. Thread safe.
   */
  static constexpr TransferTimeout Silence(Duration aSilence,
                                           Duration aWait = Duration::zero())
  {
    TransferTimeout timeout(Duration::max());
    timeout.silence = aSilence;
    timeout.wait = aWait;
    return timeout;
  }

  /** Returns these limits with a further limit on the whole exchange. */
  constexpr TransferTimeout Within(Duration aTotal) const
  {
    TransferTimeout timeout = *this;
    timeout.total = aTotal < this->total ? aTotal : this->total;
    return timeout;
  }

  Duration total;
  Duration silence = Duration::max();
  Duration wait = Duration::zero();
};

/** Returns how long a request of aBytes may be under way to a peer that passes
 * it on, beyond the time for a small one. Thread safe. */
Duration
TimeToSend(std::size_t aBytes);

/**
 * Determines when an exchange is given up. A peer that is silent is given up
 * after TransferTimeout::silence. While bytes arrive, the limit follows from
 * what was carried so far and the least bandwidth of a transfer that shares a
 * host's link with others, so that a response which needs longer than any fixed
 * time still completes, and a peer that sends single bytes is given up. Not
 * thread safe.
 */
class TransferDeadline
{
public:
  TransferDeadline(TimePoint aBegun, TransferTimeout aTimeout);

  /** Records that aBytes of the request were passed to the network. */
  void Sent(std::size_t aBytes, TimePoint aNow);

  /** Records that aBytes of the response were received. */
  void Received(std::size_t aBytes, TimePoint aNow);

  /** Returns when the exchange is given up unless more bytes are carried. */
  TimePoint Expiry() const;

  std::size_t SentBytes() const { return this->sent; }
  std::size_t ReceivedBytes() const { return this->received; }

private:
  TimePoint begun;
  TransferTimeout timeout;
  TimePoint lastProgress;
  std::size_t sent = 0;
  std::size_t received = 0;
};

} // namespace sequoiakeel
