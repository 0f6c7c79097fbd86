// Limit on the statements that this VM runs concurrently on one member.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_CONCURRENCY_LIMIT_H_
#define TARRAGONDALE_SRC_INTERACTIVE_CONCURRENCY_LIMIT_H_

#include <optional>

#include "tarragondale/base.h"

namespace tarragondale::interactive {

/// @brief Additive increase, multiplicative decrease. There is no limit until
/// the member first reports that it is busy. Such a report sets the limit to
/// half of its previous value or half of `running` + 1, whichever is lower, but
/// at least 1 and at most once per `kReduceInterval`. Each completed statement
/// raises the limit by 1/limit. A statement that completes more than
/// `kLimitLifetime` after the last reduction removes the limit.
///
/// Load pattern: several VMs send statements to a member that runs only a few
/// at a time. Rejected statements are retried on new connections, which use up
/// the same capacity, so without a limit a short overload would sustain itself.
class concurrency_limit {
 public:
  bool active() const { return limit_.has_value(); }

  /// @param running Statements in flight on the member, plus connections that
  /// are being opened to it.
  bool Allows(int running) const { return !limit_ || running < *limit_; }

  /// @brief The member rejected a statement because it is busy.
  /// @param running As for `Allows`, without the rejected statement.
  void OnBusy(int running, time_point now);

  /// @brief The member completed a statement.
  void OnDone(time_point now);

 private:
  std::optional<double> limit_;  ///< At least 1.
  time_point reduced_at_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_CONCURRENCY_LIMIT_H_
