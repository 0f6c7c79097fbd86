// Token bucket in virtual time.
#ifndef TARRAGONDALE_SRC_ENTRY_TOKEN_BUCKET_H_
#define TARRAGONDALE_SRC_ENTRY_TOKEN_BUCKET_H_

#include <algorithm>

#include "tarragondale/base.h"

namespace tarragondale::entry {

/// @brief Token bucket: fills at `rate` per second up to `capacity`.
class token_bucket {
 public:
  /// @brief Start time of a bucket whose clock starts with its first use.
  static constexpr time_point kNotStarted = time_point::min();

  token_bucket(double rate, double capacity, double level, time_point now)
      : rate_(rate),
        capacity_(capacity),
        level_(std::min(level, capacity)),
        updated_(now) {}

  /// @brief Changes rate and capacity. Tokens above the new capacity are lost
  /// and none are added, so that a change never grants a burst again.
  void SetLimit(double rate, double capacity, time_point now) {
    Refill(now);
    rate_ = rate;
    capacity_ = capacity;
    level_ = std::min(level_, capacity_);
  }

  /// @brief Adds tokens, up to the capacity.
  void Add(double tokens) { level_ = std::min(capacity_, level_ + tokens); }

  /// @brief Takes one token if there is a whole one.
  bool Take(time_point now) {
    Refill(now);
    if (level_ < kWhole) {
      return false;
    }
    level_ -= 1;
    return true;
  }

  /// @brief Time until there is a whole token; negative if there never is.
  duration UntilNext() const {
    if (rate_ <= 0 || capacity_ < kWhole) {
      return duration(-1);
    }
    const double seconds_left = std::max(0.0, (1 - level_) / rate_);
    // Bounded, because a very low rate would overflow.
    return duration(static_cast<int64_t>(std::min(seconds_left, kLongest) *
                                         kMicrosecondsPerSecond));
  }

  double level() const { return level_; }

 private:
  // Sums of fractions may end just below one.
  static constexpr double kWhole = 1 - 1e-9;
  static constexpr double kLongest = 3600;
  static constexpr double kMicrosecondsPerSecond = 1e6;

  void Refill(time_point now) {
    if (updated_ == kNotStarted) {
      updated_ = now;
    }
    const std::chrono::duration<double> elapsed = now - updated_;
    updated_ = now;
    level_ = std::min(capacity_, level_ + elapsed.count() * rate_);
  }

  double rate_;
  double capacity_;
  double level_;
  time_point updated_;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_TOKEN_BUCKET_H_
