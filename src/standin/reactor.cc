// Implements waiting between coroutines and shutdown.
#include "src/standin/reactor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace tarragondale::standin {
namespace {

void IgnoreEnd(const std::exception_ptr& /*error*/) {}

// Takes a timer out of the sets even if the coroutine is destroyed.
class listed_timer {
 public:
  listed_timer(net::steady_timer& timer,
               std::set<net::steady_timer*>& all,
               std::set<net::steady_timer*>& waiters)
      : timer_(timer), all_(all), waiters_(waiters) {
    all_.insert(&timer_);
    waiters_.insert(&timer_);
  }
  listed_timer(const listed_timer&) = delete;
  listed_timer& operator=(const listed_timer&) = delete;
  ~listed_timer() {
    all_.erase(&timer_);
    waiters_.erase(&timer_);
  }

 private:
  net::steady_timer& timer_;
  std::set<net::steady_timer*>& all_;
  std::set<net::steady_timer*>& waiters_;
};

[[noreturn]] void ThrowAborted() {
  throw boost::system::system_error(net::error::operation_aborted);
}

}  // namespace

void reactor::Spawn(task<void> work) {
  net::co_spawn(context_, std::move(work), IgnoreEnd);
}

task<void> reactor::Wait(std::set<net::steady_timer*>& waiters,
                         time_point deadline) {
  if (stopping_) {
    ThrowAborted();
  }
  net::steady_timer timer(context_, deadline);
  const listed_timer listed(timer, timers_, waiters);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  if (stopping_) {
    ThrowAborted();
  }
}

task<void> reactor::Sleep(duration span) {
  std::set<net::steady_timer*> waiters;
  if (span > duration::zero()) {
    co_await Wait(waiters, std::chrono::steady_clock::now() + span);
  }
}

void reactor::Shutdown() {
  stopping_ = true;
  for (const auto& callback : on_shutdown_) {
    callback();
  }
  for (net::steady_timer* const timer : timers_) {
    timer->cancel();
  }
}

void reactor::OnShutdown(std::function<void()> callback) {
  on_shutdown_.push_back(std::move(callback));
}

void signal::NotifyAll() {
  for (net::steady_timer* const timer : waiters_) {
    timer->cancel();
  }
}

}  // namespace tarragondale::standin
