// A TCP relay between a VM and one address, which can be cut like a link.
#ifndef TARRAGONDALE_REVIEW_STANDIN_DOOR_H_
#define TARRAGONDALE_REVIEW_STANDIN_DOOR_H_

#include <atomic>
#include <string>

#include "review/standin/net.h"

namespace review {

/// @brief Relays connections to `target`.
///
/// A cut behaves like a partition of the link: nothing passes, nothing is
/// reset. When it heals, bytes that were held up still arrive, even if their
/// sender closed its connection meanwhile, unless the sender reset it. A
/// connection that was opened during the cut, and whose opener has given up by
/// the end of the cut, was never there.
class door {
 public:
  door(const std::string& address, std::string target);

  void Cut() { cut_ = true; }
  void Heal() { cut_ = false; }
  /// @brief All connections that are open now go silent for good, without a
  /// reset; new ones work.
  void Silence() { ++generation_; }
  /// @brief Connections that are relayed now.
  int open() const { return open_; }

 private:
  void Serve(int socket);
  void Pump(int from, int to, int generation) const;
  bool Blocked(int generation) const;

  const std::string target_;
  std::atomic<bool> cut_{false};
  std::atomic<int> generation_{0};
  std::atomic<int> open_{0};
  server server_;
};

}  // namespace review

#endif  // TARRAGONDALE_REVIEW_STANDIN_DOOR_H_
