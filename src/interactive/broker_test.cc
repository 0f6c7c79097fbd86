// Tests of the session broker.
#include <gtest/gtest.h>

#include "src/interactive/broker_harness.h"

namespace tarragondale::interactive {
namespace {

using enum statement_kind;
using step = member_statement::step;

broker_options PreferReplicas() {
  broker_options options = broker_harness::DefaultOptions();
  options.primary_penalty = seconds(1);
  return options;
}

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

// Guards against a session that continues after its key was revoked.
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

// Guards against a crash when a route is removed while one of its statements
// waits for a primary or for a retry.
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

// The same crash when a member answers that it is busy.
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

// --- Transactions ---

// Guards against running the statements of one transaction on two connections,
// and against sending a statement before its BEGIN was answered.
TEST(BrokerTest, TransactionKeepsItsLink) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin, "BEGIN");
  EXPECT_EQ(test.LastAnswer(1).state, transaction_state::kOpen);
  EXPECT_EQ(test.Busy(), 0U);  // No link is assigned before a statement.
  test.Send(1, kWrite, "WRITE a b");
  const link_id on = test.Busy("p");
  ASSERT_NE(on, 0U);
  ASSERT_EQ(test.links().at(on).unanswered.size(), 1U);
  EXPECT_EQ(test.links().at(on).unanswered.front().what, step::kBegin);
  test.Answer(on);
  ASSERT_EQ(test.links().at(on).unanswered.size(), 1U);
  EXPECT_EQ(test.links().at(on).unanswered.front().text, "WRITE a b");
  test.Answer(on);
  // A concurrent session of the same organisation gets another link.
  test.Open(2, "own");
  test.Send(2, kWrite, "WRITE c d");
  const link_id other = test.Busy("p");
  EXPECT_NE(other, on);
  test.Answer(other);
  test.Send(1, kCommit, "COMMIT");
  EXPECT_EQ(test.Busy("p"), on);
  test.Answer(on);
  const auto answer = test.LastAnswer(1);
  EXPECT_EQ(answer.code, result_code::kOk);
  EXPECT_EQ(answer.signature, "sig-p");
  EXPECT_EQ(answer.state, transaction_state::kIdle);
}

TEST(BrokerTest, RollbackIsAnsweredAtOnceAndReachesTheMember) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Send(1, kRollback);
  EXPECT_EQ(test.LastAnswer(1).state, transaction_state::kIdle);
  const link_id on = test.Busy("p");
  ASSERT_NE(on, 0U);
  EXPECT_EQ(test.links().at(on).unanswered.front().what, step::kRollback);
}

// Guards against reporting a transaction as aborted although its commit may
// have taken effect.
TEST(BrokerTest, LostLinkEndsATransactionByWhatWasSent) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.Answer(test.Busy("p"));  // BEGIN.
  test.Lose(test.Busy("p"));
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kTransactionAborted);
  test.Send(1, kRead, "READ a");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kStatementMalformed);
  test.Send(1, kRollback);
  EXPECT_EQ(test.LastAnswer(1).state, transaction_state::kIdle);

  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Send(1, kCommit, "COMMIT");
  test.Lose(test.Busy("p"));
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kUnknownConnectionLost);
}

// Guards against not reporting the loss of an idle transaction to its caller,
// or reporting it as an error of the caller.
TEST(BrokerTest, TransactionLostWhileIdleIsToldWithTheNextStatement) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Lose(test.links().begin()->first);
  test.TakeAnswers(1);
  test.Send(1, kRead, "READ a");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kTransactionAborted);
  test.Send(1, kCommit, "COMMIT");
  const auto answer = test.LastAnswer(1);
  EXPECT_EQ(answer.code, result_code::kTransactionAborted);
  EXPECT_EQ(answer.state, transaction_state::kIdle);
}

