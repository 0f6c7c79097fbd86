// The limiter of 0ce3eef, which the present one is compared with.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_FORMER_RATE_TEST_H_
#define TARRAGONDALE_SRC_INTERACTIVE_FORMER_RATE_TEST_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive::former {

class former_rate_limiter {
 public:
  /// @param vms VMs in service, including this one.
  /// @param seed Random seed; must differ between VMs.
  former_rate_limiter(double rate,
                      double burst,
                      int vms,
                      time_point now,
                      uint64_t seed);

  void SetLimit(double rate, double burst, time_point now);
  void SetFleet(int vms) { vms_ = vms; }

  /// @brief Takes a token for one operation, and counts the operation as demand
  /// in any case. Returns false if this VM may not take a token now; the caller
  /// must then refuse the operation.
  bool TryAcquire(time_point now);

  /// @brief Applies the report of another VM.
  /// @param operations Operations admitted since its previous report.
  /// @param demand_per_s As returned by `DemandPerSecond`.
  /// @param counted_vms Number of VMs whose operations and demand the report
  /// contains, such as a relay and its followers.
  void OnReport(std::string_view vm,
                double operations,
                double demand_per_s,
                int counted_vms,
                time_point now);

  /// @brief Time after which a refused caller should retry.
  duration UntilNext() const;

  /// @brief Operations that this VM has admitted since its start.
  uint64_t admitted() const { return admitted_; }

  /// @brief Recent average rate of operations that arrived at this VM, admitted
  /// or refused.
  double DemandPerSecond(time_point now) const;

 private:
  struct peer {
    double demand_per_s = 0;
    int counted_vms = 1;
    time_point heard;
  };

  void Refill(time_point now);
  void StartWindow(time_point now);
  double Share(time_point now) const;

  double UnreportedVmFraction(time_point now) const;
  double UnreportedOperations(time_point now) const;

  double rate_;
  double burst_;
  int vms_;
  double balance_;
  const time_point started_;
  time_point updated_;
  time_point window_start_;
  double window_allowance_ = 0;
  uint64_t admitted_ = 0;
  // Arrived operations, as exponentially decaying sums with a short and a long
  // time constant.
  double demand_sum_ = 0;
  double baseline_sum_ = 0;
  time_point demand_updated_;
  std::map<std::string, peer, std::less<>> peers_;
  std::minstd_rand random_;
};

