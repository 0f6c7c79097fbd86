// What this VM knows of a primary's log over time.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_POSITION_HISTORY_H_
#define TARRAGONDALE_SRC_INTERACTIVE_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Observed positions of one group, oldest first.
///
/// A replica that holds the position of an observation has every commit that
/// was acknowledged before `covers`, so it may serve any read that accepts
/// data as old as that.
class position_history {
 public:
  explicit position_history(duration retention) : retention_(retention) {}

  /// @brief Adds an observation. One that is older than the newest is ignored.
  void Add(const observed_position& observation);

  /// @brief The least position that covers all commits acknowledged before
  /// `bound`; empty if no observation is as new.
  std::optional<log_position> Covering(time_point bound) const;

  std::optional<observed_position> newest() const;

 private:
  duration retention_;
  // Invariant: `covers` rises, and all positions have the term of the newest:
  // positions of an older term may have been rolled back by a failover, and
  // then no member ever holds them.
  std::deque<observed_position> observations_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_POSITION_HISTORY_H_