// Guards against a transaction that stays open on a pooled connection after
// its caller disconnected before BEGIN was answered.
TEST(BrokerTest, CallerThatLeavesDuringTheBeginIsRolledBack) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  const link_id on = test.Busy("p");
  test.Step(caller_closed{1});
  ASSERT_EQ(test.links().at(on).unanswered.size(), 2U);
  EXPECT_EQ(test.links().at(on).unanswered.back().what, step::kRollback);
  test.AnswerAll();
  test.Open(2, "own");
  test.Send(2, kWrite, "WRITE c d");
  EXPECT_EQ(test.Busy("p"), on);
  EXPECT_FALSE(test.links().at(on).in_transaction);
}

// Guards against running a statement inside another caller's transaction: a
// member that rejects a commit because it is busy leaves the transaction open.
TEST(BrokerTest, CommitRefusedAfterItsCallerLeftGivesTheLinkUp) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Send(1, kCommit, "COMMIT");
  const link_id on = test.Busy("p");
  test.Step(caller_closed{1});
  test.Answer(on, member_code::kBusy);
  test.Open(2, "own");
  test.Send(2, kWrite, "WRITE c d");
  const link_id next = test.Busy("p");
  ASSERT_NE(next, 0U);
  EXPECT_FALSE(test.links().at(next).in_transaction);
}

TEST(BrokerTest, IdleTransactionIsRolledBack) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Wait(milliseconds(3'600));
  const link_id on = test.Busy("p");
  ASSERT_NE(on, 0U);
  EXPECT_EQ(test.links().at(on).unanswered.front().what, step::kRollback);
}

TEST(BrokerTest, WriteInAReadOnlyTransactionIsRefused) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kBeginReadOnly);
  test.Send(1, kWrite, "WRITE a b");
  const auto answer = test.LastAnswer(1);
  EXPECT_EQ(answer.code, result_code::kReadOnlyViolation);
  EXPECT_EQ(answer.state, transaction_state::kFailed);
}

// --- Session state on pooled links ---

// Guards against running a statement with the values of another session.
TEST(BrokerTest, LinkGetsTheValuesOfItsSession) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kSet, "SET zone x", "zone", "x");
  test.Send(1, kWrite, "WRITE a b");
  const link_id on = test.Busy("p");
  test.AnswerAll();
  EXPECT_EQ(test.links().at(on).values,
            (std::map<std::string, std::string>{{"zone", "x"}}));
  test.Open(2, "own");
  test.Send(2, kSet, "SET page 3", "page", "3");
  test.Send(2, kWrite, "WRITE c d");
  ASSERT_EQ(test.Busy("p"), on);
  test.AnswerAll();
  EXPECT_EQ(test.links().at(on).values,
            (std::map<std::string, std::string>{{"page", "3"}}));
}

// Guards against executing the prepared statement of another session that uses
// the same name.
TEST(BrokerTest, PreparedNamesOfSessionsDoNotMeet) {
  broker_harness test;
  test.Open(1, "own");
  test.Open(2, "own");
  test.Send(1, kPrepare, "", "s1", "q2c", true);
  test.Send(2, kPrepare, "", "s1", "other", true);
  test.Send(1, kExecute, "", "s1", "1a4 data");
  const link_id on = test.Busy("p");
  const auto first = test.links().at(on).all;
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0].what, step::kPrepare);
  EXPECT_EQ(first[0].argument, "q2c");
  EXPECT_EQ(first[1].what, step::kExecute);
  EXPECT_EQ(first[1].name, first[0].name);
  EXPECT_EQ(first[1].argument, "1a4 data");
  test.AnswerAll();
  test.Send(2, kExecute, "", "s1", "1a4 data");
  ASSERT_EQ(test.Busy("p"), on);
  const auto& all = test.links().at(on).all;
  EXPECT_EQ(all.back().what, step::kExecute);
  EXPECT_NE(all.back().name, first[1].name);
}

