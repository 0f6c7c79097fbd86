// Model of a fleet whose VMs share the rate of one organisation, in virtual
// time. Digests pass as between real VMs: in fleets up to 16 VMs each VM sends
// them to all others, in larger ones through the relays of its region, and
// `relay::usage_totals` decides what they count.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_RATE_FLEET_MODEL_TEST_H_
#define TARRAGONDALE_SRC_INTERACTIVE_RATE_FLEET_MODEL_TEST_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tarragondale/relay.h"

namespace tarragondale::interactive {

/// @brief What a fleet admitted, compared with one exact token bucket that sees
/// the same operations.
struct rate_outcome {
  int asked = 0;
  int admitted = 0;
  int exact = 0;     ///< Admitted by the exact bucket.
  int wrongful = 0;  ///< Refused although the exact bucket admits them.
  /// Maximum over all 5 s of the operations admitted beyond the promise;
  /// negative if the promise holds.
  double excess = -1e9;
};

/// @brief Fleet of `limiter`s. The limiter has the interface of
/// `shared_rate_limiter`.
template <typename limiter>
class rate_fleet_model {
 public:
  static constexpr duration kStep = milliseconds(5);
  static constexpr duration kDigestInterval = milliseconds(500);
  static constexpr duration kPromiseWindow = seconds(5);
  /// A lower limit binds this long after it was set: 5 s until it is in force
  /// everywhere, and one window.
  static constexpr duration kLowerLimitGrace = seconds(10);
  static constexpr int kRegions = 2;

  rate_fleet_model(int vms, double rate, double burst, uint64_t seed)
      : rate_(rate), burst_(burst), exact_balance_(burst), random_(seed) {
    limits_.push_back({now_, rate, burst});
    for (int i = 0; i < vms; ++i) {
      vms_.emplace_back();
    }
    for (int i = 0; i < vms; ++i) {
      Start(i);
    }
  }

  int size() const { return static_cast<int>(vms_.size()); }

  // --- Demand ---
  double demand_per_s = 0;
  std::vector<double> weights;  ///< Of the VMs, for the next operations.

  // --- Faults ---
  bool partitioned = false;  ///< The regions cannot reach each other.

  void Restart(int vm, duration downtime) {
    vms_[At(vm)].down_until = now_ + downtime;
    vms_[At(vm)].restarts = true;
  }
  void Freeze(int vm, duration span) { vms_[At(vm)].down_until = now_ + span; }

  void SetLimit(double rate, double burst) {
    ExactRefill();
    rate_ = rate;
    burst_ = burst;
    exact_balance_ = std::min(exact_balance_, burst);
    limits_.push_back({now_, rate, burst});
    for (machine& each : vms_) {
      each.rate->SetLimit(rate, burst, now_);
    }
  }

  /// @brief Starts counting anew. Windows of the promise may begin before.
  void ClearCounts() {
    EndBin();
    ahead_ = 0;
    counts_ = {};
  }

  void Run(duration span) {
    for (const time_point end = now_ + span; now_ < end; now_ += kStep) {
      Deliver();
      for (int i = 0; i < size(); ++i) {
        Wake(i);
      }
      std::poisson_distribution<int> arrivals(
          demand_per_s * std::chrono::duration<double>(kStep).count());
      std::discrete_distribution<int> pick(weights.begin(), weights.end());
      for (int n = arrivals(random_); n > 0; --n) {
        Ask(pick(random_));
      }
      if (now_ >= bin_end_) {
        EndBin();
      }
    }
  }

  rate_outcome Outcome() {
    EndBin();
    rate_outcome outcome = counts_;
    outcome.excess = Excess();
    return outcome;
  }

 private:
  struct machine {
    std::unique_ptr<limiter> rate;
    std::unique_ptr<relay::usage_totals> totals;
    int64_t incarnation = 0;
    time_point next_digest;
    time_point down_until;
    bool restarts = false;
  };
  struct limit {
    time_point since;
    double rate;
    double burst;
  };
  struct digest {
    time_point arrives;
    int from;
    int to;
    int64_t incarnation;
    wire::usage_scope scope;
    int64_t counted_vms;
    std::vector<wire::organisation_usage> usage;
  };

