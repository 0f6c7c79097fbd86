// Tests of the bookkeeping of digests.
#include "src/runtime/line/fleet_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tarragondale::runtime {
namespace {

wire::fleet_digest Digest(uint64_t sequence,
                          int64_t incarnation,
                          uint64_t admitted,
                          uint64_t echo = 0) {
  wire::fleet_digest digest;
  digest.sequence = sequence;
  digest.echo = echo;
  digest.incarnation = incarnation;
  digest.peer_address = "127.0.0.1:2";
  digest.usage = {{"red", admitted, 10}};
  return digest;
}

TEST(FleetExchangeTest, OutdatedDigestsAreDropped) {
  fleet_exchange exchange("vm-1", {});
  const time_point now = TimeFromMs(1'000);
  EXPECT_TRUE(exchange.Take("vm-2", Digest(2, 5, 0), now));
  EXPECT_FALSE(exchange.Take("vm-2", Digest(2, 5, 0), now));
  EXPECT_FALSE(exchange.Take("vm-2", Digest(1, 5, 0), now));
  EXPECT_FALSE(exchange.Take("vm-1", Digest(9, 5, 0), now));
}

// Guards against a proof that is younger than it may be: an echo tells when
// the digest was made at the earliest.
TEST(FleetExchangeTest, EchoTellsWhenTheOwnDigestWasSent) {
  fleet_exchange exchange("vm-1", {});
  exchange.SetFleet({{"vm-2", "127.0.0.1:2", "z", "r", 5}});
  const time_point sent = TimeFromMs(1'000);
  const auto to = exchange.TargetOf("vm-2", sent);
  wire::fleet_digest first;
  exchange.Stamp(to, sent, first);
  wire::fleet_digest second;
  exchange.Stamp(to, TimeFromMs(1'500), second);
  const auto taken =
      exchange.Take("vm-2", Digest(1, 5, 0, first.sequence), TimeFromMs(1'600));
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->echo_sent, TimeFromMs(1'000));
  EXPECT_FALSE(
      exchange.Take("vm-2", Digest(2, 5, 0, 77), TimeFromMs(1'600))->echo_sent);
}

TEST(FleetExchangeTest, SeedsAreAskedWhileNoVmIsKnown) {
  fleet_exchange exchange("vm-1", {"127.0.0.1:9"});
  const time_point now = TimeFromMs(1'000);
  ASSERT_EQ(exchange.Targets(now).size(), 1U);
  EXPECT_EQ(exchange.Targets(now)[0].address, "127.0.0.1:9");
  exchange.Take("vm-2", Digest(1, 5, 0), now);
  ASSERT_EQ(exchange.Targets(now).size(), 1U);
  EXPECT_EQ(exchange.Targets(now)[0].vm, "vm-2");
}

// --- Large fleets ---

std::vector<leadership::vm_registration> Registrations(int vms) {
  std::vector<leadership::vm_registration> all;
  all.reserve(static_cast<size_t>(vms));
  for (int i = 0; i < vms; ++i) {
    leadership::vm_registration vm{"vm-" + std::to_string(i), "127.0.0.1:2",
                                   "z" + std::to_string(i % 6), "r", 1};
    vm.capacity = i < 18 ? 512 : 160;
    all.push_back(vm);
  }
  return all;
}

wire::fleet_digest OfRelay(uint64_t sequence) {
  wire::fleet_digest digest = Digest(sequence, 5, 0);
  digest.watching = true;
  digest.reaches_store = true;
  return digest;
}

// Guards against a cost that grows with the fleet.
TEST(FleetExchangeTest, FollowerTalksToTwoRelaysOfItsZone) {
  fleet_exchange exchange("vm-100", {});
  exchange.SetFleet(Registrations(195));
  time_point now = TimeFromMs(1'000);
  EXPECT_FALSE(exchange.relays());
  const auto asked = exchange.Targets(now);
  EXPECT_EQ(asked.size(), 3U);
  for (const auto& each : asked) {
    EXPECT_EQ(each.to, fleet_exchange::relation::kCandidate);
  }
  exchange.Take(asked[0].vm, OfRelay(1), now);
  EXPECT_TRUE(exchange.ChooseHome(now));
  EXPECT_EQ(exchange.home(), asked[0].vm);
  const auto targets = exchange.Targets(now);
  ASSERT_EQ(targets.size(), 2U);
  EXPECT_EQ(targets[0].to, fleet_exchange::relation::kHome);
  EXPECT_EQ(targets[1].vm, asked[1].vm);
  EXPECT_EQ(targets[1].to, fleet_exchange::relation::kCandidate);
}

TEST(FleetExchangeTest, FollowerOfALostRelayFindsAnother) {
  fleet_exchange exchange("vm-100", {});
  exchange.SetFleet(Registrations(195));
  const time_point now = TimeFromMs(1'000);
  const auto asked = exchange.Targets(now);
  exchange.Take(asked[0].vm, OfRelay(1), now);
  exchange.ChooseHome(now);
  const time_point later = now + milliseconds(900);
  EXPECT_TRUE(exchange.ChooseHome(later));
  EXPECT_TRUE(exchange.home().empty());
  EXPECT_EQ(exchange.Targets(later).size(), 3U);
  exchange.Take(asked[1].vm, OfRelay(1), later);
  EXPECT_TRUE(exchange.ChooseHome(later));
  EXPECT_EQ(exchange.home(), asked[1].vm);
  // The preferred one is asked on, and followed again once it answers.
  exchange.Take(asked[0].vm, OfRelay(2), later);
  EXPECT_TRUE(exchange.ChooseHome(later));
  EXPECT_EQ(exchange.home(), asked[0].vm);
}

// Guards against a VM that watches the store for good, and hears nobody, after
// its relays were cut off from it for a while.
TEST(FleetExchangeTest, VmThatLostItsRelaysFindsOneAgain) {
  const auto fleet = Registrations(195);
  fleet_exchange exchange("vm-100", {});
  exchange.SetFleet(fleet);
  const time_point now = TimeFromMs(1'000);
  const auto asked = exchange.Targets(now);
  exchange.Take(asked[0].vm, OfRelay(1), now);
  exchange.ChooseHome(now);
  const time_point cut = now + seconds(2);
  exchange.ChooseHome(cut);
  ASSERT_TRUE(exchange.home().empty());
  wire::fleet_digest digest;
  exchange.OfferAsRelay(true, digest);
  fleet_exchange relay(asked[0].vm, {});
  relay.SetFleet(fleet);
  ASSERT_TRUE(relay.Take("vm-100", digest, cut));
  EXPECT_TRUE(fleet_exchange::MustAnswer(digest));
  wire::fleet_digest answer;
  relay.OfferAsRelay(true, answer);
  answer.sequence = 2;
  answer.incarnation = 5;
  answer.reaches_store = true;
  exchange.Take(asked[0].vm, answer, cut);
  EXPECT_TRUE(exchange.ChooseHome(cut));
  EXPECT_EQ(exchange.home(), asked[0].vm);
}

TEST(FleetExchangeTest, RelayExchangesWithRelaysAndAnswersFollowers) {
  const auto fleet = Registrations(195);
  std::string relay;
  for (const auto& vm : fleet) {
    fleet_exchange exchange(vm.name, {});
    exchange.SetFleet(fleet);
    if (exchange.relays()) {
      relay = vm.name;
    }
  }
  fleet_exchange exchange(relay, {});
  exchange.SetFleet(fleet);
  const time_point now = TimeFromMs(1'000);
  EXPECT_EQ(exchange.Targets(now).size(), 11U);
  wire::fleet_digest digest = Digest(1, 5, 0);
  digest.follows = true;
  const auto taken = exchange.Take("vm-100", digest, now);
  ASSERT_TRUE(taken);
  EXPECT_TRUE(taken->new_follower);
  EXPECT_EQ(exchange.Followers(now), std::vector<std::string>{"vm-100"});
  EXPECT_EQ(exchange.TargetOf("vm-100", now).to,
            fleet_exchange::relation::kFollower);
  EXPECT_TRUE(exchange.Followers(now + seconds(3)).empty());
}

// Guards against as many calls to the store as there are relays.
TEST(FleetExchangeTest, OnlySomeRelaysOfAKnownFleetMustWatch) {
  const auto fleet = Registrations(8);
  const time_point now = TimeFromMs(1'000);
  size_t watchers = 0;
  size_t fed = 0;
  for (const auto& vm : fleet) {
    fleet_exchange exchange(vm.name, {});
    EXPECT_TRUE(exchange.MustWatch(now)) << "before it knows the fleet";
    exchange.SetFleet(fleet);
    EXPECT_TRUE(exchange.MustWatch(now)) << "before it heard another relay";
    for (const auto& other : fleet) {
      exchange.Take(other.name, OfRelay(1), now);
    }
    watchers += exchange.MustWatch(now) ? 1 : 0;
    fed += exchange.FedRelays(now).size();
  }
  EXPECT_EQ(watchers, relay::watch_plan::kWatchers);
  EXPECT_EQ(fed, fleet.size() - watchers);
}

// Guards against a VM whose relay is slow, and that learns of a configuration
// from no other.
TEST(FleetExchangeTest, FollowerKnowsRelaysOfOtherZones) {
  const auto fleet = Registrations(195);
  fleet_exchange exchange("vm-100", {});
  exchange.SetFleet(fleet);
  EXPECT_TRUE(exchange.NextOtherRelay().empty());
  const time_point now = TimeFromMs(1'000);
  const auto asked = exchange.Targets(now);
  exchange.Take(asked[0].vm, OfRelay(1), now);
  ASSERT_TRUE(exchange.ChooseHome(now));
  const auto zone_of = [&](const std::string& name) {
    return std::find_if(fleet.begin(), fleet.end(),
                        [&](const auto& vm) { return vm.name == name; })
        ->availability_zone;
  };
  const std::string first = exchange.NextOtherRelay();
  const std::string second = exchange.NextOtherRelay();
  ASSERT_FALSE(first.empty());
  EXPECT_NE(zone_of(first), zone_of(exchange.home()));
  EXPECT_NE(zone_of(second), zone_of(exchange.home()));
  EXPECT_NE(first, second);
}

// Guards against a VM that hears nothing of the others for as long as they had
// exchanged digests before: they have forgotten it meanwhile, it has not
// forgotten them.
TEST(FleetExchangeTest, VmThatWasForgottenIsHeardAgain) {
  fleet_exchange one("vm-1", {});
  fleet_exchange other("vm-2", {});
  time_point now = TimeFromMs(1'000);
  const auto send = [&](fleet_exchange& from, const std::string& name,
                        fleet_exchange& to, const std::string& to_name) {
    wire::fleet_digest digest = Digest(0, 5, 0);
    from.Stamp(from.TargetOf(to_name, now), now, digest);
    return to.Take(name, digest, now).has_value();
  };
  one.Take("vm-2", Digest(0, 5, 0), now);
  other.Take("vm-1", Digest(0, 5, 0), now);
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(send(one, "vm-1", other, "vm-2"));
  }
  now += seconds(20);
  one.Take("vm-3", Digest(1, 5, 0), now);  // Forgets vm-2.
  ASSERT_TRUE(send(other, "vm-2", one, "vm-1"));
  EXPECT_TRUE(send(one, "vm-1", other, "vm-2"));
}

// An operation must not be counted on two ways.
TEST(FleetExchangeTest, UsageOfAVmThatOnlyAsksIsNotCounted) {
  fleet_exchange exchange("vm-1", {});
  const time_point now = TimeFromMs(1'000);
  wire::fleet_digest digest = Digest(1, 5, 3);
  EXPECT_TRUE(exchange.Take("vm-2", digest, now)->operations.empty());
  digest.sequence = 2;
  digest.follows = true;
  EXPECT_FALSE(exchange.Take("vm-2", digest, now)->operations.empty());
}

// Guards against taking VMs that have no callers of an organisation for VMs
// that are not heard: their digests do not list it.
TEST(FleetExchangeTest, VmsWithoutUsageAreHeard) {
  fleet_exchange exchange("vm-1", {});
  const time_point now = TimeFromMs(1'000);
  wire::fleet_digest digest = Digest(1, 5, 0);
  digest.usage.clear();
  digest.scope = wire::usage_scope::kFollowers;
  EXPECT_TRUE(exchange.Take("vm-2", digest, now)->counts_usage);
  digest.sequence = 2;
  digest.scope = wire::usage_scope::kOwn;  // It follows another relay.
  EXPECT_FALSE(exchange.Take("vm-2", digest, now)->counts_usage);
}

// A VM that follows two relays in turn, `first` and `second`.
class relay_change {
 public:
  relay_change() {
    exchange.SetFleet(Registrations(195));
    const auto asked = exchange.Targets(now);
    first = asked[0].vm;
    second = asked[1].vm;
  }

  /// The relay tells what all other VMs have admitted.
  uint64_t Hear(const std::string& relay, uint64_t admitted) {
    wire::fleet_digest digest = OfRelay(++sequences_[relay]);
    digest.scope = wire::usage_scope::kFleet;
    digest.usage = {{"red", admitted, 10}};
    digest.echo = received_[relay];
    const auto taken = exchange.Take(relay, digest, now);
    return taken->operations.empty() ? 0 : taken->operations[0].operations;
  }
  /// This VM has admitted `admitted` operations and reports.
  uint64_t Report(uint64_t admitted) {
    wire::fleet_digest digest;
    digest.usage = {{"red", admitted, 1}};
    exchange.Stamp(exchange.TargetOf(exchange.home(), now), now, digest);
    received_[exchange.home()] = digest.sequence;
    return digest.usage.at(0).admitted;
  }
  void Follow(const std::string& relay) {
    now += seconds(5);  // The one that was followed is silent.
    exchange.ChooseHome(now);
    Hear(relay, 0);  // Does not count yet.
    exchange.ChooseHome(now);
    ASSERT_EQ(exchange.home(), relay);
  }

  fleet_exchange exchange{"vm-100", {}};
  time_point now = TimeFromMs(1'000);
  std::string first;
  std::string second;

 private:
  std::map<std::string, uint64_t> sequences_;
  std::map<std::string, uint64_t> received_;
};

// Guards against refusing callers within their rate for seconds after relays
// changed: what one relay has told must not count again when another one, which
// was followed before, tells it.
TEST(FleetExchangeTest, ReturnToAFormerRelayHearsNothingTwice) {
  relay_change test;
  test.Follow(test.first);
  test.Hear(test.first, 100);
  EXPECT_EQ(test.Hear(test.first, 110), 10U);
  test.Follow(test.second);
  EXPECT_EQ(test.Hear(test.second, 112), 0U);
  EXPECT_EQ(test.Hear(test.second, 700), 588U);
  test.Follow(test.first);
  EXPECT_EQ(test.Hear(test.first, 720), 0U);
  EXPECT_EQ(test.Hear(test.first, 725), 5U);
}

// The same for its own operations, which the relays count.
TEST(FleetExchangeTest, ReturnToAFormerRelayReportsNothingTwice) {
  relay_change test;
  test.Follow(test.first);
  test.Report(0);
  test.Hear(test.first, 0);
  EXPECT_EQ(test.Report(10), 10U);
  test.Hear(test.first, 0);
  test.Follow(test.second);
  const uint64_t baseline = test.Report(12);
  test.Hear(test.second, 0);
  EXPECT_EQ(test.Report(50) - baseline, 40U);
  test.Hear(test.second, 0);
  test.Follow(test.first);
  EXPECT_EQ(test.Report(53), 13U);
}

// Guards against operations that count twice when a VM that relayed follows a
// relay, as when a fleet outgrows the full mesh.
TEST(FleetExchangeTest, FormerRelayReportsNothingTwice) {
  fleet_exchange exchange("vm-100", {});
  time_point now = TimeFromMs(1'000);
  exchange.Take("vm-1", Digest(1, 5, 0), now);
  wire::fleet_digest digest;
  digest.usage = {{"red", 6'000, 1}};
  exchange.Stamp(exchange.TargetOf("vm-1", now), now, digest);
  ASSERT_EQ(digest.scope, wire::usage_scope::kFollowers);
  relay_change test;
  exchange.SetFleet(Registrations(195));
  exchange.Take(test.first, OfRelay(1), now);
  exchange.ChooseHome(now);
  ASSERT_EQ(exchange.home(), test.first);
  uint64_t baseline = 0;
  for (const uint64_t admitted : {6'001, 6'005}) {
    wire::fleet_digest report;
    report.usage = {{"red", admitted, 1}};
    exchange.Stamp(exchange.TargetOf(test.first, now), now, report);
    if (baseline == 0) {
      baseline = report.usage.at(0).admitted;
      wire::fleet_digest answer = OfRelay(2);
      answer.echo = report.sequence;
      exchange.Take(test.first, answer, now);
    } else {
      EXPECT_EQ(report.usage.at(0).admitted - baseline, 5U);
    }
  }
}

}  // namespace
}  // namespace tarragondale::runtime
