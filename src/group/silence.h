// Adaptive timeout for reports of a member.
#ifndef SRC_GROUP_SILENCE_H_
#define SRC_GROUP_SILENCE_H_

#include "tarragondale/group.h"

namespace tarragondale::group {

/// @brief Timeout of mean + 6 deviations of the intervals between reports,
/// with exponentially weighted moments, clamped to the options' bounds.
class silence_timeout {
 public:
  explicit silence_timeout(const timing_options& timing) : timing_(timing) {}

  /// @brief Adds an interval between two successive reports.
  void Add(duration interval);

  /// @brief Forgets all intervals, for a new primary.
  void Reset() { *this = silence_timeout(timing_); }

  duration Value() const;

 private:
  timing_options timing_;
  int samples_ = 0;
  double mean_us_ = 0;
  double variance_us2_ = 0;
};

}  // namespace tarragondale::group

#endif  // SRC_GROUP_SILENCE_H_
