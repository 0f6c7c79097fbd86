// Tests of the counts over a member's links, and a measurement of what one
// dispatch costs while many statements wait.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>

#include "src/interactive/broker_harness.h"
#include "src/interactive/member_pool.h"

namespace tarragondale::interactive {
namespace {

constexpr session_id kWaiting = 1'000;

double MicrosecondsPerDispatch(broker_options options, int links) {
  broker_harness test(std::move(options));
  test.configuration().groups["g"] = {"g", links, 0};
  test.configuration().organisations["red"] = {"red", 0, 0};
  test.Configure();
  test.Step(position_reported{"g", {1, 1}, test.now()});
  for (session_id id = 1; id <= kWaiting; ++id) {
    test.Open(id, id % 2 == 0 ? "bounded" : "strict");
    test.Send(id, statement_kind::kRead, "x");
  }
  constexpr int kDispatches = 100;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDispatches; ++i) {
    test.Step(position_reported{"g", {1, 1}, test.now()});
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / kDispatches;
}

// Guards against counts that miss a change of a link.
TEST(MemberLoadTest, CountsFollowEachChange) {
  const broker_options options = broker_harness::DefaultOptions();
  member_pool pool(options);
  pool.SetDirectory({{"m", {"m", "g", "127.0.0.1:1", "z", 2, false, false, 1}}},
                    TimeFromMs(1));
  member& of = *pool.Find("m");
  EXPECT_EQ(pool.LoadOf(of), member_load());
  const link_id id = pool.AddLink(of, "red", TimeFromMs(2)).id;
  EXPECT_EQ(pool.LoadOf(of).running, 1);
  EXPECT_EQ(pool.LoadOf(of).opening_since, TimeFromMs(2));
  pool.FindLink(id)->open = true;
  EXPECT_EQ(pool.LoadOf(of).running, 0);
  EXPECT_TRUE(pool.LoadOf(of).HasIdle("red"));
  EXPECT_FALSE(pool.LoadOf(of).HasIdle("blue"));
  link* const idle = pool.FindIdle(of, "red", session());
  ASSERT_NE(idle, nullptr);
  idle->owner = 1;
  idle->awaited.push_back({member_statement::step::kRun, TimeFromMs(3)});
  EXPECT_EQ(pool.LoadOf(of).awaiting, 1);
  EXPECT_EQ(pool.LoadOf(of).sent, TimeFromMs(3));
  EXPECT_FALSE(pool.LoadOf(of).HasIdle("red"));
  pool.RemoveLink(id);
  EXPECT_EQ(pool.LoadOf(of), member_load());
}

// Only prints; times depend on the machine. No member answers, so most
// statements wait.
TEST(DispatchCostTest, ThousandWaitingStatements) {
  for (const int links : {16, 60, 120}) {
    fmt::print(
        "{} connections a member: {:.0f} us per dispatch of {} waiting\n",
        links, MicrosecondsPerDispatch(broker_harness::DefaultOptions(), links),
        kWaiting);
  }
}

}  // namespace
}  // namespace tarragondale::interactive
