// How many statements this VM may have at a member that turns work away.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_CONCURRENCY_LIMIT_H_
#define TARRAGONDALE_SRC_INTERACTIVE_CONCURRENCY_LIMIT_H_

#include <optional>

#include "tarragondale/base.h"

namespace tarragondale::interactive {

/// @brief Halves with refusals, grows by one with as many answers as it allows.
///
/// Load pattern: several VMs send to a member with few slots. Work that is
/// turned away comes back, with connections that take slots themselves, so that
/// a member that was busy for a moment stays so. Without refusals there is no
/// limit.
class concurrency_limit {
 public:
  bool active() const { return limit_.has_value(); }

  /// @param running Statements and openings of connections at the member.
  bool Allows(int running) const { return !limit_ || running < *limit_; }

  /// @brief The member turned a statement away.
  /// @param running Others that are at the member.
  void OnBusy(int running, time_point now);

  /// @brief The member ran a statement.
  void OnDone(time_point now);

 private:
  std::optional<double> limit_;  ///< At least 1.
  time_point reduced_at_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_CONCURRENCY_LIMIT_H_
