// Load patterns of one organisation on a modelled fleet: what is refused
// although within rate and burst, and whether the promised bound holds.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "src/interactive/rate_fleet_model_test.h"
#include "src/interactive/shared_rate.h"

namespace tarragondale::interactive {
namespace {

constexpr double kRate = 100;
constexpr double kBurst = 100;
constexpr double kUsual = 62;          // Operations per second.
constexpr double kHot = 5.7 * kUsual;  // Measured surge of a tenant.
constexpr duration kHotSpan = milliseconds(5'500);

// Where the sessions of the organisation run.
enum class spread : uint8_t {
  kEven,
  kHosts,      // Two hosts in each region, with unequal numbers of callers.
  kOneRegion,  // Two hosts; all callers are in one region.
  kOneHost,
};
constexpr spread kSpreads[] = {spread::kEven, spread::kHosts,
                               spread::kOneRegion, spread::kOneHost};
constexpr const char* kSpreadNames[] = {"even", "hosts", "region", "one"};

template <typename limiter>
void Spread(rate_fleet_model<limiter>& fleet, spread over) {
  const size_t vms = static_cast<size_t>(fleet.size());
  fleet.weights.assign(vms, over == spread::kEven ? 1.0 : 0.0);
  if (over == spread::kHosts) {
    const std::vector<double> hosts = {3, 1, 2, 1};
    for (size_t i = 0; i < hosts.size(); ++i) {
      fleet.weights[vms - 1 - i % vms] += hosts[i];
    }
  } else if (over == spread::kOneRegion) {
    fleet.weights[vms - 1] = 3;
    fleet.weights[vms - 3] = 1;
  } else if (over == spread::kOneHost) {
    fleet.weights[vms - 1] = 1;
  }
}

template <typename limiter>
using pattern = std::function<void(rate_fleet_model<limiter>&)>;

// Each pattern follows 8 s of the usual demand.
template <typename limiter>
std::vector<std::pair<std::string, pattern<limiter>>> Patterns() {
  using fleet = rate_fleet_model<limiter>;
  const auto hot = [](fleet& of) {
    of.demand_per_s = kHot;
    of.Run(kHotSpan);
    of.demand_per_s = kUsual;
    of.Run(seconds(3));
  };
  return {
      {"usual", [](fleet& of) { of.Run(seconds(10)); }},
      {"hot", hot},
      {"lowered",
       [](fleet& of) {
         of.SetLimit(26, 26);
         of.demand_per_s = 75;  // With the retries of refused callers.
         of.Run(seconds(25));
       }},
      {"moving",
       [](fleet& of) {
         const std::vector<double> before = of.weights;
         for (int i = 0; i < 4; ++i) {
           std::rotate(of.weights.begin(), of.weights.begin() + 1,
                       of.weights.end());
           of.Run(seconds(4));
         }
         of.weights = before;
       }},
      {"partition",
       [hot](fleet& of) {
         of.partitioned = true;
         hot(of);
         of.partitioned = false;
         hot(of);
       }},
      {"restart",
       [](fleet& of) {
         of.demand_per_s = kHot;
         for (int i = 1; i <= 3; ++i) {
           of.Run(milliseconds(1'300));
           of.Restart(of.size() - i, milliseconds(700));
         }
         of.Run(seconds(4));
       }},
      {"freeze",
       [](fleet& of) {
         of.demand_per_s = kHot;
         of.Run(seconds(1));
         of.Freeze(of.size() - 1, seconds(3));
         of.Freeze(0, seconds(4));
         of.Run(seconds(8));
       }},
      {"idle, hot",
       [hot](fleet& of) {
         of.demand_per_s = 0;
         of.Run(seconds(20));
         hot(of);
       }},
  };
}

template <typename limiter>
rate_outcome Play(const pattern<limiter>& played,
                  int vms,
                  spread over,
                  uint64_t seed) {
  rate_fleet_model<limiter> fleet(vms, kRate, kBurst, seed);
  Spread(fleet, over);
  fleet.demand_per_s = kUsual;
  fleet.Run(seconds(8));
  fleet.ClearCounts();
  played(fleet);
  return fleet.Outcome();
}

struct total {
  rate_outcome sum;
  void Add(const rate_outcome& each) {
    sum.asked += each.asked;
    sum.admitted += each.admitted;
    sum.exact += each.exact;
    sum.wrongful += each.wrongful;
    sum.excess = std::max(sum.excess, each.excess);
  }
  double WrongfulPercent() const {
    return 100.0 * sum.wrongful / std::max(1, sum.exact);
  }
};

template <typename limiter>
total PlaySeeds(size_t index, int vms, spread over) {
  total all;
  const auto patterns = Patterns<limiter>();
  for (const uint64_t seed : {1, 2, 3}) {
    all.Add(Play<limiter>(patterns[index].second, vms, over, seed));
  }
  return all;
}

// Prints percent of wrongful refusals and the greatest excess over the promise.
TEST(RateFleetTest, Table) {
  fmt::print("{:>10} {:>4} {:>6} {:>18} {:>18}\n", "pattern", "VMs", "spread",
             "static split", "shared");
  const auto patterns = Patterns<split_rate_limiter>();
  for (size_t i = 0; i < patterns.size(); ++i) {
    for (const int vms : {3, 17, 70}) {
      for (const spread over : kSpreads) {
        const total split = PlaySeeds<split_rate_limiter>(i, vms, over);
        const total shared = PlaySeeds<shared_rate_limiter>(i, vms, over);
        fmt::print("{:>10} {:>4} {:>6} {:>8.1f}% {:>8.0f} {:>8.1f}% {:>8.0f}\n",
                   patterns[i].first, vms,
                   kSpreadNames[static_cast<size_t>(over)],
                   split.WrongfulPercent(), split.sum.excess,
                   shared.WrongfulPercent(), shared.sum.excess);
      }
    }
  }
}

}  // namespace
}  // namespace tarragondale::interactive
