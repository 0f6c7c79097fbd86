// Tests of primaries in evacuated availability zones.
#include <gtest/gtest.h>

#include "src/leadership/primary_manager_simulation.h"

namespace tarragondale::leadership {
namespace {

// The members `a` (primary), `b` and `c` are in the zones `z`, `z-b` and `z-c`.
class PrimaryEvacuationTest : public testing::Test {
 protected:
  PrimaryEvacuationTest() {
    test_.members().at("b").zone = "z-b";
    test_.members().at("c").zone = "z-c";
    test_.PublishMembers();
    test_.Run(seconds(4));
  }

  primary_manager_simulation test_{21};
};

// Guards against a primary that stays in an evacuated zone, and against one
// that moves back by itself.
TEST_F(PrimaryEvacuationTest, PrimaryIsReplacedAndStaysAway) {
  test_.SetEvacuated("z", true);
  test_.Run(milliseconds(1'500));
  EXPECT_NE(test_.primary(), "a");
  EXPECT_EQ(test_.promotions(), 1);
  EXPECT_TRUE(test_.AllVmsHoldLease());
  test_.SetEvacuated("z", false);
  test_.Run(seconds(10));
  EXPECT_EQ(test_.promotions(), 1);
  EXPECT_TRUE(test_.violations().empty());
}

// Guards against a planned change that cuts primary work off which would have
// ended soon.
TEST_F(PrimaryEvacuationTest, PrimaryWorkMayEnd) {
  for (const auto& each : test_.vms()) {
    each->active_statements = 1;
  }
  test_.SetEvacuated("z", true);
  test_.Run(milliseconds(400));
  for (const auto& each : test_.vms()) {
    EXPECT_EQ(each->active_statements, 1U);
    each->active_statements = 0;
  }
  test_.Run(milliseconds(1'100));
  EXPECT_EQ(test_.promotions(), 1);
}

// Guards against the loss of acknowledged commits that only the evacuated
// primary holds. A leaving primary is replaced after `catch_up_timeout` all the
// same.
TEST_F(PrimaryEvacuationTest, AcknowledgedCommitsAreWaitedFor) {
  test_.members().at("b").status.received = {1, 90};
  test_.members().at("c").status.received = {1, 95};
  test_.SetEvacuated("z", true);
  test_.Run(seconds(8));
  EXPECT_EQ(test_.promotions(), 0);
  test_.members().at("c").status.received = {1, 100};
  test_.Run(seconds(2));
  EXPECT_EQ(test_.primary(), "c");
  EXPECT_TRUE(test_.AllVmsHoldLease());
}

// Guards against the same loss if another controller goes on with the change:
// it knows nothing yet of what the old primary has received.
TEST_F(PrimaryEvacuationTest, NextControllerWaitsForCommitsToo) {
  test_.Run(seconds(16));
  test_.members().at("b").status.received = {1, 90};
  test_.members().at("c").status.received = {1, 95};
  test_.SetEvacuated("z", true);
  test_.Run(seconds(1));
  for (const auto& each : test_.vms()) {
    if (each->manager->Groups()["g"].replacing) {
      test_.Kill(*each);
      test_.Start(*each);
    }
  }
  test_.Run(seconds(10));
  EXPECT_EQ(test_.promotions(), 0);
  test_.members().at("c").status.received = {1, 100};
  test_.Run(seconds(2));
  EXPECT_EQ(test_.primary(), "c");
}

// Guards against a wait for ever for a primary that failed while its commits
// were waited for.
TEST_F(PrimaryEvacuationTest, FailedPrimaryIsNotWaitedFor) {
  test_.members().at("b").status.received = {1, 90};
  test_.members().at("c").status.received = {1, 95};
  test_.SetEvacuated("z", true);
  test_.Run(seconds(3));
  test_.KillMember("a");
  test_.Run(seconds(4));
  EXPECT_EQ(test_.primary(), "c");
}

// Guards against a promotion into an evacuated zone by a failover, although the
// member there has received more.
TEST_F(PrimaryEvacuationTest, FailoverAvoidsTheZone) {
  test_.members().at("c").status.received = {1, 90};
  test_.SetEvacuated("z-b", true);
  test_.Run(seconds(1));
  test_.KillMember("a");
  test_.Run(seconds(4));
  EXPECT_EQ(test_.primary(), "c");
  EXPECT_TRUE(test_.AllVmsHoldLease());
}

// Guards against a promotion into an evacuated zone when no member elsewhere is
// left, and against a group that stays without a primary afterwards.
TEST_F(PrimaryEvacuationTest, NoneIsPromotedIfAllZonesAreEvacuated) {
  for (const char* zone : {"z", "z-b", "z-c"}) {
    test_.SetEvacuated(zone, true);
  }
  test_.Run(seconds(5));
  EXPECT_EQ(test_.promotion_calls(), 0);
  test_.KillMember("a");
  test_.Run(seconds(10));
  EXPECT_EQ(test_.promotion_calls(), 0);
  test_.SetEvacuated("z-c", false);
  test_.Run(seconds(3));
  EXPECT_EQ(test_.primary(), "c");
  EXPECT_TRUE(test_.AllVmsHoldLease());
}

// Guards against a primary that is used again because the members elsewhere
// don't answer, and against its loss when the evacuation ends.
TEST_F(PrimaryEvacuationTest, PrimaryIsKeptOnlyAfterTheEnd) {
  test_.members().at("b").alive = false;
  test_.members().at("c").alive = false;
  test_.SetEvacuated("z", true);
  test_.Run(seconds(10));
  EXPECT_FALSE(test_.AllVmsHoldLease());
  test_.SetEvacuated("z", false);
  test_.Run(seconds(2));
  EXPECT_EQ(test_.primary(), "a");
  EXPECT_EQ(test_.promotions(), 0);
  EXPECT_TRUE(test_.AllVmsHoldLease());
}

// Guards against a second zone whose evacuation begins while the primary moves
// there.
TEST_F(PrimaryEvacuationTest, SecondZoneDuringTheChange) {
  test_.members().at("c").status.received = {1, 99};
  test_.SetEvacuated("z", true);
  test_.Run(milliseconds(200));
  test_.SetEvacuated("z-b", true);
  test_.members().at("c").status.received = {1, 100};
  test_.Run(seconds(4));
  EXPECT_EQ(test_.primary(), "c");
  EXPECT_TRUE(test_.AllVmsHoldLease());
  EXPECT_TRUE(test_.violations().empty());
}

// Guards against a change that no VM finishes because the failover controller
// restarts or loses the store during it.
TEST_F(PrimaryEvacuationTest, ChangeIsFinishedByTheNextController) {
  for (const bool restarts : {false, true}) {
    primary_manager_simulation test(restarts ? 5 : 6);
    test.members().at("b").zone = "z-b";
    test.members().at("c").zone = "z-c";
    test.PublishMembers();
    test.Run(seconds(20));
    test.SetEvacuated("z", true);
    test.Run(milliseconds(120));
    for (const auto& each : test.vms()) {
      if (each->manager->Groups()["g"].replacing) {
        if (restarts) {
          test.Kill(*each);
          test.Start(*each);
        } else {
          each->store_unreachable = true;
        }
      }
    }
    test.Run(seconds(9));
    EXPECT_NE(test.primary(), "a");
    EXPECT_TRUE(test.violations().empty());
  }
}

}  // namespace
}  // namespace tarragondale::leadership
