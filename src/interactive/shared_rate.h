// Limits the rate of one organisation over all VMs. Needs no round trip per
// operation, since each VM keeps a replica of the token bucket. Weighed against
// other ways in docs/design/rates.md.
//
// Load pattern: the callers of an organisation reach one VM, a few hosts or all
// VMs of the fleet, move between them, and send many times its rate.
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
/// Every VM debits its own operations when it admits them, and those of other
/// VMs when they report them.
///
/// Invariants:
/// - Operations that other VMs cannot know of yet (`unconfirmed_`) stay within
///   this VM's share of the bucket and of the overdraft. Shares follow the
///   demand that the other VMs know of, so they add up to about 1, and VMs
///   together spend at most the overdraft beyond the bucket. A debt is repaid
///   before further operations are admitted.
/// - While some VMs are not heard, their equal part of the bucket and of the
///   rate is withheld; it is released when they are heard again, when the
///   operations that they report are debited.
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
  /// must then refuse or delay the operation.
  bool TryAcquire(time_point now);

  /// @brief Counts an operation that arrived as demand.
  void CountDemand(time_point now);

  /// @brief As `TryAcquire`, for an operation that was counted as demand
  /// before.
  bool TryAgain(time_point now);

  /// @brief Estimated time until this VM may admit another operation after the
  /// `ahead` ones that wait for a token already.
  duration ExpectedWait(time_point now, size_t ahead) const;

  /// @brief Time after which a refused caller should retry. Callers get
  /// different times, at which tokens are expected for them.
  duration RetryAfter(time_point now, size_t ahead);

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

  /// @brief A VM reported, and `counted_vms` VMs have admitted nothing that was
  /// not reported before. VMs list only organisations that have used them.
  void OnHeard(std::string_view vm, int counted_vms, time_point now);

  /// @brief The next report of the VM lacks operations, as its first one does.
  void OnRestartedReports(std::string_view vm);

  /// @brief Operations that this VM has admitted since its start.
  uint64_t admitted() const { return admitted_; }

  /// @brief Recent average rate of operations that arrived at this VM, admitted
  /// or refused.
  double DemandPerSecond(time_point now) const;

 private:
  struct peer {
    double demand_per_s = 0;
    double own_demand_per_s = 0;  ///< Of this VM when the report arrived.
    int counted_vms = 1;
    time_point heard;
    bool restarted = false;  ///< Its next report lacks operations.
  };

  void Advance(time_point now);
  void AdvanceStep(time_point now);
  void UpdateAbsent(time_point now);
  bool Starting(time_point now) const;
  double Overdraft() const;
  double Presumed(double part) const;
  double OthersDemand(time_point now) const;
  double Share(time_point now) const;

  double rate_;
  double burst_;
  int vms_;
  double balance_;
  /// Own operations that other VMs may not know of yet.
  double unconfirmed_ = 0;
  /// Fraction of the VMs that are not heard, and the tokens withheld for them.
  double absent_ = 0;
  double withheld_ = 0;
  /// Tokens of absent VMs beyond the burst. They offset the operations that
  /// those VMs report when they are heard again.
  double credit_ = 0;
  const time_point started_;
  time_point updated_;
  uint64_t admitted_ = 0;
  /// Recent demand, and the part of it that other VMs know of, per second.
  double demand_ = 0;
  double known_demand_ = 0;
  time_point demand_updated_;
  std::map<std::string, peer, std::less<>> peers_;
  /// Tokens until then are expected by callers that were refused.
  time_point promised_until_;
  /// Fraction of a token that must be left of the share; random, so that a
  /// share below one token is used in proportion.
  double threshold_ = 1;
  time_point threshold_drawn_;
  std::minstd_rand random_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_SHARED_RATE_H_
