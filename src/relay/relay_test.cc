// Tests of relay selection, store copies and usage totals.
#include "tarragondale/relay.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <set>

namespace tarragondale::relay {
namespace {

using item = store::keyspace::item;
using change = store::keyspace::change;

std::vector<vm> Fleet(int vms, int zones, int large_in_zone = 0) {
  std::vector<vm> fleet;
  fleet.reserve(static_cast<size_t>(vms));
  for (int i = 0; i < vms; ++i) {
    const int zone = i % zones;
    fleet.push_back({fmt::format("vm-{}", i), fmt::format("z{}", zone),
                     zone < (zones + 1) / 2 ? "north" : "south",
                     i / zones < large_in_zone ? 512 : 160});
  }
  return fleet;
}

relay_plan Plan(const std::string& self, const std::vector<vm>& fleet) {
  relay_plan plan(self);
  plan.SetFleet(fleet);
  return plan;
}

TEST(RelayPlanTest, SmallFleetIsAFullMesh) {
  const auto fleet = Fleet(16, 3);
  for (const vm& each : fleet) {
    EXPECT_TRUE(Plan("vm-0", fleet).IsRelay(each.name));
  }
  EXPECT_EQ(Plan("vm-0", fleet).Preferred().size(), 15U);
  EXPECT_TRUE(relay_plan("new").IsRelay());
}

TEST(RelayPlanTest, LargeVmsOfEachZoneAreRelays) {
  const auto fleet = Fleet(195, 6, 3);
  std::map<std::string, int> by_zone;
  const relay_plan plan = Plan("vm-100", fleet);
  for (const vm& each : fleet) {
    if (plan.IsRelay(each.name)) {
      ++by_zone[each.availability_zone];
      EXPECT_EQ(each.capacity, 512) << each.name;
    }
  }
  ASSERT_EQ(by_zone.size(), 6U);
  for (const auto& [zone, relays] : by_zone) {
    EXPECT_EQ(relays, 2) << zone;
  }
}

TEST(RelayPlanTest, AllVmsAgreeAndPreferTheirZoneThenTheirRegion) {
  const auto fleet = Fleet(195, 6, 3);
  const relay_plan first = Plan("vm-7", fleet);
  std::map<std::string, const vm*> by_name;
  for (const vm& each : fleet) {
    by_name[each.name] = &each;
  }
  std::map<std::string, int> followers;
  for (const vm& each : fleet) {
    const relay_plan plan = Plan(each.name, fleet);
    for (const vm& other : fleet) {
      ASSERT_EQ(plan.IsRelay(other.name), first.IsRelay(other.name));
    }
    if (plan.IsRelay()) {
      continue;
    }
    const auto& preferred = plan.Preferred();
    ASSERT_EQ(preferred.size(), 12U);
    EXPECT_EQ(by_name[preferred[0]]->availability_zone, each.availability_zone);
    EXPECT_EQ(by_name[preferred[1]]->availability_zone, each.availability_zone);
    EXPECT_EQ(by_name[preferred[2]]->region, each.region);
    ++followers[preferred[0]];
  }
  EXPECT_EQ(followers.size(), 12U);
  for (const auto& [name, count] : followers) {
    EXPECT_LE(count, 25) << name;
  }
}

// When a relay leaves the fleet, only one other VM changes its role.
TEST(RelayPlanTest, LossOfAVmReplacesOnlyThatRelay) {
  auto fleet = Fleet(195, 6, 3);
  const relay_plan before = Plan("vm-7", fleet);
  const auto lost = std::find_if(fleet.begin(), fleet.end(), [&](const vm& of) {
    return of.name != "vm-7" && before.IsRelay(of.name);
  });
  const std::string name = lost->name;
  fleet.erase(lost);
  const relay_plan after = Plan("vm-7", fleet);
  int changed = 0;
  for (const vm& each : fleet) {
    changed += before.IsRelay(each.name) != after.IsRelay(each.name) ? 1 : 0;
  }
  EXPECT_EQ(changed, 1);
}

TEST(RelayPlanTest, RelaysGrowWithTheZone) {
  const auto fleet = Fleet(4'700, 7);
  const relay_plan plan = Plan("vm-0", fleet);
  const auto relays =
      std::count_if(fleet.begin(), fleet.end(),
                    [&](const vm& each) { return plan.IsRelay(each.name); });
  EXPECT_GE(relays * relay_plan::kFollowers, 4'700U);
  EXPECT_LE(relays, 160);
}

// --- Choice of the relay to follow ---

TEST(RelaySelectorTest, LostRelayIsSkippedWithinASecond) {
  const time_point now = TimeFromMs(10'000);
  const std::vector<std::string> preferred = {"a", "b", "c"};
  std::map<std::string, relay_status, std::less<>> statuses;
  const relay_selector choice;
  EXPECT_FALSE(choice.Choose(now, preferred, statuses));
  for (const std::string& name : preferred) {
    statuses[name] = {true, true, now};
  }
  EXPECT_EQ(choice.Choose(now, preferred, statuses), "a");
  const time_point later = now + milliseconds(900);
  statuses["b"].last_heard = later;
  EXPECT_EQ(choice.Choose(later, preferred, statuses), "b");
}

// Guards against two VMs that follow each other and receive no store changes.
TEST(RelaySelectorTest, OnlyAVmThatWatchesTheStoreIsFollowed) {
  const time_point now = TimeFromMs(10'000);
  std::map<std::string, relay_status, std::less<>> statuses;
  statuses["a"] = {false, true, now};
  EXPECT_FALSE(relay_selector().Choose(now, {"a"}, statuses));
}

TEST(RelaySelectorTest, RelayThatReachesTheStoreIsPreferred) {
  const time_point now = TimeFromMs(10'000);
  std::map<std::string, relay_status, std::less<>> statuses;
  statuses["a"] = {true, false, now};
  statuses["b"] = {true, true, now};
  EXPECT_EQ(relay_selector().Choose(now, {"a", "b"}, statuses), "b");
  statuses["b"].reaches_store = false;
  EXPECT_EQ(relay_selector().Choose(now, {"a", "b"}, statuses), "a");
}

// --- Copies of the store ---

item Item(const std::string& key, const std::string& value, int64_t revision) {
  return {.key = key, .value = value, .revision = revision};
}
change Written(const std::string& key, const std::string& value, int64_t rev) {
  return {Item(key, value, rev), false};
}
change Removed(const std::string& key, int64_t revision) {
  return {{.key = key, .revision = revision}, true};
}

std::map<std::string, std::string> Values(const store_copy& of) {
  std::map<std::string, std::string> values;
  for (const item& each : of.Items()) {
    values[each.key] = each.value;
  }
  return values;
}

TEST(StoreCopyTest, CopyOfAnotherVmReplacesAnOlderState) {
  store_copy known;
  known.Load({}, 5);
  known.Apply({Written("a", "1", 8)}, 8);
  store_copy stale_copy;
  stale_copy.Load({Item("gone", "9", 2)}, 4);
  const auto taken = stale_copy.Take(known.Since(0));
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->size(), 2U);
  EXPECT_EQ(stale_copy.revision(), 8);
  EXPECT_EQ(Values(stale_copy), Values(known));
  EXPECT_FALSE(stale_copy.Take(known.Since(0)));
}

TEST(StoreCopyTest, FollowerGetsOnlyMissingChanges) {
  store_copy relay;
  relay.Load({Item("a", "1", 3)}, 5);
  store_copy follower;
  follower.Take(relay.Since(0));
  relay.Apply({Written("b", "2", 7), Removed("a", 9)}, 9);
  const wire::store_changes changes = relay.Since(5);
  EXPECT_FALSE(changes.complete);
  EXPECT_EQ(changes.entries.size(), 2U);
  EXPECT_TRUE(follower.Take(changes));
  EXPECT_EQ(Values(follower), Values(relay));
}

// Guards against a copy that lacks changes because the message with them was
// lost and the next one was applied.
TEST(StoreCopyTest, ChangesAfterAGapAreRejected) {
  store_copy relay;
  relay.Load({}, 5);
  relay.Apply({Written("a", "1", 6)}, 6);
  relay.Apply({Written("b", "2", 7)}, 7);
  store_copy follower;
  follower.Load({}, 5);
  EXPECT_FALSE(follower.Take(relay.Since(6)));
  EXPECT_EQ(follower.revision(), 5);
  EXPECT_TRUE(follower.Take(relay.Since(5)));
  EXPECT_EQ(Values(follower), Values(relay));
}

// Guards against a copy that returns to an older state when the store's watch
// resumes at a revision before the copy's, or when another relay's copy is
// older.
TEST(StoreCopyTest, OlderChangesAreIgnored) {
  store_copy copy;
  copy.Load({}, 5);
  wire::store_changes newer{true, 0, 9, {{"a", "3", 8, false, false}}};
  ASSERT_TRUE(copy.Take(newer));
  EXPECT_TRUE(copy.Apply({Written("a", "1", 6), Removed("a", 7)}, 7).empty());
  EXPECT_EQ(Values(copy).at("a"), "3");
  EXPECT_FALSE(copy.Take({true, 0, 8, {}}));
  EXPECT_TRUE(copy.Load({}, 8).empty());
  EXPECT_EQ(Values(copy).at("a"), "3");
  EXPECT_EQ(copy.Apply({Removed("a", 10)}, 10).size(), 1U);
  EXPECT_TRUE(Values(copy).empty());
}

TEST(StoreCopyTest, ChangesOfOneTransactionAreAppliedTogether) {
  store_copy copy;
  copy.Load({}, 5);
  EXPECT_EQ(copy.Apply({Written("a", "1", 6), Written("b", "1", 6)}, 6).size(),
            2U);
}

// `Load` records only the differences from the previous content as changes, so
// followers do not need all keys again.
TEST(StoreCopyTest, LoadReturnsTheDifferences) {
  store_copy relay;
  relay.Load({Item("a", "1", 3), Item("b", "1", 4)}, 5);
  store_copy follower;
  follower.Take(relay.Since(0));
  const auto changes = relay.Load({Item("b", "1", 4), Item("c", "1", 8)}, 9);
  EXPECT_EQ(changes.size(), 2U);
  EXPECT_FALSE(relay.Since(5).complete);
  EXPECT_TRUE(follower.Take(relay.Since(5)));
  EXPECT_EQ(Values(follower), Values(relay));
}

TEST(StoreCopyTest, OldFollowerGetsAllKeys) {
  store_copy relay;
  relay.Load({}, 5);
  for (int64_t i = 0; i < 2 * static_cast<int64_t>(store_copy::kKeptChanges);
       ++i) {
    relay.Apply({Written(fmt::format("k{}", i % 10), "v", 6 + i)}, 6 + i);
  }
  const wire::store_changes changes = relay.Since(7);
  EXPECT_TRUE(changes.complete);
  EXPECT_EQ(changes.entries.size(), 10U);
  EXPECT_FALSE(relay.Since(relay.revision() - 3).complete);
}

TEST(StoreCopyTest, LargeValuesAreSentCompressed) {
  store_copy relay;
  std::string large;
  for (int i = 0; i < 1'500; ++i) {
    large += fmt::format("{{\"route\":{},\"kind\":\"primary\"}},", i);
  }
  relay.Load({Item("config", large, 3)}, 3);
  const wire::store_changes changes = relay.Since(0);
  ASSERT_EQ(changes.entries.size(), 1U);
  EXPECT_TRUE(changes.entries[0].compressed);
  EXPECT_LT(changes.entries[0].value.size(), large.size() / 4);
  store_copy follower;
  ASSERT_TRUE(follower.Take(changes));
  EXPECT_EQ(Values(follower).at("config"), large);
}

TEST(StoreCopyTest, DamagedCompressedValueChangesNothing) {
  store_copy follower;
  follower.Load({Item("a", "1", 2)}, 2);
  const std::vector<std::string> damaged = {"", "no frame",
                                            std::string(64, '\xff')};
  for (const std::string& bytes : damaged) {
    EXPECT_FALSE(follower.Take({true, 0, 9, {{"a", bytes, 9, false, true}}}));
  }
  EXPECT_EQ(follower.revision(), 2);
  EXPECT_EQ(Values(follower).at("a"), "1");
}

// --- Usage totals ---

using wire::organisation_usage;
using wire::usage_scope;

uint64_t Operations(const std::vector<usage_totals::increment>& of) {
  return of.empty() ? 0 : of[0].operations;
}

constexpr time_point kStart = TimeFromMs(1'000);

// Guards against refusals of operations within the rate limit after a restart.
// At the first digest of another VM, a VM once charged its own token bucket for
// all operations that the other VM had ever admitted, which caused 1,550
// refusals in a rolling restart (incident of linshunfa-pool).
TEST(UsageTotalsTest, FirstReportOfAVmAddsNoOperations) {
  usage_totals totals;
  const auto take = [&](uint64_t admitted) {
    return Operations(totals.Take("vm-2", 5, usage_scope::kFollowers, 1,
                                  {{"red", admitted, 10}}, kStart));
  };
  EXPECT_EQ(take(900), 0U);
  EXPECT_EQ(take(907), 7U);
}

TEST(UsageTotalsTest, NewProcessCountsFromItsStart) {
  usage_totals totals;
  totals.Take("vm-2", 5, usage_scope::kFollowers, 1, {{"red", 900, 10}},
              kStart);
  EXPECT_EQ(Operations(totals.Take("vm-2", 6, usage_scope::kFollowers, 1,
                                   {{"red", 12, 10}}, kStart)),
            12U);
}

// A relay's usage report to a follower counts every VM except that follower
// exactly once. Its report to another relay counts only itself and its
// followers.
TEST(UsageTotalsTest, FollowerLearnsOfAllOthersThroughItsRelay) {
  usage_totals relay;
  const auto follower = [&](const char* vm, uint64_t admitted) {
    relay.Take(vm, 1, usage_scope::kOwn, 1, {{"red", admitted, 2}}, kStart);
  };
  const auto other_relay = [&](uint64_t admitted) {
    relay.Take("r2", 1, usage_scope::kFollowers, 40, {{"red", admitted, 30}},
               kStart);
  };
  follower("f1", 100);
  follower("f2", 100);
  other_relay(500);
  follower("f1", 103);
  follower("f2", 105);
  other_relay(511);
  const std::vector<organisation_usage> own = {{"red", 7, 1}};
  const auto admitted = [&](usage_scope scope, const char* to) {
    return relay.Report(own, scope, to).at(0).admitted;
  };
  EXPECT_EQ(admitted(usage_scope::kFleet, "f1"), 7U + 5U + 11U);
  EXPECT_EQ(admitted(usage_scope::kFleet, "f2"), 7U + 3U + 11U);
  EXPECT_EQ(admitted(usage_scope::kFollowers, "r2"), 7U + 3U + 5U);
  EXPECT_EQ(admitted(usage_scope::kOwn, "r2"), 7U);
  EXPECT_EQ(relay.CountedVms(usage_scope::kFleet, "f1"), 1 + 1 + 40);
  EXPECT_EQ(relay.CountedVms(usage_scope::kFollowers, "r2"), 3);
}

// Reported counters must never decrease, or receivers would miss operations.
TEST(UsageTotalsTest, ReportsNeverDecreaseWhenAVmExpires) {
  usage_totals totals;
  totals.Take("f1", 1, usage_scope::kOwn, 1, {{"red", 0, 2}}, kStart);
  totals.Take("f1", 1, usage_scope::kOwn, 1, {{"red", 9, 2}}, kStart);
  const auto before = totals.Report({}, usage_scope::kFollowers, "r2");
  totals.Expire(kStart + seconds(100));
  const auto after = totals.Report({}, usage_scope::kFollowers, "r2");
  EXPECT_EQ(before.at(0).admitted, 9U);
  EXPECT_EQ(after.at(0).admitted, 9U);
  EXPECT_EQ(after.at(0).demand_per_s, 0);
  EXPECT_EQ(totals.CountedVms(usage_scope::kFollowers, "r2"), 1);
}

TEST(UsageTotalsTest, ChangeOfScopeAddsNoOperations) {
  usage_totals totals;
  totals.Take("vm-2", 1, usage_scope::kOwn, 1, {{"red", 5, 2}}, kStart);
  totals.Take("vm-2", 1, usage_scope::kOwn, 1, {{"red", 8, 2}}, kStart);
  EXPECT_EQ(Operations(totals.Take("vm-2", 1, usage_scope::kFollowers, 9,
                                   {{"red", 900, 2}}, kStart)),
            0U);
  EXPECT_EQ(totals.Report({}, usage_scope::kFollowers, "r2").at(0).admitted,
            3U);
}

// --- Reports of a follower ---

class FollowerReportsTest : public testing::Test {
 protected:
  /// This VM has admitted `admitted` operations and reports to `relay`.
  void Report(const char* relay, uint64_t admitted, bool arrives = true) {
    const auto report = reports_.Report(relay, ++sequence_, Usage(admitted));
    if (arrives) {
      relays_[relay].Take("f", 1, usage_scope::kOwn, 1, report, kStart);
      reports_.OnReceived(relay, sequence_);
    }
  }
  uint64_t Counted() const {
    uint64_t sum = 0;
    for (const auto& [name, each] : relays_) {
      for (const auto& usage : each.Report({}, usage_scope::kFollowers, "r")) {
        sum += usage.admitted;
      }
    }
    return sum;
  }

  static std::vector<organisation_usage> Usage(uint64_t admitted) {
    return {{"red", admitted, 1}};
  }

  follower_reports reports_;
  std::map<std::string, usage_totals> relays_;
  uint64_t sequence_ = 0;
};

// Guards against operations that two relays count, which refuses callers within
// their rate for seconds.
TEST_F(FollowerReportsTest, ReturnToAFormerRelayCountsNothingTwice) {
  Report("x", 0);
  Report("x", 10);
  Report("y", 12);  // The baseline.
  Report("y", 30);
  EXPECT_EQ(Counted(), 30U);
  Report("x", 37);
  EXPECT_EQ(Counted(), 37U);
  Report("x", 40);
  Report("y", 45);
  EXPECT_EQ(Counted(), 45U);
}

// Guards against operations that nobody counts: a relay that is cut off does
// not receive the reports to it.
TEST_F(FollowerReportsTest, NextRelayCountsWhatTheLostOneMissed) {
  Report("x", 0);
  Report("x", 10);
  Report("x", 20, false);
  Report("y", 25);
  Report("y", 26);
  EXPECT_EQ(Counted(), 26U);
}

// The first digest to a new process of the relay may be on its way before the
// VM knows of the restart.
TEST_F(FollowerReportsTest, RestartedRelayStartsFromABaseline) {
  Report("x", 0);
  Report("x", 100);
  Report("y", 100);
  Report("y", 200);
  Report("x", 230);
  relays_["x"] = usage_totals();
  Report("x", 250);
  const uint64_t counted = Counted();
  reports_.OnRestart("x");
  Report("x", 260);
  Report("x", 270);
  EXPECT_GE(Counted() - counted, 20U);
  EXPECT_LE(Counted() - counted, 270U - 230U);
}

// Guards against operations of a long cut that nobody counts.
TEST_F(FollowerReportsTest, LostBaselineIsRepeated) {
  Report("x", 0);
  Report("x", 10);
  Report("y", 50, false);
  Report("y", 60);
  Report("y", 70);
  EXPECT_EQ(Counted(), 70U);
}

// The relays have counted a VM's operations while it was one of them.
TEST_F(FollowerReportsTest, FormerRelayIsCountedOnce) {
  reports_.OnCounted(Usage(6'000));
  Report("x", 6'000);
  Report("x", 6'004);
  EXPECT_EQ(Counted(), 4U);
}

TEST_F(FollowerReportsTest, NewOrganisationIsCountedFromItsFirstOperation) {
  Report("x", 0);
  auto usage = Usage(3);
  usage.push_back({"blue", 4, 1});
  relays_["x"].Take("f", 1, usage_scope::kOwn, 1,
                    reports_.Report("x", ++sequence_, usage), kStart);
  EXPECT_EQ(Counted(), 7U);
}

}  // namespace
}  // namespace tarragondale::relay
