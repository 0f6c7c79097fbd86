// Runs one decision state machine on a thread of its own, fed by a bounded
// ring.
#ifndef TARRAGONDALE_SRC_RUNTIME_DUTY_THREAD_H_
#define TARRAGONDALE_SRC_RUNTIME_DUTY_THREAD_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

#include "tarragondale/base.h"
#include "tarragondale/base/ring.h"

namespace tarragondale::runtime {

/// @brief A thread that takes events from a ring, and runs timers. Everything
/// that the three functions touch belongs to this thread while it runs.
template <typename Event>
class duty_thread {
 public:
  struct functions {
    std::function<void(time_point now, Event event)> handle;
    std::function<void(time_point now)> tick;
    /// When `tick` is due, if ever.
    std::function<std::optional<time_point>()> next_deadline;
  };

  duty_thread(size_t capacity, functions functions)
      : events_(capacity), functions_(std::move(functions)) {}
  ~duty_thread() { Stop(); }
  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  /// @brief Adds an event; false if the ring is full. Thread-safe.
  bool Post(Event event) { return events_.TryPush(std::move(event)); }

  /// @brief Number of events that wait. Thread-safe.
  size_t SizeApprox() const { return events_.SizeApprox(); }

  /// @brief Ends the thread; events that are left are not handled.
  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  // Longest sleep, so that Stop() is seen without a wake-up event.
  static constexpr duration kMaxSleep = milliseconds(50);
  // Shortest time between two ticks; bounds the cost of an overdue timer.
  static constexpr duration kMinTick = milliseconds(1);
  // Events handled between two looks at the timers.
  static constexpr int kBatch = 64;

  void Run() {
    time_point last_tick;
    while (!stopping_) {
      const time_point latest = Now() + kMaxSleep;
      const time_point due = std::max(
          functions_.next_deadline().value_or(latest), last_tick + kMinTick);
      HandleBatch(std::min(due, latest));
      if (Now() >= due) {
        last_tick = Now();
        functions_.tick(last_tick);
      }
    }
  }

  void HandleBatch(time_point deadline) {
    auto event = events_.PopUntil(deadline);
    for (int i = 1; event; ++i) {
      functions_.handle(Now(), std::move(*event));
      if (i == kBatch) {
        return;
      }
      event = events_.TryPop();
    }
  }

  static time_point Now() { return std::chrono::steady_clock::now(); }

  ring<Event> events_;
  const functions functions_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_DUTY_THREAD_H_
