// Load patterns of one organisation on a modelled fleet: what is refused
// although within rate and burst, and whether the promised bound holds.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

#include "src/interactive/former_rate_test.h"
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
    fleet.weights[vms - std::min<size_t>(vms, 3)] += 1;
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
  fmt::print("{:>10} {:>4} {:>6} {:>18} {:>18} {:>18}\n", "pattern", "VMs",
             "spread", "static split", "former", "present");
  const auto patterns = Patterns<split_rate_limiter>();
  for (size_t i = 0; i < patterns.size(); ++i) {
    for (const int vms : {3, 17, 70}) {
      for (const spread over : kSpreads) {
        const total split = PlaySeeds<split_rate_limiter>(i, vms, over);
        const total former =
            PlaySeeds<former::former_rate_limiter>(i, vms, over);
        const total shared = PlaySeeds<shared_rate_limiter>(i, vms, over);
        fmt::print(
            "{:>10} {:>4} {:>6} {:>8.1f}% {:>8.0f} {:>8.1f}% {:>8.0f} "
            "{:>8.1f}% {:>8.0f}\n",
            patterns[i].first, vms, kSpreadNames[static_cast<size_t>(over)],
            split.WrongfulPercent(), split.sum.excess, former.WrongfulPercent(),
            former.sum.excess, shared.WrongfulPercent(), shared.sum.excess);
      }
    }
  }
}

// Guards against refusals of operations within rate and burst while tokens lie
// unspent, in the fleets that exist: up to 16 VMs with callers at any of them,
// larger ones with one to four hosts. On 0ce3eef an organisation with callers
// at one host of 17 VMs lost 85 % of its usual demand.
TEST(RateFleetTest, ConnectedVmsRefuseLittleWithinTheLimit) {
  const auto patterns = Patterns<shared_rate_limiter>();
  for (size_t i = 0; i < patterns.size(); ++i) {
    const std::string& name = patterns[i].first;
    if (name != "usual" && name != "hot" && name != "lowered" &&
        name != "idle, hot") {
      continue;
    }
    for (const int vms : {3, 17, 70}) {
      for (const spread over : kSpreads) {
        if (over == spread::kEven && vms > 16) {
          continue;
        }
        const total played = PlaySeeds<shared_rate_limiter>(i, vms, over);
        EXPECT_LT(played.WrongfulPercent(), 5)
            << name << ' ' << vms << ' '
            << kSpreadNames[static_cast<size_t>(over)];
      }
    }
  }
}

// Guards against more operations than promised in any 5 s, whatever fails. On
// 0ce3eef a partition let up to 428 operations too many run.
TEST(RateFleetTest, PromiseHoldsInAllPatterns) {
  const auto patterns = Patterns<shared_rate_limiter>();
  for (size_t i = 0; i < patterns.size(); ++i) {
    for (const int vms : {3, 17, 70}) {
      for (const spread over : kSpreads) {
        EXPECT_LE(PlaySeeds<shared_rate_limiter>(i, vms, over).sum.excess, 0)
            << patterns[i].first << ' ' << vms << ' '
            << kSpreadNames[static_cast<size_t>(over)];
      }
    }
  }
}

// Plays a random sequence of demands and faults: partitions, restarts, frozen
// VMs and changed limits.
template <typename limiter>
double RandomExcess(uint64_t seed,
                    std::initializer_list<int> sizes,
                    std::string& played) {
  std::mt19937_64 random(seed);
  const auto pick = [&](std::initializer_list<double> values) {
    return values.begin()[random() % values.size()];
  };
  const double rate = pick({26, 100, 300});
  const int vms = sizes.begin()[random() % sizes.size()];
  rate_fleet_model<limiter> fleet(vms, rate, rate * pick({0.5, 1, 2}), seed);
  played = fmt::format("{} VMs, rate {}:", vms, rate);
  fleet.demand_per_s = rate * 0.6;
  // Fleets above 16 VMs have hosts.
  const auto choose = [&] {
    const size_t over = vms > 16 ? 1 + random() % 3 : random() % 4;
    Spread(fleet, kSpreads[over]);
    played += fmt::format(" {}", kSpreadNames[over]);
  };
  choose();
  // The first four VMs of a fleet above 16 relay; they keep running.
  const int first = vms > 16 ? 4 : 0;
  const auto pick_vm = [&] {
    return first +
           static_cast<int>(random() % static_cast<size_t>(vms - first));
  };
  for (int step = 0; step < 16; ++step) {
    switch (random() % 8) {
      case 0:
        fleet.partitioned = !fleet.partitioned;
        played += fleet.partitioned ? " cut" : " healed";
        break;
      case 1: {
        const int vm = pick_vm();
        fleet.Restart(vm, milliseconds(300 + random() % 2'000));
        played += fmt::format(" restart {}", vm);
        break;
      }
      case 2: {
        const int vm = pick_vm();
        fleet.Freeze(vm, milliseconds(300 + random() % 5'000));
        played += fmt::format(" freeze {}", vm);
        break;
      }
      case 3: {
        choose();
        break;
      }
      case 4: {
        const double changed = rate * pick({0.3, 1});
        fleet.SetLimit(changed, changed);
        played += fmt::format(" limit {}", changed);
        break;
      }
      default:
        fleet.demand_per_s = rate * pick({0, 0.6, 3.5});
        played += fmt::format(" demand {}", fleet.demand_per_s);
    }
    const auto span = milliseconds(200 + random() % 2'500);
    played += fmt::format(" {} ms;", span.count());
    fleet.Run(span);
  }
  return fleet.Outcome().excess;
}

void CheckPromise(std::initializer_list<int> sizes) {
  EXPECT_TRUE(rc::check("at most what is promised runs", [sizes] {
    std::string played;
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const double excess =
        RandomExcess<shared_rate_limiter>(seed, sizes, played);
    if (excess > 0) {
      RC_FAIL(fmt::format("{} too many; seed {}: {}", excess, seed, played));
    }
  }));
}

TEST(RateFleetTest, PromiseHoldsUnderRandomFaults) {
  CheckPromise({2, 3, 9, 16});
}

TEST(RateFleetTest, PromiseHoldsUnderRandomFaultsWithRelays) {
  CheckPromise({17, 40});
}

}  // namespace
}  // namespace tarragondale::interactive
