// Timeout that follows the observed response times.
#ifndef TARRAGONDALE_SRC_POOL_ADAPTIVE_LIMIT_H_
#define TARRAGONDALE_SRC_POOL_ADAPTIVE_LIMIT_H_

#include <algorithm>
#include <cmath>

#include "tarragondale/base.h"

namespace tarragondale::pool {

/// @brief Moving mean and mean deviation, as TCP estimates round trips
/// (Jacobson, 1988).
class adaptive_limit {
 public:
  adaptive_limit(duration floor, duration ceiling)
      : floor_(floor), ceiling_(ceiling) {}

  void Add(duration sample) {
    constexpr double kMeanGain = 1.0 / 8;
    constexpr double kDeviationGain = 1.0 / 4;
    const auto value = static_cast<double>(sample.count());
    if (!seeded_) {
      seeded_ = true;
      mean_ = value;
      deviation_ = value / 2;
      return;
    }
    const double error = value - mean_;
    mean_ += kMeanGain * error;
    deviation_ += kDeviationGain * (std::abs(error) - deviation_);
  }

  /// @brief Mean + 6 deviations within the bounds.
  duration Limit() const {
    constexpr double kDeviations = 6;
    const duration wanted(
        static_cast<int64_t>(mean_ + kDeviations * deviation_));
    return std::clamp(wanted, floor_, ceiling_);
  }

  duration Mean() const { return duration(static_cast<int64_t>(mean_)); }

 private:
  duration floor_;
  duration ceiling_;
  bool seeded_ = false;
  double mean_ = 0;       // Microseconds.
  double deviation_ = 0;  // Microseconds.
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_ADAPTIVE_LIMIT_H_