TEST(BrokerTest, UnknownPreparedNameIsAnsweredHere) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kExecute, "", "s1", "x");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kPreparedStatementUnknown);
  test.Send(1, kDeallocate, "", "s1");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kPreparedStatementUnknown);
}

// Guards against running a statement on a connection of another organisation.
TEST(BrokerTest, LinksBelongToOneOrganisation) {
  broker_harness test;
  test.Open(1, "own", "key-red");
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Open(2, "own", "key-blue");
  test.Send(2, kWrite, "WRITE c d");
  const link_id on = test.Busy("p");
  ASSERT_NE(on, 0U);
  EXPECT_EQ(test.links().at(on).organisation, "blue");
}

// --- Freshness ---

// Guards against a read on a replica that may lack an acknowledged commit.
TEST(BrokerTest, ReplicaReadRequiresAPositionThatIsNewEnough) {
  broker_harness test(PreferReplicas());
  test.Open(1, "bounded");
  test.Send(1, kRead, "READ a");
  // The primary's log position is unknown, so no replica is eligible.
  EXPECT_NE(test.Busy("p"), 0U);
  test.AnswerAll({1, 50});
  test.Send(1, kRead, "READ a");
  const link_id on = test.Busy();
  ASSERT_NE(test.links().at(on).member, "p");
  EXPECT_EQ(test.links().at(on).unanswered.front().minimum,
            (log_position{1, 50}));
  test.Answer(on);
  // By now the observation is older than the bound minus the safety margin.
  test.Wait(milliseconds(1'500));
  test.Send(1, kRead, "READ a");
  EXPECT_NE(test.Busy("p"), 0U);
}

// Guards against a session that does not see its own commits.
TEST(BrokerTest, ReadYourWritesRequiresTheSessionsCommit) {
  broker_harness test(PreferReplicas());
  test.Open(2, "own");
  test.Send(2, kWrite, "WRITE x y");
  test.AnswerAll({1, 50});
  test.Wait(milliseconds(20));
  test.Open(1, "own");
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll({1, 60});
  test.Send(1, kRead, "READ a");
  link_id on = test.Busy();
  ASSERT_NE(test.links().at(on).member, "p");
  EXPECT_EQ(test.links().at(on).unanswered.front().minimum,
            (log_position{1, 60}));
  test.Answer(on);
  test.Send(2, kRead, "READ a");
  on = test.Busy();
  ASSERT_NE(test.links().at(on).member, "p");
  EXPECT_EQ(test.links().at(on).unanswered.front().minimum,
            (log_position{1, 50}));
}

TEST(BrokerTest, LaggingReplicasLeaveTheReadToThePrimary) {
  broker_harness test;
  test.Open(1, "bounded");
  test.Send(1, kRead, "READ a");
  test.AnswerAll({1, 50});
  test.TakeAnswers(1);
  test.Send(1, kRead, "READ a");
  test.Answer(test.Busy(), member_code::kLagging, {}, {1, 40});
  test.Answer(test.Busy(), member_code::kLagging, {}, {1, 40});
  EXPECT_NE(test.Busy("p"), 0U);
  test.AnswerAll({1, 50});
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
}

// Guards against requiring a position of a superseded primary, which no member
// may ever reach. After a failover only positions of the new term are required.
TEST(BrokerTest, PositionsOfAnOldTermAreForgotten) {
  broker_harness test;
  test.Open(1, "own");
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll({1, 90});
  test.GrantRight("r1", 2);
  test.Open(2, "own");
  test.Send(2, kWrite, "WRITE c d");
  test.AnswerAll({2, 80});
  test.Send(2, kRead, "READ a");
  const link_id on = test.Busy();
  ASSERT_NE(on, 0U);
  EXPECT_EQ(test.links().at(on).unanswered.front().minimum,
            (log_position{2, 80}));
}

// --- Primary leases ---

// Guards against a write on a primary after the primary lease has expired.
TEST(BrokerTest, NothingRunsOnAPrimaryWithoutARight) {
  broker_harness test;
  test.GrantRight("p", 1, milliseconds(100));
  test.Wait(milliseconds(100));
  test.Open(1, "own");
  test.Send(1, kWrite, "WRITE a b");
  EXPECT_EQ(test.Busy(), 0U);
  test.GrantRight("p", 1);
  EXPECT_NE(test.Busy("p"), 0U);
}

// Guards against acknowledging a write that a superseded primary committed, and
// against returning a stale read from it.
TEST(BrokerTest, AnswerAfterTheEndOfTheRightIsNotAcknowledged) {
  broker_harness test;
  test.GrantRight("p", 1, milliseconds(100));
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a b");
  const link_id on = test.Busy("p");
  test.Wait(milliseconds(120));
  test.Answer(on);
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kUnknownConnectionLost);
  test.GrantRight("p", 1, milliseconds(100));
  test.Send(1, kRead, "READ a");
  const link_id read = test.Busy("p");
  test.Wait(milliseconds(120));
  test.Answer(read);
  EXPECT_TRUE(test.TakeAnswers(1).empty());  // The read is retried later.
  test.GrantRight("r1", 2);
  EXPECT_NE(test.Busy("r1"), 0U);
}

// Guards against transactions that continue on a primary after this VM has
// reported that it stopped using it.
TEST(BrokerTest, StopPrimaryWorkEndsTransactionsAndStatements) {
  broker_harness test;
  test.Open(1, "own");
  test.Open(2, "own");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Send(2, kWrite, "WRITE c d");
  EXPECT_EQ(test.broker().PrimaryWork("g", 2), 2U);
  const auto actions = test.broker().StopPrimaryWork(test.now(), "g", 2);
  EXPECT_EQ(test.broker().PrimaryWork("g", 2), 0U);
  const auto unknown =
      std::count_if(actions.begin(), actions.end(), [](const action& each) {
        const auto* answer = std::get_if<answer_caller>(&each);
        return answer != nullptr &&
               answer->code == result_code::kUnknownConnectionLost;
      });
  EXPECT_EQ(unknown, 1);
  test.Send(1, kCommit, "COMMIT");
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kTransactionAborted);
}

