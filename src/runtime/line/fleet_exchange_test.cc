// Tests of the bookkeeping of digests.
#include "src/runtime/line/fleet_exchange.h"

#include <gtest/gtest.h>

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

double Operations(const std::optional<fleet_exchange::received>& taken) {
  return taken && !taken->operations.empty() ? taken->operations[0].second
                                             : -1.0;
}

// Guards against refusals within the rate after a restart: all that another VM
// ever admitted was taken off the bucket at its first digest (an incident of
// linshunfa-pool with a rolling restart, 1,550 refusals).
TEST(FleetExchangeTest, FirstDigestOfAVmCountsNothing) {
  fleet_exchange exchange("vm-1", {});
  const time_point now = TimeFromMs(1'000);
  EXPECT_EQ(Operations(exchange.Take("vm-2", Digest(1, 5, 900), now)), 0);
  EXPECT_EQ(Operations(exchange.Take("vm-2", Digest(2, 5, 907), now)), 7);
}

TEST(FleetExchangeTest, NewProcessCountsFromItsStart) {
  fleet_exchange exchange("vm-1", {});
  const time_point now = TimeFromMs(1'000);
  exchange.Take("vm-2", Digest(1, 5, 900), now);
  EXPECT_EQ(Operations(exchange.Take("vm-2", Digest(1, 6, 12), now)), 12);
  EXPECT_FALSE(exchange.Take("vm-2", Digest(9, 5, 950), now));
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
  wire::fleet_digest first;
  exchange.Stamp("vm-2", TimeFromMs(1'000), first);
  wire::fleet_digest second;
  exchange.Stamp("vm-2", TimeFromMs(1'500), second);
  const auto taken =
      exchange.Take("vm-2", Digest(1, 5, 0, first.sequence), TimeFromMs(1'600));
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->echo_sent, TimeFromMs(1'000));
  EXPECT_FALSE(
      exchange.Take("vm-2", Digest(2, 5, 0, 77), TimeFromMs(1'600))->echo_sent);
}

TEST(FleetExchangeTest, SeedsAreAskedWhileNoVmIsKnown) {
  fleet_exchange exchange("vm-1", {"127.0.0.1:9"});
  ASSERT_EQ(exchange.Targets().size(), 1U);
  EXPECT_EQ(exchange.Targets()[0].address, "127.0.0.1:9");
  exchange.Take("vm-2", Digest(1, 5, 0), TimeFromMs(1'000));
  ASSERT_EQ(exchange.Targets().size(), 1U);
  EXPECT_EQ(exchange.Targets()[0].vm, "vm-2");
}

// Guards against a cost that grows with the square of the fleet.
TEST(FleetExchangeTest, LargeFleetsAreToldInTurn) {
  fleet_exchange exchange("vm-1", {});
  std::vector<leadership::vm_registration> vms;
  vms.reserve(100);
  for (int i = 0; i < 100; ++i) {
    vms.push_back({"vm-" + std::to_string(i), "127.0.0.1:2", "z", "r", 1});
  }
  exchange.SetFleet(vms);
  std::set<std::string> told;
  for (int i = 0; i < 7; ++i) {
    const auto targets = exchange.Targets();
    EXPECT_LE(targets.size(), fleet_exchange::kFanOut);
    for (const auto& each : targets) {
      told.insert(each.vm);
    }
  }
  EXPECT_EQ(told.size(), 99U);
}

}  // namespace
}  // namespace tarragondale::runtime
