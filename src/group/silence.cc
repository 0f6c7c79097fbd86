// Adaptive timeout for reports of a member.
#include "src/group/silence.h"

#include <algorithm>
#include <cmath>

namespace tarragondale::group {

void silence_timeout::Add(duration interval) {
  // Weight of a new interval; about the last 20 intervals count.
  constexpr double kWeight = 0.1;
  const auto value = static_cast<double>(interval.count());
  if (samples_++ == 0) {
    mean_us_ = value;
    return;
  }
  const double difference = value - mean_us_;
  mean_us_ += kWeight * difference;
  variance_us2_ =
      (1 - kWeight) * (variance_us2_ + kWeight * difference * difference);
}

duration silence_timeout::Value() const {
  constexpr double kDeviations = 6;
  if (samples_ < timing_.silence_samples) {
    return timing_.initial_silence;
  }
  const double timeout = mean_us_ + kDeviations * std::sqrt(variance_us2_);
  return std::clamp(duration(static_cast<int64_t>(timeout)),
                    timing_.shortest_silence, timing_.longest_silence);
}

}  // namespace tarragondale::group
