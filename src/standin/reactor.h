// The single thread on which all parts of a stand-in run, and waiting between
// its coroutines. Since there is one thread, parts need no locks.
#ifndef SRC_STANDIN_REACTOR_H_
#define SRC_STANDIN_REACTOR_H_

#include "src/standin/coroutine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <future>
#include <set>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::standin {

namespace net = boost::asio;
using tcp = net::ip::tcp;

template <typename T>
using task = net::awaitable<T>;

/// @brief Runs coroutines and ends all of them on shutdown.
class reactor {
 public:
  net::io_context& context() { return context_; }
  bool stopping() const { return stopping_; }

  /// @brief Starts a coroutine. An exception ends only this coroutine.
  void Spawn(task<void> work);

  /// @brief Waits until `deadline` or until the timer, which is listed in
  /// `waiters` meanwhile, is cancelled. Throws `operation_aborted` on shutdown.
  task<void> Wait(std::set<net::steady_timer*>& waiters, time_point deadline);

  task<void> Sleep(duration span);

  /// @brief Runs `work` on the reactor's thread and waits for its result.
  template <typename Work>
  auto Call(Work work) {
    std::packaged_task<decltype(work())()> call(std::move(work));
    auto done = call.get_future();
    net::post(context_, [&call] { call(); });
    return done.get();
  }

  /// @brief Ends all waits; `on_shutdown` callbacks close sockets.
  void Shutdown();

  /// @brief Adds a callback for `Shutdown`.
  void OnShutdown(std::function<void()> callback);

 private:
  net::io_context context_{1};
  bool stopping_ = false;
  std::set<net::steady_timer*> timers_;
  std::vector<std::function<void()>> on_shutdown_;
};

/// @brief Wakes coroutines that wait for a condition, like a condition
/// variable. A woken coroutine must check its condition again.
class signal {
 public:
  explicit signal(reactor& loop) : loop_(loop) {}

  task<void> Wait() { return WaitUntil(time_point::max()); }
  task<void> WaitUntil(time_point deadline) {
    return loop_.Wait(waiters_, deadline);
  }
  void NotifyAll();

 private:
  reactor& loop_;
  std::set<net::steady_timer*> waiters_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_REACTOR_H_