  static size_t At(int vm) { return static_cast<size_t>(vm); }
  static std::string Name(int vm) { return "vm-" + std::to_string(vm); }
  static int RegionOf(int vm) { return vm % kRegions; }
  bool Mesh() const { return vms_.size() <= 16; }
  // The first two VMs of each region relay.
  bool IsRelay(int vm) const { return Mesh() || vm < 2 * kRegions; }
  bool IsDown(int vm) const { return now_ < vms_[At(vm)].down_until; }

  int HomeOf(int vm) const {
    const int first = RegionOf(vm) + kRegions * (vm / kRegions % 2);
    const int second = RegionOf(vm) + kRegions * (1 - vm / kRegions % 2);
    return IsDown(first) && !IsDown(second) ? second : first;
  }

  void Start(int vm) {
    machine& each = vms_[At(vm)];
    each.rate =
        std::make_unique<limiter>(rate_, burst_, size(), now_, random_());
    each.totals = std::make_unique<relay::usage_totals>();
    ++each.incarnation;
    each.next_digest =
        now_ +
        std::uniform_int_distribution<int>(0, 499)(random_) * milliseconds(1);
    each.restarts = false;
  }

  void Wake(int vm) {
    machine& each = vms_[At(vm)];
    if (IsDown(vm)) {
      return;
    }
    if (each.restarts) {
      Start(vm);
    }
    if (now_ < each.next_digest) {
      return;
    }
    each.next_digest = now_ + kDigestInterval;
    if (!IsRelay(vm)) {
      return Send(vm, HomeOf(vm), wire::usage_scope::kOwn);
    }
    for (int to = 0; to < size(); ++to) {
      if (to != vm && IsRelay(to)) {
        Send(vm, to, wire::usage_scope::kFollowers);
      }
    }
  }

  void Send(int from, int to, wire::usage_scope scope) {
    const bool far = RegionOf(from) != RegionOf(to);
    if (far && partitioned) {
      return;
    }
    machine& by = vms_[At(from)];
    by.totals->Expire(now_);
    const int delay_ms =
        std::uniform_int_distribution<int>(far ? 9 : 1, far ? 20 : 6)(random_);
    digests_.push_back(
        {now_ + milliseconds(delay_ms), from, to, by.incarnation, scope,
         by.totals->CountedVms(scope, Name(to)),
         by.totals->Report(
             {{"o", by.rate->admitted(),
               static_cast<int64_t>(by.rate->DemandPerSecond(now_))}},
             scope, Name(to))});
  }

  void Deliver() {
    std::deque<digest> later;
    std::vector<digest> due;
    for (digest& each : digests_) {
      const bool arrives = each.arrives <= now_ && !IsDown(each.to);
      if (arrives) {
        due.push_back(std::move(each));
      } else {
        later.push_back(std::move(each));
      }
    }
    digests_ = std::move(later);
    for (const digest& each : due) {
      Take(each);
    }
  }

  void Take(const digest& from) {
    machine& to = vms_[At(from.to)];
    if (to.restarts) {
      return;  // Lost with the former process.
    }
    for (const auto& each :
         to.totals->Take(Name(from.from), from.incarnation, from.scope,
                         from.counted_vms, from.usage, now_)) {
      to.rate->OnReport(Name(from.from), static_cast<double>(each.operations),
                        each.demand_per_s, static_cast<int>(from.counted_vms),
                        now_);
    }
    if constexpr (requires { to.rate->OnHeard("", 1, now_); }) {
      to.rate->OnHeard(Name(from.from), static_cast<int>(from.counted_vms),
                       now_);
    }
    if (from.scope == wire::usage_scope::kOwn) {
      Send(from.to, from.from, wire::usage_scope::kFleet);
    }
  }

