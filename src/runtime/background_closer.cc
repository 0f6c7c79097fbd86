// The thread that runs releases.
#include "src/runtime/background_closer.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace tarragondale::runtime {

// Shared with the thread, which may outlive all copies of the closer.
struct background_closer::queue {
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> waiting;
  bool running = false;  ///< A release is running.
  bool ended = false;    ///< No release will be added.

  void Run() {
    std::unique_lock lock(mutex);
    while (true) {
      changed.wait(lock, [this] { return ended || !waiting.empty(); });
      if (waiting.empty()) {
        return;
      }
      std::function<void()> release = std::move(waiting.front());
      waiting.pop_front();
      running = true;
      lock.unlock();
      release();
      release = nullptr;
      lock.lock();
      running = false;
      changed.notify_all();
    }
  }
};

// Tells the thread that the last copy of the closer is gone.
struct background_closer::owner {
  std::shared_ptr<queue> shared = std::make_shared<queue>();

  owner() {
    std::thread([shared = shared] { shared->Run(); }).detach();
  }
  owner(const owner&) = delete;
  owner& operator=(const owner&) = delete;
  ~owner() {
    const std::lock_guard lock(shared->mutex);
    shared->ended = true;
    shared->changed.notify_all();
  }
};

background_closer::background_closer() : owner_(std::make_shared<owner>()) {}

void background_closer::Add(std::function<void()> release) const {
  queue& to = *owner_->shared;
  const std::lock_guard lock(to.mutex);
  to.waiting.push_back(std::move(release));
  to.changed.notify_all();
}

bool background_closer::Wait(duration limit) const {
  queue& of = *owner_->shared;
  std::unique_lock lock(of.mutex);
  return of.changed.wait_for(
      lock, limit, [&of] { return of.waiting.empty() && !of.running; });
}

}  // namespace tarragondale::runtime
