// Minimum of the values of the last seconds.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_RECENT_MINIMUM_H_
#define TARRAGONDALE_SRC_INTERACTIVE_RECENT_MINIMUM_H_

#include <algorithm>
#include <optional>

#include "tarragondale/base.h"

namespace tarragondale::interactive {

/// @brief Minimum over at least the last 5 s with values, at most 10 s.
class recent_minimum {
 public:
  void Add(duration value, time_point now) {
    if (!current_ || now - started_ > kPeriod) {
      previous_ = current_;
      current_ = value;
      started_ = now;
    }
    current_ = std::min(*current_, value);
  }

  /// @brief 0 if there is no value.
  duration value() const {
    const duration current = current_.value_or(duration(0));
    return previous_ ? std::min(*previous_, current) : current;
  }

 private:
  static constexpr duration kPeriod = seconds(5);
  std::optional<duration> current_;
  std::optional<duration> previous_;
  time_point started_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_RECENT_MINIMUM_H_
