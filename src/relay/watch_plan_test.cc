// Tests of the selection of the relays that watch the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

using statuses = std::map<std::string, relay_status, std::less<>>;

constexpr int kZones = 6;

// Two regions with three zones each.
std::vector<vm> Relays(int count) {
  std::vector<vm> relays;
  relays.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    const int zone = i % kZones;
    relays.push_back({"vm-" + std::to_string(i), "z" + std::to_string(zone),
                      zone < kZones / 2 ? "north" : "south", 512});
  }
  return relays;
}

class WatchPlanTest : public testing::Test {
 protected:
  // What the VM `name` decides.
  std::vector<std::string> WatchersBy(const std::string& name) const {
    watch_plan plan(name);
    plan.SetRelays(relays_);
    return plan.Watchers(now_, heard_);
  }

  void HearAll() {
    for (const vm& each : relays_) {
      heard_[each.name] = {true, true, now_};
    }
  }

  std::vector<vm> relays_ = Relays(12);
  time_point now_ = TimeFromMs(10'000);
  statuses heard_;
};

// Guards against calls to the store that grow with the fleet.
TEST_F(WatchPlanTest, FewRelaysOfDifferentZonesWatch) {
  HearAll();
  const auto watchers = WatchersBy("vm-0");
  EXPECT_EQ(watchers.size(), watch_plan::kWatchers);
  std::set<std::string> zones;
  for (const vm& each : relays_) {
    EXPECT_EQ(WatchersBy(each.name), watchers);
    if (std::find(watchers.begin(), watchers.end(), each.name) !=
        watchers.end()) {
      zones.insert(each.availability_zone);
    }
  }
  EXPECT_EQ(zones.size(), watch_plan::kWatchers);
}

// Guards against a relay that gets the changes from nobody, or from several.
TEST_F(WatchPlanTest, EachOtherRelayIsFedByOneWatcher) {
  HearAll();
  const auto watchers = WatchersBy("vm-0");
  std::multiset<std::string> fed;
  for (const vm& each : relays_) {
    watch_plan plan(each.name);
    plan.SetRelays(relays_);
    const auto by_this = plan.FedBySelf(watchers);
    fed.insert(by_this.begin(), by_this.end());
  }
  EXPECT_EQ(fed.size(), relays_.size() - watchers.size());
  for (const vm& each : relays_) {
    const bool watches = std::find(watchers.begin(), watchers.end(),
                                   each.name) != watchers.end();
    EXPECT_EQ(fed.count(each.name), watches ? 0U : 1U) << each.name;
  }
}

// Guards against relays that wait for a watcher that is gone or cut off from
// the store.
TEST_F(WatchPlanTest, LostWatcherIsReplacedByTheNextRelay) {
  HearAll();
  const auto before = WatchersBy("vm-0");
  heard_[before[0]].last_heard =
      now_ - relay_selector::kRelayTimeout - milliseconds(1);
  heard_[before[1]].reaches_store = false;
  for (const vm& each : relays_) {
    if (each.name == before[0] || each.name == before[1]) {
      continue;
    }
    const auto after = WatchersBy(each.name);
    EXPECT_EQ(after.size(), watch_plan::kWatchers);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 0);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[1]), 0);
    EXPECT_EQ(std::count(after.begin(), after.end(), before[2]), 1);
  }
}

// Guards against a VM that trusts others while none of them reaches the store.
TEST_F(WatchPlanTest, EveryRelayWatchesIfItHearsNoneThatReachesTheStore) {
  HearAll();
  for (auto& [name, status] : heard_) {
    status.reaches_store = false;
  }
  for (const vm& each : relays_) {
    EXPECT_EQ(WatchersBy(each.name), std::vector<std::string>{each.name});
  }
}

}  // namespace
}  // namespace tarragondale::relay
