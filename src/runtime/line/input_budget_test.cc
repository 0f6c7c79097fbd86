// Tests of the accounting of callers' bytes, in virtual time.
#include "src/runtime/line/input_budget.h"

#include <gtest/gtest.h>

namespace tarragondale::runtime {
namespace {

using limit = input_budget::limit;
using overdue = std::vector<std::pair<input_budget::session_id, limit>>;

constexpr size_t kKiB = 1U << 10;

class InputBudgetTest : public testing::Test {
 protected:
  InputBudgetTest() {
    budget_.SetLimits({.total_bytes = 1'000 * kKiB,
                       .waiting_bytes = 100 * kKiB,
                       .waiting_statements = 4,
                       .unsent_bytes = 50 * kKiB});
    for (const input_budget::session_id each : {1, 2, 3}) {
      budget_.Open(each);
    }
  }

  input_budget budget_;
  time_point now_{seconds(100)};
};

TEST_F(InputBudgetTest, ClosedSessionHoldsNothing) {
  budget_.SetUnread(now_, 1, 10, false);
  budget_.AddStatement(1, 20);
  budget_.SetKept(1, 30);
  budget_.SetUnsent(now_, 1, 40, false);
  budget_.SetPaused(1, true, true);
  EXPECT_GT(budget_.total(), 100U);
  budget_.Close(1);
  EXPECT_EQ(budget_.total(), 0U);
  budget_.AddStatement(1, 20);
  EXPECT_EQ(budget_.total(), 0U);
}

TEST_F(InputBudgetTest, AnsweredStatementIsNotHeld) {
  budget_.AddStatement(1, 20);
  budget_.AddStatement(1, 30);
  budget_.FinishStatement(1);
  EXPECT_EQ(budget_.held(1), 60U);
  budget_.FinishStatement(1);
  budget_.FinishStatement(1);
  EXPECT_EQ(budget_.held(1), 0U);
}

TEST_F(InputBudgetTest, OneStatementIsAdmittedWhateverItsSize) {
  EXPECT_TRUE(budget_.MayRead(1));
  budget_.AddStatement(1, 200 * kKiB);
  EXPECT_FALSE(budget_.MayRead(1));
  budget_.FinishStatement(1);
  EXPECT_TRUE(budget_.MayRead(1));
}

TEST_F(InputBudgetTest, AFewStatementsAheadAreRead) {
  for (int i = 0; i < 3; ++i) {
    budget_.AddStatement(1, 10);
    EXPECT_TRUE(budget_.MayRead(1));
  }
  budget_.AddStatement(1, 10);
  EXPECT_FALSE(budget_.MayRead(1));
}

TEST_F(InputBudgetTest, CallerThatReadsNoAnswersIsNotRead) {
  budget_.SetUnsent(now_, 1, 60 * kKiB, false);
  EXPECT_FALSE(budget_.MayRead(1));
  budget_.SetUnsent(now_, 1, 10 * kKiB, true);
  EXPECT_TRUE(budget_.MayRead(1));
}

// Above half of the budget, only callers that wait for their answers are read.
TEST_F(InputBudgetTest, NothingIsReadAheadWhenMemoryIsScarce) {
  budget_.SetKept(3, 200 * kKiB);
  budget_.AddStatement(1, 10);
  EXPECT_FALSE(budget_.MayRead(1));
  EXPECT_TRUE(budget_.MayRead(2));
}

TEST_F(InputBudgetTest, LargestHolderIsFoundOnlyWhenTheBudgetIsUsedUp) {
  budget_.SetUnread(now_, 1, 600 * kKiB, false);
  budget_.SetUnread(now_, 2, 300 * kKiB, false);
  EXPECT_EQ(budget_.Largest(), std::nullopt);
  budget_.SetUnread(now_, 3, 200 * kKiB, false);
  EXPECT_EQ(budget_.Largest(), 1U);
  budget_.Close(1);
  EXPECT_EQ(budget_.Largest(), std::nullopt);
}

TEST_F(InputBudgetTest, LineThatDoesNotEndIsOverdue) {
  budget_.SetUnread(now_, 1, 10, false);
  budget_.SetUnread(now_ + seconds(20), 1, 20, false);
  budget_.SetUnread(now_ + seconds(20), 2, 20, false);
  EXPECT_EQ(budget_.Overdue(now_ + seconds(30)), overdue{});
  EXPECT_EQ(budget_.Overdue(now_ + seconds(31)),
            (overdue{{1, limit::kSlowLine}}));
  // A line ended and another began.
  budget_.SetUnread(now_ + seconds(31), 1, 5, true);
  EXPECT_EQ(budget_.Overdue(now_ + seconds(31)), overdue{});
}

// Guards against callers that are disconnected since this VM did not read them.
TEST_F(InputBudgetTest, LineOfAPausedCallerIsNotOverdue) {
  budget_.SetUnread(now_, 1, 10, false);
  budget_.SetPaused(1, true, true);
  EXPECT_EQ(budget_.Overdue(now_ + seconds(60)), overdue{});
  EXPECT_EQ(budget_.pauses(), 1U);
}

TEST_F(InputBudgetTest, IdleCallerIsNeverOverdue) {
  budget_.SetUnread(now_, 1, 10, false);
  budget_.SetUnread(now_, 1, 0, true);
  budget_.SetUnsent(now_, 1, 10, false);
  budget_.SetUnsent(now_, 1, 0, true);
  EXPECT_EQ(budget_.Overdue(now_ + seconds(3'600)), overdue{});
}

TEST_F(InputBudgetTest, AnswerThatIsNotReadIsOverdue) {
  budget_.SetUnsent(now_, 1, 10, false);
  budget_.SetUnsent(now_ + seconds(25), 1, 20, false);
  EXPECT_EQ(budget_.Overdue(now_ + seconds(31)),
            (overdue{{1, limit::kUnread}}));
  budget_.SetUnsent(now_ + seconds(25), 1, 20, true);
  EXPECT_EQ(budget_.Overdue(now_ + seconds(31)), overdue{});
}

// Guards against ending callers that wait for one answer each, because reading
// pauses when much is held, instead of those that hold it.
TEST_F(InputBudgetTest, CallersThatWaitForAnAnswerHoldNoBuffer) {
  budget_.SetLimits({.total_bytes = 10'000'000});
  constexpr size_t kHolders = 100;
  constexpr size_t kWaiting = 1'000;
  for (size_t i = 0; i < kHolders; ++i) {
    budget_.Open(i);
    budget_.SetKept(i, 30'000);
  }
  for (size_t i = kHolders; i < kHolders + kWaiting; ++i) {
    budget_.Open(i);
    budget_.AddStatement(i, 100);
    ASSERT_FALSE(budget_.MayRead(i));
    budget_.SetPaused(i, true, false);
  }
  EXPECT_FALSE(budget_.exceeded());
}

}  // namespace
}  // namespace tarragondale::runtime
