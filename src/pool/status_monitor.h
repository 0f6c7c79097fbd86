// What is known of a member's status, when to poll it, and who wants reports.
#ifndef TARRAGONDALE_SRC_POOL_STATUS_MONITOR_H_
#define TARRAGONDALE_SRC_POOL_STATUS_MONITOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/pool/adaptive_limit.h"
#include "src/pool/transaction.h"

namespace tarragondale::pool {

class status_monitor {
 public:
  explicit status_monitor(const gateway_options& options)
      : options_(options),
        limit_(options.silence_floor, options.silence_ceiling) {}

  /// @brief Handles a status row; true if role, term or reachability changed.
  bool OnStatus(time_point now,
                time_point sent,
                const wire::member_report& report);
  /// @brief The member can't be reached by a fresh connection either; true if
  /// that is new.
  bool OnUnreachable(time_point now);

  /// @brief A poll is due at this time, unless one is in flight.
  time_point next_poll() const { return next_poll_; }
  void PollNow(time_point now) { next_poll_ = std::min(next_poll_, now); }
  void PollSent(time_point now) { next_poll_ = now + options_.status_interval; }

  /// @brief The member counts as reachable, but the poll that follows its last
  /// status should have been answered by now.
  bool Overdue(time_point now) const {
    return reachable_ && now - status_->sampled > 2 * options_.status_interval;
  }

  duration Limit() const { return limit_.Limit(); }
  bool known() const { return status_.has_value(); }
  bool reachable() const { return reachable_; }
  bool unreachable() const { return declared_unreachable_; }
  const std::optional<known_status>& status() const { return status_; }

  void AddInterest(time_point now, const std::string& vm) {
    interest_[vm] = now;
  }
  /// @brief VMs whose interest is young enough; forgets the others.
  std::vector<std::string> Interested(time_point now);
  /// @brief When the next report of an unreachable member is due.
  time_point next_report() const { return next_report_; }
  void ReportSent(time_point now) {
    next_report_ = now + options_.status_interval;
  }

  /// @brief Report of the member as known at `now`.
  wire::member_report Report(time_point now,
                             const std::string& member,
                             size_t queue_length,
                             duration service_time) const;

 private:
  const gateway_options& options_;
  adaptive_limit limit_;
  std::optional<known_status> status_;
  bool reachable_ = false;
  bool declared_unreachable_ = false;
  time_point next_poll_;
  time_point next_report_;
  std::map<std::string, time_point> interest_;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_STATUS_MONITOR_H_
