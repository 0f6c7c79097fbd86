// Tests of the fleet-wide rate limiter.
#include "src/interactive/shared_rate.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>

namespace tarragondale::interactive {
namespace {

// Several VMs that exchange usage reports every half second.
class simulated_rate_fleet {
 public:
  simulated_rate_fleet(int vms, double rate, double burst) {
    for (int i = 0; i < vms; ++i) {
      rates_.emplace_back(rate, burst, vms, now_,
                          std::hash<std::string>()("vm-" + std::to_string(i)));
      reported_.push_back(0);
    }
  }

  // Sends `per_s` operations per second for `span`, each to a random VM chosen
  // with the probabilities `weights`. Returns the number of admitted
  // operations.
  int Run(duration span, double per_s, const std::vector<double>& weights) {
    constexpr duration kStep = milliseconds(2);
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    int admitted = 0;
    double due = 0;
    for (const time_point end = now_ + span; now_ < end; now_ += kStep) {
      due += per_s * std::chrono::duration<double>(kStep).count();
      for (; due >= 1; due -= 1) {
        if (rates_[pick(random_)].TryAcquire(now_)) {
          ++admitted;
          admission_times_.push_back(now_);
        }
      }
      if (now_ >= next_report_) {
        next_report_ = now_ + milliseconds(500);
        Report();
      }
    }
    return admitted;
  }

  // Connections between VMs go silent: no report arrives.
  void StopReports() { next_report_ = now_ + seconds(3'600); }

  void ClearHistory() { admission_times_.clear(); }

  void SetLimit(double rate, double burst) {
    for (shared_rate_limiter& each : rates_) {
      each.SetLimit(rate, burst, now_);
    }
  }

  // Maximum number of operations admitted in any period of length `window`
  // since the last `ClearHistory`.
  int MaxAdmittedIn(duration window) const {
    size_t first = 0;
    size_t max_admitted = 0;
    for (size_t i = 0; i < admission_times_.size(); ++i) {
      while (admission_times_[i] - admission_times_[first] > window) {
        ++first;
      }
      max_admitted = std::max(max_admitted, i - first + 1);
    }
    return static_cast<int>(max_admitted);
  }

 private:
  // Sends each VM one report with the sums over all other VMs, as a relay
  // would.
  void Report() {
    uint64_t admitted = 0;
    double demand_per_s = 0;
    for (size_t i = 0; i < rates_.size(); ++i) {
      admitted += rates_[i].admitted() - reported_[i];
      demand_per_s += rates_[i].DemandPerSecond(now_);
    }
    for (size_t i = 0; i < rates_.size() && rates_.size() > 1; ++i) {
      const uint64_t own = rates_[i].admitted() - reported_[i];
      const double own_demand_per_s = rates_[i].DemandPerSecond(now_);
      rates_[i].OnReport("relay", static_cast<double>(admitted - own),
                         demand_per_s - own_demand_per_s,
                         static_cast<int>(rates_.size()) - 1, now_);
      reported_[i] = rates_[i].admitted();
    }
  }

  time_point now_ = TimeFromMs(1'000'000);
  time_point next_report_ = now_;
  std::vector<shared_rate_limiter> rates_;
  std::vector<uint64_t> reported_;
  std::vector<time_point> admission_times_;
  std::mt19937_64 random_{7};
};

// Guards against refusing operations within the rate when the load balancer
// spreads callers unevenly.
TEST(SharedRateLimiterTest, UnevenCallersWithinTheRateAreAdmitted) {
  simulated_rate_fleet fleet(6, 100, 100);
  fleet.Run(seconds(3), 62, {5, 1, 1, 1, 1, 1});
  const int admitted = fleet.Run(seconds(10), 62, {5, 1, 1, 1, 1, 1});
  EXPECT_GE(admitted, 619);
}

// Guards against admitting more operations than rate and burst allow when an
// organisation sends many times its rate through all VMs.
TEST(SharedRateLimiterTest, HotOrganisationStaysWithinTheBound) {
  for (const int vms : {1, 6, 9, 12, 195}) {
    simulated_rate_fleet fleet(vms, 100, 100);
    const std::vector<double> even(static_cast<size_t>(vms), 1.0);
    fleet.Run(seconds(10), 62, even);
    fleet.Run(seconds(7), 470, even);
    fleet.Run(seconds(5), 62, even);
    // Bound required by users: (rate x window + burst) x 1.1 + 20.
    EXPECT_LE(fleet.MaxAdmittedIn(seconds(5)), 680) << vms;
  }
}

// Guards against refusing most operations in the first second after all VMs
// restarted, before they have exchanged reports.
TEST(SharedRateLimiterTest, RestartedFleetAdmitsTheUsualDemand) {
  simulated_rate_fleet fleet(9, 100, 100);
  const int admitted = fleet.Run(seconds(3), 62, {1, 1, 1, 1, 1, 1, 1, 1, 1});
  EXPECT_GE(admitted, 165);
}

// Guards against admitting fewer operations than the rate allows after the rate
// was lowered far below the demand. With many VMs, the share of each is then
// less than one operation per report interval.
TEST(SharedRateLimiterTest, LowLimitIsUsedInFull) {
  for (const int vms : {1, 8, 80, 195, 400}) {
    simulated_rate_fleet fleet(vms, 82, 82);
    const std::vector<double> even(static_cast<size_t>(vms), 1.0);
    fleet.Run(seconds(5), 51, even);
    fleet.SetLimit(26, 26);
    fleet.Run(seconds(6), 75, even);
    fleet.ClearHistory();
    const int admitted = fleet.Run(seconds(30), 75, even);
    EXPECT_GE(admitted, 26 * 30 * 0.97) << vms;
    // Bound required by users: (rate x window + burst) x 1.1 + 20.
    EXPECT_LE(fleet.MaxAdmittedIn(seconds(5)), 191) << vms;
  }
}

// Guards against refusals of the usual demand, far below the rate, after all
// connections between VMs went silent. A fleet must still stay within the bound
// if demand grows meanwhile.
TEST(SharedRateLimiterTest, SilentFleetAdmitsTheUsualDemand) {
  simulated_rate_fleet fleet(9, 100, 100);
  const std::vector<double> even(9, 1.0);
  fleet.Run(seconds(12), 50, even);
  fleet.StopReports();
  fleet.ClearHistory();
  EXPECT_GE(fleet.Run(seconds(4), 50, even), 50 * 4 * 0.95);
  fleet.Run(seconds(10), 600, even);
  EXPECT_LE(fleet.MaxAdmittedIn(seconds(5)), (100 * 5 + 100) * 1.1 + 20);
}

TEST(SharedRateLimiterTest, LowerLimitRemovesTokens) {
  const time_point start = TimeFromMs(0);
  shared_rate_limiter rate(100, 100, 1, start, 1);
  rate.SetLimit(2, 2, start);
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    admitted += rate.TryAcquire(start) ? 1 : 0;
  }
  EXPECT_LE(admitted, 2);
}

}  // namespace
}  // namespace tarragondale::interactive
