// Recent observations of a primary's log position.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_POSITION_HISTORY_H_
#define TARRAGONDALE_SRC_INTERACTIVE_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Observed positions of one group, oldest first.
///
/// A replica that has applied the position of an observation has every commit
/// that was acknowledged before `covers`, so it may serve any read that accepts
/// data as old as `covers`.
class position_history {
 public:
  explicit position_history(duration retention) : retention_(retention) {}

  /// @brief Adds an observation. It is ignored if its `covers` is not later
  /// than that of the newest observation or if its term is lower. Otherwise, a
  /// higher term discards all earlier observations, and observations whose
  /// `covers` is more than `retention` before the new one are discarded.
  void Add(const observed_position& observation);

  /// @brief The lowest observed position that covers all commits acknowledged
  /// before `bound`; empty if every observation has an earlier `covers`.
  std::optional<log_position> Covering(time_point bound) const;

  std::optional<observed_position> newest() const;

 private:
  duration retention_;
  // Invariant: `covers` is strictly increasing, and all positions have the same
  // term. A failover may have rolled back positions of an older term, so that
  // no member would ever reach them.
  std::deque<observed_position> observations_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_POSITION_HISTORY_H_
