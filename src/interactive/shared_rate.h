// Limits the rate of one organisation over all VMs. Needs no round trip per
// operation, since each VM keeps a replica of the token bucket.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_
#define TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief One VM's replica of a token bucket that covers the whole fleet.
///
/// Load pattern: callers are spread unevenly over the VMs, and an organisation
/// sends many times its rate through some of them.
///
/// Every VM debits its own operations when it admits them, and those of other
/// VMs when they report them, so the long-run rate is exact. Between reports a
/// VM may use only its share of the tokens, which is proportional to its part
/// of the demand, so that several VMs do not spend the same tokens. It may
/// exceed its share while the bucket holds more tokens than it estimates the
/// other VMs to have spent since their last reports, so that operations within
/// the rate are admitted even if many happen to arrive at one VM.
class shared_rate_limiter {
 public:
  /// @param vms VMs in service, including this one.
  /// @param seed Random seed; must differ between VMs.
  shared_rate_limiter(double rate,
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

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_
