// Rate and burst of one organisation, shared by all VMs without a round trip.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_
#define TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief A token bucket of the whole fleet, as one VM sees it.
///
/// Load pattern: callers are spread unevenly over the VMs, and an organisation
/// sends many times its rate through some of them. Every VM debits what it
/// admits at once and what other VMs admitted when they report it, so the
/// long-run rate is exact. Until the next report a VM spends no more than its
/// share of the bucket, by demand, so that all VMs together do not spend the
/// same tokens. It may spend more where the bucket holds more than the others
/// can have admitted meanwhile, so that operations which arrive together by
/// chance are not refused within the rate.
class shared_rate {
 public:
  /// @param vms VMs in service, this one included.
  /// @param seed Of chance; other VMs need other ones.
  shared_rate(double rate,
              double burst,
              int vms,
              time_point now,
              uint64_t seed);

  void SetLimit(double rate, double burst, time_point now);
  void SetFleet(int vms) { vms_ = vms; }

  /// @brief Takes one token for an operation that arrived. False: refused.
  bool Take(time_point now);

  /// @brief What another VM reports, for itself and the VMs it speaks for.
  void OnReport(std::string_view vm,
                double operations,
                double demand_per_s,
                int counted_vms,
                time_point now);

  /// @brief Time until an operation may succeed, for the refusal.
  duration UntilNext() const;

  /// @brief Operations that this VM admitted.
  uint64_t admitted() const { return admitted_; }

  /// @brief Operations that arrive here per second, admitted or not.
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

  double PartUnheard(time_point now) const;
  double Reserve(time_point now) const;

  double rate_;
  double burst_;
  int vms_;
  double balance_;
  const time_point started_;
  time_point updated_;
  time_point window_start_;
  double window_allowance_ = 0;
  uint64_t admitted_ = 0;
  // Demand: sums that decay, over a second and over longer.
  double demand_sum_ = 0;
  double usual_sum_ = 0;
  time_point demand_updated_;
  std::map<std::string, peer, std::less<>> peers_;
  std::minstd_rand random_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_
