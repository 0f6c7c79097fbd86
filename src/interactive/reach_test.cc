// Tests of sessions that return to their entry VMs since this VM does not reach
// the primary.
#include <gtest/gtest.h>

#include "src/interactive/broker_harness.h"

namespace tarragondale::interactive {
namespace {

const duration until_suspect =
    broker_options().unresponsive_check_delay + milliseconds(20);

void Host(broker_harness& test,
          session_id session,
          const std::string& database,
          duration may_return_after = duration(0)) {
  session_hosted hosted{.session = session,
                        .database = database,
                        .organisation = "red",
                        .values = {},
                        .prepared = {},
                        .written = {}};
  hosted.may_return_after = may_return_after;
  test.Step(hosted);
}

class ReachTest : public testing::Test {
 protected:
  /// The primary answers no connection attempts any more.
  void CutPrimary() {
    test_.silent_members().insert("p");
    Host(test_, 1, "strict");
    test_.Send(1, statement_kind::kWrite, "w1");
    test_.AdvanceTime(until_suspect);
  }

  broker_harness test_;
};

TEST_F(ReachTest, WaitingStatementReturnsOnceThePrimaryIsSuspect) {
  CutPrimary();
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
  EXPECT_EQ(test_.broker().sessions(), 0U);
  EXPECT_TRUE(test_.TakeAnswers(1).empty());
  EXPECT_EQ(test_.broker().metrics().sessions_returned, 1U);
}

// Each statement and begin that follows is returned at once, and takes no token
// of its organisation's rate.
TEST_F(ReachTest, LaterOperationsReturnAtOnce) {
  CutPrimary();
  const uint64_t admitted = test_.broker().Usage(test_.now())["red"].admitted;
  Host(test_, 2, "strict");
  test_.Send(2, statement_kind::kRead, "r1");
  Host(test_, 3, "strict");
  test_.Send(3, statement_kind::kBegin);
  EXPECT_EQ(test_.returned(), (std::vector<session_id>{1, 2, 3}));
  EXPECT_EQ(test_.broker().Usage(test_.now())["red"].admitted, admitted);
}

TEST_F(ReachTest, SessionThatCameBackWaits) {
  CutPrimary();
  Host(test_, 2, "strict", seconds(2));
  test_.Send(2, statement_kind::kWrite, "w2");
  test_.AdvanceTime(milliseconds(100));
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
  test_.AdvanceTime(seconds(1));
  EXPECT_EQ(test_.LastAnswer(2).code, result_code::kDeadlineBeforeStart);
  // It stays attached, but another cut may be of this VM only.
  test_.AdvanceTime(seconds(1));
  test_.Send(2, statement_kind::kWrite, "w3");
  EXPECT_EQ(test_.returned(), (std::vector<session_id>{1, 2}));
}

TEST_F(ReachTest, OwnCallersSessionsStay) {
  CutPrimary();
  test_.Open(2, "strict");
  test_.Send(2, statement_kind::kWrite, "w2");
  test_.AdvanceTime(milliseconds(100));
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
}

// Guards against moving reads that replicas can run here.
TEST_F(ReachTest, ReadRunsOnAReplicaWhilePositionsAreKnown) {
  CutPrimary();
  test_.Step(position_reported{"g", {1, 5}, test_.now()});
  Host(test_, 2, "bounded");
  test_.Send(2, statement_kind::kRead, "r1");
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
  EXPECT_TRUE(test_.PendingLink("r1") != 0 || test_.PendingLink("r2") != 0);
}

TEST_F(ReachTest, ReadReturnsWithoutARecentPosition) {
  CutPrimary();
  Host(test_, 2, "bounded");
  test_.Send(2, statement_kind::kRead, "r1");
  EXPECT_EQ(test_.returned(), (std::vector<session_id>{1, 2}));
}

// A member with many callers may accept connections late.
TEST_F(ReachTest, MemberThatAnswersOnOtherConnectionsIsNotSuspect) {
  Host(test_, 9, "strict");
  test_.Send(9, statement_kind::kWrite, "w0");
  const link_id busy = test_.PendingLink("p");
  ASSERT_NE(busy, 0U);
  test_.silent_members().insert("p");
  Host(test_, 1, "strict");
  test_.Send(1, statement_kind::kWrite, "w1");
  test_.AdvanceTime(milliseconds(300));
  test_.Answer(busy);
  test_.AdvanceTime(milliseconds(100));
  EXPECT_TRUE(test_.returned().empty());
}

// The primary is replaced at all VMs alike, so no other host can help.
TEST_F(ReachTest, SessionStaysWhileThePrimaryIsReplaced) {
  test_.GrantRight("", 2);
  Host(test_, 1, "strict");
  test_.Send(1, statement_kind::kWrite, "w1");
  test_.AdvanceTime(milliseconds(500));
  EXPECT_TRUE(test_.returned().empty());
  test_.GrantRight("r1", 3);
  EXPECT_NE(test_.PendingLink("r1"), 0U);
}

TEST_F(ReachTest, SessionReturnsWhenThisVmsLeaseHasExpired) {
  test_.GrantRight("p", 1, milliseconds(100));
  test_.AdvanceTime(milliseconds(200));
  Host(test_, 1, "strict");
  test_.Send(1, statement_kind::kWrite, "w1");
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
}

// A begin is answered without a member, so the transaction can't move; its
// caller can start it again at once.
TEST_F(ReachTest, TransactionWithoutAMemberIsRefused) {
  Host(test_, 2, "strict");
  test_.Send(2, statement_kind::kBegin);
  CutPrimary();
  test_.TakeAnswers(2);
  test_.Send(2, statement_kind::kWrite, "w2");
  const answer_caller refused = test_.LastAnswer(2);
  EXPECT_EQ(refused.code, result_code::kDatabaseUnavailable);
  EXPECT_EQ(InfoOf(refused.code).result, outcome::kNotRun);
  EXPECT_EQ(refused.state, transaction_state::kFailed);
  test_.Send(2, statement_kind::kRollback);
  test_.Send(2, statement_kind::kBegin);
  EXPECT_EQ(test_.returned(), (std::vector<session_id>{1, 2}));
}

TEST_F(ReachTest, SessionsRunHereAgainOnceThePrimaryAnswers) {
  test_.unreachable_members().insert("p");
  Host(test_, 1, "strict");
  test_.Send(1, statement_kind::kWrite, "w1");
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
  test_.unreachable_members().clear();
  test_.AdvanceTime(milliseconds(600));  // A status check opens a connection.
  test_.AnswerAll();
  Host(test_, 2, "strict");
  test_.Send(2, statement_kind::kWrite, "w2");
  EXPECT_NE(test_.PendingLink("p"), 0U);
  EXPECT_EQ(test_.returned(), std::vector<session_id>{1});
}

}  // namespace
}  // namespace tarragondale::interactive
