// Learned capacity of a database member: how much slower than usual it answers,
// and how many statements of this VM in flight it takes well.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_CAPACITY_ESTIMATE_H_
#define TARRAGONDALE_SRC_INTERACTIVE_CAPACITY_ESTIMATE_H_

#include "tarragondale/base.h"

namespace tarragondale::interactive {

/// @brief Learns from the response times of this VM's own statements.
///
/// Load pattern: members differ in speed, slow down for seconds, or get slower
/// with concurrency long before their slots are full; other VMs use them too. A
/// response time is noisy (its logarithm has a standard deviation of about 0.7)
/// and depends on the route, so each one is divided by the expected work of its
/// statement (`work_baselines`), and averages are taken over logarithms.
///
/// - `Slowness` is the recent average of these ratios. It decays towards 1, the
///   usual speed, while no statement is answered, so that a member that was
///   slow is tried again with a real statement.
/// - The limit shrinks while statements take longer than the member's own speed
///   explains, and grows by one otherwise. If the response time hardly changed
///   although the limit was halved, concurrency isn't the cause: the member is
///   slow by itself, which becomes its own speed, and the limit is restored.
/// - While the limit is in use, it is lowered to `LowConcurrency` for a few
///   statements from time to time. A VM that started while the member was
///   loaded finds out in this way that the member can be faster.
///
/// VMs that share a member see the same response times, shrink in proportion
/// and grow by the same step, which leads to similar limits without
/// coordination.
class capacity_estimate {
 public:
  /// @brief A statement was answered.
  /// @param ratio Response time without the round trip, divided by the expected
  /// work.
  /// @param ahead Other statements and connection attempts of this VM in flight
  /// at the member when the statement was sent.
  /// @param slots Statements that the member runs concurrently.
  /// @param cap See `CapacityCap`.
  void OnDone(double ratio,
              int ahead,
              int slots,
              double cap,
              time_point sent,
              time_point now);

  /// @brief A statement remained unanswered so far. Counts only if its ratio is
  /// above `Slowness`, since it is a lower bound.
  void OnUnanswered(double ratio, int ahead, time_point now);

  /// @brief Response time as a multiple of the expected work.
  double Slowness(time_point now) const;

  /// @brief Expected response time of another statement, as a multiple of the
  /// expected work, if `in_flight` statements of this VM are at the member.
  double Expected(int in_flight, int slots, time_point now) const;

  /// @brief Statements and connection attempts that this VM may have in flight
  /// at the member; at least 1 and at most `cap`.
  double Limit(double cap, time_point now) const;

  /// @brief As `Limit`, disregarding a measurement at low concurrency.
  double LearnedLimit(double cap, time_point now) const;

 private:
  // Average logarithm of the ratios at a concurrency; none if that is 0.
  struct level {
    double concurrency = 0;
    double log_ratio = 0;
  };

  void AddRecent(double log_ratio, int ahead, time_point now);
  void Measure(double log_ratio, int ahead, time_point now);
  void AdjustLimit(int slots, double cap, time_point now);
  void AdjustSlow(const level& present, double excess, time_point now);
  void SetOwnSpeed(double log_ratio, double limit, time_point now);
  void SetLimit(double limit, time_point now);
  bool Idle(time_point now) const;
  double Decay(time_point now) const;

  // Sums of the recent samples, with weights that decay over time.
  double log_sum_ = 0;
  double ahead_sum_ = 0;
  double weight_ = 0;
  time_point updated_;  ///< Time of the last sample.

  /// The member's own speed: logarithm of the ratio without queueing.
  double own_speed_ = 0;

  static constexpr double kNoLimit = 1e6;
  /// May exceed the cap until the next sample.
  double limit_ = kNoLimit;
  /// Compared with the response times at the present limit, to find out whether
  /// concurrency makes a difference.
  level reference_;
  int windows_at_one_ = 0;  ///< Consecutive slow windows at a limit of 1.

  // Samples of statements that were sent since `changed_at_`.
  double window_sum_ = 0;
  double window_ahead_sum_ = 0;
  int window_samples_ = 0;
  time_point window_started_;
  time_point changed_at_;

  // Measurement at low concurrency.
  bool measuring_ = false;
  int measuring_limit_ = 1;
  double measured_sum_ = 0;
  int measured_samples_ = 0;
  time_point measuring_since_;
  time_point measured_at_;  ///< End of the last one.
  duration measurement_took_{0};
};

/// @brief Statements in flight beyond which others could only queue at the
/// member: as many as it runs concurrently, those on the way, and one.
/// @param service Typical response time without the round trip.
double CapacityCap(int slots, duration round_trip, duration service);

/// @brief Statements in flight at which this VM doesn't slow a member down.
int LowConcurrency(int slots);

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_CAPACITY_ESTIMATE_H_
