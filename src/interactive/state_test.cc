// Tests of the position history and of the session state of links.
#include <gtest/gtest.h>

#include "src/interactive/link.h"
#include "src/interactive/position_history.h"

namespace tarragondale::interactive {
namespace {

using step = member_statement::step;

// Guards against returning a position that does not cover all commits
// acknowledged before the bound.
TEST(PositionHistoryTest, LeastPositionThatCoversTheBound) {
  position_history history(seconds(12));
  history.Add({{1, 10}, TimeFromMs(1'000)});
  history.Add({{1, 20}, TimeFromMs(2'000)});
  history.Add({{1, 30}, TimeFromMs(3'000)});
  EXPECT_EQ(history.Covering(TimeFromMs(1'500)), (log_position{1, 20}));
  EXPECT_EQ(history.Covering(TimeFromMs(2'000)), (log_position{1, 20}));
  EXPECT_EQ(history.Covering(TimeFromMs(3'001)), std::nullopt);
}

TEST(PositionHistoryTest, OlderObservationsAndTermsAreIgnored) {
  position_history history(seconds(12));
  history.Add({{2, 5}, TimeFromMs(2'000)});
  history.Add({{2, 4}, TimeFromMs(1'000)});
  history.Add({{1, 90}, TimeFromMs(3'000)});
  EXPECT_EQ(history.newest()->position, (log_position{2, 5}));
}

// Guards against a position history that grows without bound: observations are
// discarded once they are older than the newest one by more than the retention.
TEST(PositionHistoryTest, OldObservationsAreDiscarded) {
  position_history history(milliseconds(100));
  for (int i = 0; i < 1'000; ++i) {
    history.Add({{1, i}, TimeFromMs(i)});
  }
  EXPECT_EQ(history.Covering(TimeFromMs(0)), (log_position{1, 899}));
}

TEST(LinkTest, OnlyDifferencesAreSent) {
  link pooled_link;
  session owner;
  owner.values = {{"a", "1"}, {"b", "2"}};
  EXPECT_EQ(Synchronise(pooled_link, owner, nullptr, 10).size(), 2U);
  EXPECT_TRUE(Synchronise(pooled_link, owner, nullptr, 10).empty());
  owner.values["b"] = "3";
  const auto changed = Synchronise(pooled_link, owner, nullptr, 10);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed[0].argument, "3");
}

// Guards against accumulating more than `max_prepared` prepared statements on a
// connection.
TEST(LinkTest, FullLinkIsReset) {
  link pooled_link;
  const session owner;
  for (int i = 0; i < 5; ++i) {
    const prepared_statement needed{false, std::to_string(i)};
    Synchronise(pooled_link, owner, &needed, 3);
  }
  EXPECT_LE(pooled_link.prepared.size(), 3U);
}

TEST(LinkTest, CommonNamesDifferByShapeAndAccess) {
  EXPECT_NE(PreparedName({false, "a"}), PreparedName({true, "a"}));
  EXPECT_NE(PreparedName({false, "a"}), PreparedName({false, "b"}));
  EXPECT_EQ(PreparedName({false, "a"}), PreparedName({false, "a"}));
}

}  // namespace
}  // namespace tarragondale::interactive
