// Bounded ring that joins two threads. Producers never block: a full ring
// refuses the item, so that overload becomes a refusal and never a wait.
#ifndef TARRAGONDALE_BASE_RING_H_
#define TARRAGONDALE_BASE_RING_H_

#include <tbb/concurrent_queue.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <semaphore>
#include <utility>

#include "tarragondale/base/time.h"

namespace tarragondale {

/// @brief Bounded multi-producer queue of typed messages.
///
/// The semaphore counts at least the items in the queue, so a consumer that
/// finds it at zero may sleep without missing an item.
template <typename T>
class ring {
 public:
  /// @param capacity Highest number of items, at least 1.
  /// @param wake Called after each push by the producer; for consumers that
  ///   run an event loop of their own. May be empty.
  explicit ring(size_t capacity, std::function<void()> wake = {})
      : wake_(std::move(wake)) {
    queue_.set_capacity(static_cast<std::ptrdiff_t>(capacity));
  }

  /// @brief Adds an item; false if the ring is full.
  bool TryPush(T item) {
    if (!queue_.try_push(std::move(item))) {
      return false;
    }
    available_.release();
    if (wake_) {
      wake_();
    }
    return true;
  }

  /// @brief Takes an item if there is one. Does not give up the processor.
  std::optional<T> TryPop() {
    // `try_acquire` of an empty semaphore yields the processor up to 16 times
    // in libstdc++, which takes tens of milliseconds on a busy machine.
    if (queue_.empty() || !available_.try_acquire()) {
      return std::nullopt;
    }
    return PopAvailable();
  }

  /// @brief Waits for an item until `deadline`.
  std::optional<T> PopUntil(time_point deadline) {
    if (!available_.try_acquire_until(deadline)) {
      return std::nullopt;
    }
    return PopAvailable();
  }

  /// @brief Number of items at this moment.
  size_t SizeApprox() const {
    const auto count = queue_.size();
    return count > 0 ? static_cast<size_t>(count) : 0;
  }

 private:
  std::optional<T> PopAvailable() {
    T item{};
    // An acquired permit stands for an item that is in the queue already.
    while (!queue_.try_pop(item)) {
    }
    return item;
  }

  tbb::concurrent_bounded_queue<T> queue_;
  // A counter of int size waits on the futex itself; a wider one goes through
  // a proxy address in libstdc++.
  static constexpr std::ptrdiff_t kMaxItems = 1 << 30;
  std::counting_semaphore<kMaxItems> available_{0};
  std::function<void()> wake_;
};

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_RING_H_
