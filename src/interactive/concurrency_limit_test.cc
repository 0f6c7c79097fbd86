// Tests of the concurrency limit of a member.
#include "src/interactive/concurrency_limit.h"

#include <gtest/gtest.h>

#include <vector>

#include "src/interactive/broker_harness.h"

namespace tarragondale::interactive {
namespace {

TEST(ConcurrencyLimitTest, RejectionsHalveAndCompletionsRaiseTheLimit) {
  time_point now = TimeFromMs(1'000);
  concurrency_limit limit;
  EXPECT_TRUE(limit.Allows(100));
  limit.OnBusy(7, now);
  EXPECT_TRUE(limit.Allows(3));
  EXPECT_FALSE(limit.Allows(4));
  // Rejections of statements that were sent together count once.
  limit.OnBusy(6, now);
  EXPECT_TRUE(limit.Allows(3));
  for (int i = 0; i < 5; ++i) {
    limit.OnDone(now);
  }
  EXPECT_TRUE(limit.Allows(4));
  now += seconds(3);
  limit.OnDone(now);
  EXPECT_TRUE(limit.Allows(100));
}

TEST(ConcurrencyLimitTest, OneStatementIsAlwaysAllowed) {
  concurrency_limit limit;
  for (int i = 0; i < 20; ++i) {
    limit.OnBusy(0, TimeFromMs(1'000 + i * 100));
  }
  EXPECT_TRUE(limit.Allows(0));
}

// Guards against statements that fail after repeated rejections by a busy
// member, although the member could run them one after the other.
TEST(ConcurrencyLimitTest, BusyMemberRunsAllStatementsInTurn) {
  broker_harness test;
  constexpr session_id kSessions = 12;
  for (session_id id = 1; id <= kSessions; ++id) {
    test.Open(id, "strict");
    test.Send(id, statement_kind::kRead, "x");
  }
  // Simulates a member that runs one statement at a time, queues one more and
  // rejects all others. A statement takes 20 ms.
  for (int round = 0; round < 40; ++round) {
    std::vector<link_id> sent;
    for (const auto& [id, each] : test.links()) {
      if (!each.unanswered.empty()) {
        sent.push_back(id);
      }
    }
    if (!sent.empty()) {
      test.Answer(sent[0]);
    }
    for (size_t i = 2; i < sent.size(); ++i) {
      test.Answer(sent[i], member_code::kBusy);
    }
    test.AdvanceTime(milliseconds(20));
  }
  for (session_id id = 1; id <= kSessions; ++id) {
    EXPECT_EQ(test.LastAnswer(id).code, result_code::kOk) << id;
  }
}

}  // namespace
}  // namespace tarragondale::interactive
