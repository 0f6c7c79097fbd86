// Tests of the chart library.
#include <gtest/gtest.h>

#include <string>

#include "tarragondale/chart.h"

namespace tarragondale::chart {
namespace {

constexpr char kSmall[] =
    "name small  # comment\nstate a\nstate b\ninitial a\nfinal b\na go -> b\n";

// Guards against an embedded chart that no longer matches the code's enums.
TEST(ChartTest, EmbeddedChartsMatchTheirEnums) {
  const status problem = CheckEmbedded();
  EXPECT_FALSE(problem) << problem->reason;
}

// Guards against a machine that moves on an event which its state rejects.
TEST(ChartTest, FireTakesOnlyDeclaredTransitions) {
  machine<failover> chart;
  EXPECT_FALSE(chart.Fire(failover::event::kPromoted));
  EXPECT_EQ(chart.state(), failover::state::kWatching);
  EXPECT_TRUE(chart.Fire(failover::event::kStart));
  EXPECT_EQ(chart.state(), failover::state::kFencing);
  EXPECT_TRUE(chart.Fire(failover::event::kOvertaken));
  EXPECT_TRUE(chart.InFinalState());
}

// Guards against a faulty chart that is accepted, or reported without reason.
TEST(ChartTest, FaultyChartsAreRefusedWithTheReason) {
  ASSERT_TRUE(Parse(kSmall));
  const struct {
    const char* addition;
    const char* reason;
  } cases[] = {
      {"a go -> b\n", "two transitions"},
      {"a stop -> c\n", "unknown state c"},
      {"state c\nc go -> b\n", "c is unreachable"},
      {"state c\na lose -> c\n", "c can't reach a final state"},
      {"state a\n", "declared twice"},
      {"b back -> a\n", "final state b has a transition"},
      {"a goes b\n", "neither"},
  };
  for (const auto& item : cases) {
    const auto chart = Parse(std::string(kSmall) + item.addition);
    ASSERT_FALSE(chart) << item.addition;
    EXPECT_NE(chart.error().reason.find(item.reason), std::string::npos)
        << chart.error().reason;
  }
  EXPECT_FALSE(Parse("name x\nstate a\nfinal a\n"));
}

// Guards against a chart and an enum that drift apart unnoticed.
TEST(ChartTest, NamesAreCompared) {
  const auto chart = Parse(kSmall);
  const std::array<std::string_view, 2> states = {"a", "b"};
  const std::array<std::string_view, 2> swapped = {"b", "a"};
  const std::array<std::string_view, 1> events = {"go"};
  EXPECT_FALSE(CheckNames(*chart, states, events));
  EXPECT_TRUE(CheckNames(*chart, swapped, events));
  EXPECT_TRUE(CheckNames(*chart, states, states));
}

}  // namespace
}  // namespace tarragondale::chart