// Period for which a VM is assigned a share of the tokens. Equals the interval
// of usage reports between VMs.
constexpr duration kWindow = milliseconds(500);
// A report older than this is removed when the next report arrives. Each VM
// that the removed report counted is then assumed to use an equal share.
constexpr duration kReportLifetime = milliseconds(2'500);
// Time constant of the average of recent demand.
constexpr double kDemandSpanSeconds = 1.0;
// Time constant of the average with which recent demand is compared to detect a
// surge.
constexpr double kBaselineSpanSeconds = 10.0;
// Added to both sides of that comparison, so that a few operations that happen
// to arrive together do not count as a surge.
constexpr double kSurgeNoiseOperations = 3.0;
// Time until this VM learns of an operation that another VM admitted: two
// report intervals of 500 ms, since a report may pass through a relay.
constexpr double kReportLagSeconds = 1.0;
// Minimum share of a VM, as a fraction of an equal share. Lets a VM that had no
// demand so far admit its first operations.
constexpr double kMinShareFraction = 0.5;
// Initial fill of the bucket, as a fraction of the burst. Other VMs may have
// spent the rest.
constexpr double kInitialFillFraction = 0.5;
// For this long after the start, VMs without a report are not assumed to use
// their share, and a VM that has received no report yet may use
// `kStartupShareFactor` times an equal share.
constexpr duration kStartupPeriod = milliseconds(2'000);
constexpr double kStartupShareFactor = 2.0;
constexpr double kOneToken = 1 - 1e-9;

inline double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

inline double Elapsed(time_point from, time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

inline former_rate_limiter::former_rate_limiter(double rate,
                                                double burst,
                                                int vms,
                                                time_point now,
                                                uint64_t seed)
    : rate_(rate),
      burst_(burst),
      vms_(vms),
      balance_(burst * kInitialFillFraction),
      started_(now),
      updated_(now),
      window_start_(now),
      demand_updated_(now),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {
  StartWindow(now);
}

inline void former_rate_limiter::SetLimit(double rate,
                                          double burst,
                                          time_point now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  balance_ = std::min(balance_, burst_);
  StartWindow(now);
}

inline bool former_rate_limiter::TryAcquire(time_point now) {
  demand_sum_ = demand_sum_ * std::exp(-Elapsed(demand_updated_, now) /
                                       kDemandSpanSeconds) +
                1;
  baseline_sum_ = baseline_sum_ * std::exp(-Elapsed(demand_updated_, now) /
                                           kBaselineSpanSeconds) +
                  1;
  demand_updated_ = now;
  Refill(now);
  if (now - window_start_ >= kWindow) {
    StartWindow(now);
  }
  const bool within_share = window_allowance_ >= kOneToken;
  if (balance_ < kOneToken ||
      (!within_share && balance_ < UnreportedOperations(now) + 1)) {
    return false;
  }
  balance_ -= 1;
  window_allowance_ = std::max(0.0, window_allowance_ - 1);
  ++admitted_;
  return true;
}

inline void former_rate_limiter::OnReport(std::string_view vm,
                                          double operations,
                                          double demand_per_s,
                                          int counted_vms,
                                          time_point now) {
  Refill(now);
  balance_ -= operations;
  peer& reporter = peers_[std::string(vm)];
  reporter.demand_per_s = demand_per_s;
  reporter.counted_vms = counted_vms;
  reporter.heard = now;
  std::erase_if(peers_, [&](const auto& each) {
    return now - each.second.heard > kReportLifetime;
  });
}

inline duration former_rate_limiter::UntilNext() const {
  if (rate_ <= 0) {
    return kWindow;
  }
  const double missing = std::max(1.0 - balance_, 0.0) / rate_;
  return std::max(duration(static_cast<int64_t>(missing * 1e6)), kWindow);
}

inline double former_rate_limiter::DemandPerSecond(time_point now) const {
  return demand_sum_ *
         std::exp(-Elapsed(demand_updated_, now) / kDemandSpanSeconds) /
         kDemandSpanSeconds;
}

inline void former_rate_limiter::Refill(time_point now) {
  const double reported_fraction = 1.0 - UnreportedVmFraction(now);
  balance_ = std::min(
      burst_, balance_ + Elapsed(updated_, now) * rate_ * reported_fraction);
  updated_ = std::max(updated_, now);
}

// Rounds a fraction of a token up with a probability equal to the fraction,
// and down otherwise. Always rounding down would leave a VM no tokens when its
// share is less than one token, as is usual with many VMs and few tokens.
inline void former_rate_limiter::StartWindow(time_point now) {
  window_start_ = now;
  const double tokens = std::max(0.0, balance_ + rate_ * Seconds(kWindow));
  const double allowance = Share(now) * tokens;
  const double whole_tokens = std::floor(allowance);
  std::bernoulli_distribution rounds_up(allowance - whole_tokens);
  window_allowance_ = whole_tokens + (rounds_up(random_) ? 1 : 0);
}

// Fraction of the VMs that no report in `peers_` counts. This VM does not see
// what they spend, so an equal share is set aside for each. Zero during
// `kStartupPeriod`, when VMs have not reported yet and disconnected callers
// return all at once.
inline double former_rate_limiter::UnreportedVmFraction(time_point now) const {
  if (now - started_ < kStartupPeriod) {
    return 0;
  }
  int heard = 1;
  for (const auto& [name, each] : peers_) {
    heard += each.counted_vms;
  }
  const int unheard = std::max(0, vms_ - heard);
  return static_cast<double>(unheard) / std::max(1, vms_);
}

// Upper estimate of the operations that other VMs have admitted and that this
// VM has no report of yet. A surge of demand at this VM is assumed to affect
// the other VMs as well. VMs that no report counts are assumed to have spent
// their equal share of the burst.
inline double former_rate_limiter::UnreportedOperations(time_point now) const {
  const double own = DemandPerSecond(now);
  const double baseline_per_s =
      baseline_sum_ *
      std::exp(-Elapsed(demand_updated_, now) / kBaselineSpanSeconds) /
      kBaselineSpanSeconds;
  const double surge_factor =
      std::max(1.0, (own + kSurgeNoiseOperations) /
                        (baseline_per_s + kSurgeNoiseOperations));
  double others = 0;
  for (const auto& [name, each] : peers_) {
    others += each.demand_per_s;
  }
  const double unheard = UnreportedVmFraction(now) * burst_;
  return others * surge_factor * kReportLagSeconds + unheard;
}

inline double former_rate_limiter::Share(time_point now) const {
  const double equal_share = 1.0 / std::max(1, vms_);
  if (vms_ <= 1) {
    return 1;
  }
  if (peers_.empty()) {
    return now - started_ < kStartupPeriod
               ? std::min(1.0, equal_share * kStartupShareFactor)
               : equal_share;
  }
  const double own = DemandPerSecond(now);
  double total = own;
  for (const auto& [name, each] : peers_) {
    total += each.demand_per_s;
  }
  const double by_demand = total > 0 ? own / total : equal_share;
  return std::max(by_demand, equal_share * kMinShareFraction);
}

}  // namespace tarragondale::interactive::former

#endif  // TARRAGONDALE_SRC_INTERACTIVE_FORMER_RATE_TEST_H_
