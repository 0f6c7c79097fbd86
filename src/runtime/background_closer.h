// Releases of resources that may block, away from the threads that drop them.
#ifndef TARRAGONDALE_SRC_RUNTIME_BACKGROUND_CLOSER_H_
#define TARRAGONDALE_SRC_RUNTIME_BACKGROUND_CLOSER_H_

#include <functional>
#include <memory>

#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief Runs releases one after the other on a thread of its own. A release
/// that never returns delays later ones only. Thread-safe; copies share the
/// thread, which ends after the last copy is gone and all releases ran.
class background_closer {
 public:
  background_closer();

  /// @brief Queues a release and returns at once.
  void Add(std::function<void()> release) const;

  /// @brief Waits until all queued releases ran; false if that takes longer
  /// than `limit`.
  bool Wait(duration limit) const;

 private:
  struct queue;
  struct owner;
  std::shared_ptr<owner> owner_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_BACKGROUND_CLOSER_H_
