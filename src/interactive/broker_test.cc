// Tests of the session broker.
#include <gtest/gtest.h>

#include "src/interactive/broker_harness.h"

namespace tarragondale::interactive {
namespace {

using enum statement_kind;
using step = member_statement::step;

TEST(BrokerTest, WriteRunsOnThePrimaryUnchanged) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kWrite, "WRITE a b c");
  const link_id on = test.Busy("p");
  ASSERT_NE(on, 0U);
  EXPECT_EQ(test.links().at(on).unanswered.front().text, "WRITE a b c");
  EXPECT_EQ(test.links().at(on).unanswered.front().id, "q1");
  EXPECT_EQ(test.links().at(on).organisation, "red");
  test.Answer(on);
  const auto answer = test.LastAnswer(1);
  EXPECT_EQ(answer.code, result_code::kOk);
  EXPECT_EQ(answer.signature, "sig-p");
}

TEST(BrokerTest, UnknownDatabaseAndKeyAreRefused) {
  broker_harness test;
  test.Open(1, "none");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kRouteUnknown);
  test.Open(2, "own", "key-none");
  EXPECT_EQ(test.LastAnswer(2).code, result_code::kKeyInvalid);
}

// Guards against a session that goes on with a key that was withdrawn.
TEST(BrokerTest, WithdrawnKeyEndsOpenSessions) {
  broker_harness test;
  test.Open(1, "own");
  test.configuration().key_owners.erase("key-red");
  test.configuration().version = 2;
  test.Configure();
  test.Send(1, kWrite, "WRITE a b");
  const auto answer = test.LastAnswer(1);
  EXPECT_EQ(answer.code, result_code::kKeyInvalid);
  EXPECT_TRUE(answer.close);
  EXPECT_EQ(test.Busy(), 0U);
}

// Guards against a crash when the route of a waiting statement is removed
// (found by a hunted day with configuration changes during retries).
TEST(BrokerTest, RouteRemovedWhileAStatementWaits) {
  broker_harness test;
  test.GrantRight("", 2);
  test.Open(1, "strict");
  test.Send(1, kRead, "READ a");
  test.configuration().routes.erase("strict");
  test.configuration().version = 2;
  test.Configure();
  test.GrantRight("p", 3);
  test.AnswerAll();
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
  test.Send(1, kRead, "READ a");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kRouteUnknown);
}

// Guards against the same crash when a member answers that it is busy.
TEST(BrokerTest, RouteRemovedBeforeARetry) {
  broker_harness test;
  test.Open(1, "strict");
  test.Send(1, kRead, "READ a");
  const link_id on = test.Busy("p");
  test.configuration().routes.erase("strict");
  test.Configure();
  test.Answer(on, member_code::kBusy);
  test.Wait(milliseconds(60));
  test.AnswerAll();
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
}

}  // namespace
}  // namespace tarragondale::interactive