  void Ask(int vm) {
    if (IsDown(vm)) {
      return;
    }
    ++counts_.asked;
    ExactRefill();
    if (exact_balance_ >= 1) {
      exact_balance_ -= 1;
      ++counts_.exact;
      ++bin_exact_;
    }
    if (vms_[At(vm)].rate->TryAcquire(now_)) {
      ++counts_.admitted;
      ++bin_admitted_;
      admissions_.push_back(now_);
    }
  }

  void ExactRefill() {
    exact_balance_ = std::min(
        burst_,
        exact_balance_ +
            rate_ *
                std::chrono::duration<double>(now_ - exact_updated_).count());
    exact_updated_ = now_;
  }

  // Operations that the fleet admitted ahead of the exact bucket are debited
  // later, so they are set off against what it admits less afterwards.
  void EndBin() {
    const int less = bin_exact_ - bin_admitted_;
    counts_.wrongful += std::max(0, less - ahead_);
    ahead_ = std::max(0, ahead_ - less);
    bin_exact_ = bin_admitted_ = 0;
    bin_end_ = now_ + seconds(1);
  }

  // Bound for the window that starts at `start`.
  double Bound(time_point start) const {
    double bound = 0;
    for (size_t i = 0; i < limits_.size(); ++i) {
      const bool begun = limits_[i].since <= start + kPromiseWindow;
      const bool over =
          i + 1 < limits_.size() &&
          start >= limits_[i + 1].since + kLowerLimitGrace - kPromiseWindow;
      if (begun && !over) {
        bound = std::max(bound,
                         (limits_[i].rate * 5 + limits_[i].burst) * 1.1 + 20);
      }
    }
    return bound;
  }

  double Excess() const {
    double excess = -1e9;
    size_t first = 0;
    for (size_t i = 0; i < admissions_.size(); ++i) {
      while (admissions_[i] - admissions_[first] > kPromiseWindow) {
        ++first;
      }
      excess = std::max(excess, static_cast<double>(i - first + 1) -
                                    Bound(admissions_[first]));
    }
    return excess;
  }

  time_point now_ = TimeFromMs(1'000'000);
  double rate_;
  double burst_;
  double exact_balance_;
  time_point exact_updated_ = now_;
  std::mt19937_64 random_;
  std::vector<machine> vms_;
  std::deque<digest> digests_;
  std::vector<limit> limits_;
  std::vector<time_point> admissions_;
  rate_outcome counts_;
  int ahead_ = 0;
  int bin_exact_ = 0;
  int bin_admitted_ = 0;
  time_point bin_end_ = now_ + seconds(1);
};

/// @brief Static split: each VM gets an equal part of rate and burst.
class split_rate_limiter {
 public:
  split_rate_limiter(double rate,
                     double burst,
                     int vms,
                     time_point now,
                     uint64_t /*seed*/)
      : vms_(vms), updated_(now) {
    SetLimit(rate, burst, now);
    balance_ = burst_;
  }
  void SetLimit(double rate, double burst, time_point now) {
    Refill(now);
    rate_ = rate / vms_;
    burst_ = burst / vms_;
    balance_ = std::min(balance_, burst_);
  }
  bool TryAcquire(time_point now) {
    Refill(now);
    if (balance_ < 1) {
      return false;
    }
    balance_ -= 1;
    ++admitted_;
    return true;
  }
  void OnReport(const std::string& /*vm*/,
                double /*operations*/,
                double /*demand_per_s*/,
                int /*counted_vms*/,
                time_point /*now*/) {}
  uint64_t admitted() const { return admitted_; }
  double DemandPerSecond(time_point /*now*/) const { return 0; }

 private:
  void Refill(time_point now) {
    balance_ = std::min(
        burst_,
        balance_ +
            rate_ * std::chrono::duration<double>(now - updated_).count());
    updated_ = now;
  }

  int vms_;
  double rate_ = 0;
  double burst_ = 0;
  double balance_ = 0;
  time_point updated_;
  uint64_t admitted_ = 0;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_RATE_FLEET_MODEL_TEST_H_