// --- Failures ---

TEST(BrokerTest, ReadIsSentAgainAndWriteIsNot) {
  broker_harness test;
  test.Open(1, "strict");
  test.Send(1, kRead, "READ a");
  test.Lose(test.Busy("p"));
  test.Wait(milliseconds(50));
  test.AnswerAll();
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
  test.Send(1, kWrite, "WRITE a b");
  test.Lose(test.Busy("p"));
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kUnknownConnectionLost);
  // The remaining statement is a health check of the member.
  EXPECT_EQ(test.links().at(test.Busy()).unanswered.front().what,
            step::kStatus);
}

TEST(BrokerTest, BusyMemberIsAskedAgain) {
  broker_harness test;
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a b");
  test.Answer(test.Busy("p"), member_code::kBusy);
  EXPECT_EQ(test.Busy("p"), 0U);
  test.Wait(milliseconds(60));
  EXPECT_NE(test.Busy("p"), 0U);
  test.AnswerAll();
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
}

// Guards against waiting forever on a connection that stops responding: a write
// ends with an unknown result at its timeout, and the connection is closed.
TEST(BrokerTest, SilentLinkIsGivenUpAtTheTimeLimit) {
  broker_harness test;
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a b");
  const link_id on = test.Busy("p");
  test.Wait(milliseconds(1'050));
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kUnknownTimeout);
  EXPECT_FALSE(test.links().contains(on));
}

// A statement that was never sent must be reported as not run.
TEST(BrokerTest, StatementWithoutPrimaryIsRefusedAsNotRun) {
  broker_harness test;
  test.down().insert("p");
  test.Open(1, "strict");
  test.Send(1, kWrite, "WRITE a b");
  test.Wait(milliseconds(1'000));
  EXPECT_EQ(InfoOf(test.LastAnswer(1).code).result, outcome::kNotRun);
  EXPECT_GT(test.broker().HealthOf("p").failures, 1);
  EXPECT_TRUE(test.broker().HealthOf("p").failing_since);
}

TEST(BrokerTest, MemberThatLeavesGetsNoNewWork) {
  broker_harness test;
  test.Open(1, "bounded");
  test.Send(1, kRead, "READ a");
  test.AnswerAll({1, 50});
  test.members()["r1"].draining = true;
  test.members().erase("r2");
  test.PublishMembers();
  test.Send(1, kRead, "READ a");
  EXPECT_EQ(test.links().at(test.Busy()).member, "p");
}

// Guards against sending statements on connections to a previous process of a
// restarted member.
TEST(BrokerTest, MemberThatStartedAnewGetsNewLinks) {
  broker_harness test;
  test.Open(1, "strict");
  test.Send(1, kRead, "READ a");
  const link_id on = test.Busy("p");
  test.AnswerAll();
  test.members()["p"].started_ms = 2;
  test.PublishMembers();
  EXPECT_FALSE(test.links().contains(on));
}

// --- Shutdown ---

TEST(BrokerTest, DrainClosesIdleSessionsAfterTheNotice) {
  broker_harness test;
  test.Open(1, "own");
  test.Open(2, "own");
  test.Send(2, kBegin);
  test.Send(2, kWrite, "WRITE a b");
  test.AnswerAll();
  test.Step(drain_started{});
  test.Wait(milliseconds(2'000));
  EXPECT_EQ(test.broker().sessions(), 2U);
  test.Wait(milliseconds(700));
  EXPECT_EQ(test.broker().sessions(), 1U);
  test.Send(2, kCommit, "COMMIT");
  test.AnswerAll();
  const auto answer = test.LastAnswer(2);
  EXPECT_EQ(answer.code, result_code::kOk);
  EXPECT_TRUE(answer.close);
}

// Guards against reloaded limits that do not apply to existing sessions.
TEST(BrokerTest, ChangedOptionsAreInForceAtOnce) {
  broker_harness test;
  test.Open(1, "own");
  test.Step(drain_started{});
  broker_options options = broker_harness::DefaultOptions();
  options.drain_notice = milliseconds(100);
  test.Step(options_changed{options});
  test.Wait(milliseconds(600));
  EXPECT_EQ(test.broker().sessions(), 0U);
}

// --- Start ---

// Guards against refusing sessions that open before the first configuration is
// loaded.
TEST(BrokerTest, SessionsWaitForTheFirstConfiguration) {
  session_broker broker(broker_harness::DefaultOptions());
  const time_point now = TimeFromMs(1'000);
  EXPECT_TRUE(broker.Step(now, caller_opened{1, "d", ""}).empty());
  EXPECT_TRUE(broker.Step(now, caller_opened{2, "d", ""}).empty());
  broker.Step(now, caller_closed{1});
  auto value = std::make_shared<catalogue>();
  value->routes["d"] = {.name = "r", .database = "d", .group = "g"};
  value->routes["d"].open = true;
  const auto actions = broker.Step(now, catalogue_changed{value});
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<accept_caller>(actions[0]).session, 2U);
}

// --- Rate ---

TEST(BrokerTest, OperationsBeyondTheRateAreRefused) {
  broker_harness test;
  test.configuration().organisations["red"] = {"red", 10, 10};
  test.configuration().version = 2;
  test.Configure();
  test.Open(1, "strict");
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    test.Send(1, kRead, "READ a");
    test.AnswerAll();
    refused += test.LastAnswer(1).code == result_code::kRateExceeded ? 1 : 0;
  }
  EXPECT_GE(refused, 25);
  EXPECT_LT(refused, 40);
}

}  // namespace
}  // namespace tarragondale::interactive
