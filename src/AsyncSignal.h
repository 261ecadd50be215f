#pragma once

#include "Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sequoiakeel {

/** Wakes one coroutine. Not thread safe: all calls run on one strand. */
class AsyncSignal
{
public:
  explicit AsyncSignal(const boost::asio::any_io_executor& aExecutor)
    : timer(aExecutor)
  {
  }

  /** Ends the current wait. If no coroutine waits, the next wait returns at
   * once. */
  void Notify()
  {
    this->notified = true;
    this->timer.cancel();
  }

  /** Waits until Notify() is called, at most for aLongest. Precondition: no
   * other coroutine waits. */
  boost::asio::awaitable<void> Wait(Duration aLongest)
  {
    if (!this->notified) {
      boost::system::error_code ignored;
      this->timer.expires_after(aLongest);
      co_await this->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    this->notified = false;
  }

private:
  boost::asio::steady_timer timer;
  bool notified = false;
};

/** Suspends a coroutine for aTime with a timer on aExecutor. Thread safe. */
inline boost::asio::awaitable<void>
SleepFor(boost::asio::any_io_executor aExecutor, Duration aTime)
{
  boost::asio::steady_timer timer(aExecutor, aTime);
  boost::system::error_code ignored;
  co_await timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace sequoiakeel
