// Recent observations of a primary's log position.
#include "src/interactive/position_history.h"

#include <algorithm>

namespace tarragondale::interactive {

void position_history::Add(const observed_position& observation) {
  if (!observations_.empty()) {
    const observed_position& last = observations_.back();
    if (observation.covers <= last.covers ||
        observation.position.term < last.position.term) {
      return;
    }
    if (observation.position.term > last.position.term) {
      observations_.clear();
    }
  }
  observations_.push_back(observation);
  while (observations_.front().covers + retention_ < observation.covers) {
    observations_.pop_front();
  }
}

std::optional<log_position> position_history::Covering(time_point bound) const {
  const auto found =
      std::lower_bound(observations_.begin(), observations_.end(), bound,
                       [](const observed_position& each, time_point at) {
                         return each.covers < at;
                       });
  if (found == observations_.end()) {
    return std::nullopt;
  }
  return found->position;
}

std::optional<observed_position> position_history::newest() const {
  if (observations_.empty()) {
    return std::nullopt;
  }
  return observations_.back();
}

}  // namespace tarragondale::interactive
