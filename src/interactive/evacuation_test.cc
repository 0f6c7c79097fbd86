// Tests of evacuated availability zones in the session broker.
#include <gtest/gtest.h>

#include <algorithm>

#include "src/interactive/broker_harness.h"
#include "src/interactive/evacuation.h"

namespace tarragondale::interactive {
namespace {

using enum statement_kind;
using step = member_statement::step;

// The members `p`, `r1` and `r2` are in the zones `z`, `z` and `z2`.
class EvacuationTest : public testing::Test {
 protected:
  EvacuationTest() {
    test_.members()["r2"].availability_zone = "z2";
    test_.PublishMembers();
    test_.Open(1, "own");
    test_.Open(2, "own");
    test_.Open(3, "bounded");
  }

  static broker_options Options() {
    broker_options options = broker_harness::DefaultOptions();
    options.primary_penalty = seconds(1);  // Reads prefer replicas.
    return options;
  }

  void Evacuate(const zone_set& zones) {
    for (auto& [id, record] : test_.members()) {
      record.evacuated = zones.contains(record.availability_zone);
    }
    test_.PublishMembers();
  }

  // Statements of callers that the member received; begins count as such.
  int Received(const std::string& member) {
    int count = 0;
    for (const auto& [id, link] : test_.links()) {
      if (link.member == member) {
        count += static_cast<int>(link.all.size());
      }
    }
    return count;
  }

  int LinksTo(const std::string& member) {
    return static_cast<int>(std::count_if(
        test_.links().begin(), test_.links().end(),
        [&](const auto& each) { return each.second.member == member; }));
  }

  // Makes the position of the primary known, which reads on replicas need.
  void RunAWrite(session_id session = 1) {
    test_.Send(session, kWrite, "w");
    test_.AnswerAll();
    test_.TakeAnswers(session);
  }

  std::string MemberOfRead(session_id session = 3) {
    test_.Send(session, kRead, "r");
    const link_id on = test_.PendingLink();
    if (on == 0) {
      return "";
    }
    std::string member = test_.links().at(on).member;
    test_.AnswerAll();
    test_.TakeAnswers(session);
    return member;
  }

  broker_harness test_{Options()};
  const duration limit_ = Options().evacuation_limit;
};

// Guards against reads that still go to a replica of an evacuated zone, and
// against its idle connections, on which a later statement could be sent.
TEST_F(EvacuationTest, ReplicaGetsNothingNewAtOnce) {
  RunAWrite();
  ASSERT_EQ(MemberOfRead(), "r1");
  Evacuate({"z"});
  EXPECT_EQ(LinksTo("r1"), 0);
  EXPECT_EQ(MemberOfRead(), "r2");
  test_.AdvanceTime(seconds(1));
  EXPECT_EQ(LinksTo("r1"), 0);
}

// Guards against a transaction whose begin waits at an evacuated replica and
// whose first statement is then sent there, although another replica can run
// it.
TEST_F(EvacuationTest, TransactionThatBeginsMovesToAnotherReplica) {
  RunAWrite();
  test_.Send(3, kBeginReadOnly);
  test_.Send(3, kRead, "r");
  ASSERT_NE(test_.PendingLink("r1"), 0U);
  Evacuate({"z"});
  EXPECT_EQ(LinksTo("r1"), 0);
  ASSERT_NE(test_.PendingLink("r2"), 0U);
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(3).code, result_code::kOk);
}

// Guards against refusals while a primary in an evacuated zone is being
// replaced, and against its use after the limit.
TEST_F(EvacuationTest, PrimaryIsUsedUntilTheLimit) {
  Evacuate({"z"});
  test_.AdvanceTime(limit_ - milliseconds(10));
  test_.Send(1, kWrite, "w1");
  ASSERT_NE(test_.PendingLink("p"), 0U);
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kOk);
  test_.AdvanceTime(milliseconds(10));
  EXPECT_EQ(LinksTo("p"), 0);
  test_.Send(1, kWrite, "w2");
  const answer_caller refused = test_.LastAnswer(1);
  EXPECT_EQ(refused.code, result_code::kDatabaseUnavailable);
  EXPECT_NE(refused.reason.find("retry after"), std::string::npos);
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against statements that are sent to the new primary late or not at
// all, because its group has evacuated members.
TEST_F(EvacuationTest, ReplacedPrimaryServesAtOnce) {
  Evacuate({"z"});
  test_.Step(primary_leases_changed{
      {{"g", {"p", 1, test_.now() + seconds(60), true}}}});
  test_.Send(1, kWrite, "w1");
  EXPECT_EQ(test_.PendingLink(), 0U);  // Waits for the new primary.
  test_.GrantRight("r2", 2);
  ASSERT_NE(test_.PendingLink("r2"), 0U);
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kOk);
  test_.AdvanceTime(milliseconds(300));
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against a caller that waits for its queue limit although the VM knows
// that the primary may not be used any more.
TEST_F(EvacuationTest, WaitingStatementsAreRefusedAtTheLimit) {
  test_.unreachable_members().insert("p");
  Evacuate({"z"});
  test_.AdvanceTime(limit_ - milliseconds(100));
  test_.Send(1, kWrite, "w1");
  test_.AdvanceTime(milliseconds(90));
  EXPECT_TRUE(test_.TakeAnswers(1).empty());
  test_.AdvanceTime(milliseconds(10));
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kDatabaseUnavailable);
}

// Guards against statements of an open transaction that reach the member after
// the limit, and against a transaction that is reported as committed or in
// doubt although no commit was sent.
TEST_F(EvacuationTest, OpenTransactionsFailAtTheLimit) {
  test_.Send(1, kBegin);
  test_.Send(1, kWrite, "w1");
  test_.AnswerAll();
  test_.Send(2, kBegin);
  test_.Send(2, kWrite, "w2");
  test_.AnswerAll();
  Evacuate({"z"});
  test_.AdvanceTime(milliseconds(500));
  test_.Send(1, kWrite, "w3");
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kOk);
  test_.AdvanceTime(limit_ - milliseconds(510));
  test_.TakeAnswers(2);
  test_.Send(2, kWrite, "w4");  // Is at the member at the limit.
  ASSERT_NE(test_.PendingLink("p"), 0U);
  test_.AdvanceTime(milliseconds(10));
  EXPECT_EQ(LinksTo("p"), 0);
  EXPECT_EQ(test_.LastAnswer(2).code, result_code::kTransactionAborted);
  test_.Send(1, kCommit);
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kTransactionAborted);
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against a statement that is sent after the limit because the VM was
// suspended and handles the caller's statement before its next tick.
TEST_F(EvacuationTest, LimitHoldsForTheFirstEventAfterASuspension) {
  test_.Send(1, kBegin);
  test_.Send(1, kWrite, "w1");
  test_.AnswerAll();
  test_.TakeAnswers(1);
  Evacuate({"z"});
  test_.Suspend(limit_);
  test_.Send(1, kWrite, "w2");
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kTransactionAborted);
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against commits that end as in doubt although the member answers: a
// commit that was sent before the limit is not sent again.
TEST_F(EvacuationTest, CommitInFlightGetsItsAnswer) {
  test_.Send(1, kBegin);
  test_.Send(1, kWrite, "w1");
  test_.AnswerAll();
  test_.TakeAnswers(1);
  Evacuate({"z"});
  test_.AdvanceTime(limit_ - milliseconds(10));
  test_.Send(1, kCommit);
  test_.AdvanceTime(milliseconds(20));
  EXPECT_TRUE(test_.TakeAnswers(1).empty());
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kOk);
  test_.AdvanceTime(milliseconds(300));
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against a rollback that is sent after the limit, because the commit
// that was in flight failed.
TEST_F(EvacuationTest, CommitThatFailsAfterTheLimitIsNotRolledBackThere) {
  test_.Send(1, kBegin);
  test_.Send(1, kWrite, "w1");
  test_.AnswerAll();
  test_.TakeAnswers(1);
  Evacuate({"z"});
  test_.AdvanceTime(limit_ - milliseconds(10));
  test_.Send(1, kCommit);
  test_.AdvanceTime(milliseconds(20));
  test_.Answer(test_.PendingLink("p"), member_code::kFailed);
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kStatementFailed);
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against callers that wait for time-outs when no member elsewhere could
// serve them.
TEST_F(EvacuationTest, AllMembersEvacuatedRefusesAtOnce) {
  RunAWrite();
  test_.Send(2, kBegin);
  test_.Send(2, kWrite, "w1");
  test_.AnswerAll();
  test_.TakeAnswers(2);
  Evacuate({"z", "z2"});
  test_.Send(1, kWrite, "w2");
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kDatabaseUnavailable);
  test_.Send(3, kRead, "r");
  EXPECT_EQ(test_.LastAnswer(3).code, result_code::kDatabaseUnavailable);
  // Refusing an open transaction would only lose work that can still end.
  test_.Send(2, kCommit);
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(2).code, result_code::kOk);
  test_.GrantRight("", 2);
  test_.Send(1, kWrite, "w2");
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kDatabaseUnavailable);
}

// Guards against many statements that one caller has sent ahead and that are
// refused at once.
TEST_F(EvacuationTest, StatementsSentAheadAreAllRefused) {
  test_.Send(1, kWrite, "w");
  for (int i = 0; i < 200; ++i) {
    test_.Send(1, kWrite, "w");
  }
  Evacuate({"z", "z2"});
  test_.AnswerAll();
  const auto answers = test_.TakeAnswers(1);
  ASSERT_EQ(answers.size(), 201U);
  EXPECT_EQ(answers.front().code, result_code::kOk);
  EXPECT_EQ(answers.back().code, result_code::kDatabaseUnavailable);
}

// Guards against reads that wait although neither the evacuated primary nor a
// replica with a known position can run them.
TEST_F(EvacuationTest, ReadWithoutAKnownPositionIsRefused) {
  Evacuate({"z"});
  test_.AdvanceTime(limit_);
  test_.Send(3, kRead, "r");
  EXPECT_EQ(test_.LastAnswer(3).code, result_code::kDatabaseUnavailable);
}

// Guards against an evacuated zone whose primary is used because its entry in
// the directory is gone.
TEST_F(EvacuationTest, UnlistedPrimaryIsEvacuatedToo) {
  member_directory listed = test_.members();
  listed.erase("p");
  listed.erase("r1");
  test_.Step(
      members_changed{std::make_shared<const member_directory>(listed), {"z"}});
  test_.AdvanceTime(limit_);
  test_.Send(1, kWrite, "w");
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kDatabaseUnavailable);
  EXPECT_EQ(LinksTo("p"), 0);
}

// Guards against all VMs sending everything at once to members that are cold,
// and against members that stay unused after their zone's return.
TEST_F(EvacuationTest, ReturnIsGradual) {
  RunAWrite();
  Evacuate({"z"});
  test_.GrantRight("r2", 2);
  test_.AdvanceTime(seconds(10));
  Evacuate({});
  const auto share = [&] {
    int there = 0;
    for (int i = 0; i < 200; ++i) {
      RunAWrite();
      there += MemberOfRead() == "r2" ? 0 : 1;
      test_.Suspend(duration(100));
    }
    return there;
  };
  EXPECT_LT(share(), 10);
  test_.AdvanceTime(seconds(2));
  const int half = share();
  EXPECT_GT(half, 60);
  EXPECT_LT(half, 140);
  test_.AdvanceTime(seconds(3));
  EXPECT_EQ(share(), 200);
}

// Guards against a group that refuses after the end of the evacuation because
// all its members return.
TEST_F(EvacuationTest, MembersWithoutAlternativeServeAtOnceAfterTheEnd) {
  Evacuate({"z", "z2"});
  test_.AdvanceTime(seconds(10));
  Evacuate({});
  test_.Send(1, kWrite, "w");
  ASSERT_NE(test_.PendingLink("p"), 0U);
  test_.AnswerAll();
  EXPECT_EQ(test_.LastAnswer(1).code, result_code::kOk);
}

// Guards against an evacuation that operators see as complete while something
// runs at the zone's members, or never as complete.
TEST_F(EvacuationTest, WorkAndCompletionAreReported) {
  RunAWrite();
  test_.Send(3, kBeginReadOnly);
  test_.Send(3, kRead, "r");
  test_.AnswerAll();
  Evacuate({"z"});
  test_.GrantRight("r2", 2);
  test_.AdvanceTime(seconds(1));
  const auto evacuation = [&] { return test_.broker().Evacuations().at("z"); };
  EXPECT_TRUE(evacuation().since);
  EXPECT_FALSE(evacuation().complete);
  EXPECT_EQ(evacuation().work, 1U);
  test_.Send(3, kCommit);
  test_.AnswerAll();
  test_.AdvanceTime(milliseconds(300));
  EXPECT_TRUE(evacuation().complete);
  EXPECT_EQ(evacuation().work, 0U);
  Evacuate({});
  EXPECT_FALSE(evacuation().since);
}

TEST(EvacuationStateTest, LimitAndShareOfTheReturn) {
  broker_options options;
  evacuation_state state(options);
  const time_point start = TimeFromMs(1'000);
  EXPECT_FALSE(state.active());
  EXPECT_EQ(state.Set({"a"}, start).started, std::vector<std::string>{"a"});
  EXPECT_TRUE(state.Set({"a"}, start + seconds(1)).started.empty());
  const time_point limit = start + options.evacuation_limit;
  EXPECT_EQ(state.NextLimit(), limit);
  EXPECT_FALSE(state.IsPastLimit("a", limit - duration(1)));
  EXPECT_TRUE(state.IsPastLimit("a", limit));
  EXPECT_TRUE(state.TakePassedLimits(limit));
  EXPECT_FALSE(state.TakePassedLimits(limit));
  EXPECT_FALSE(state.NextLimit());
  const time_point end = start + seconds(60);
  EXPECT_EQ(state.Set({}, end).ended, std::vector<std::string>{"a"});
  EXPECT_FALSE(state.IsEvacuated("a"));
  EXPECT_FALSE(state.IsPastLimit("a", end));
  EXPECT_TRUE(state.IsWithheld("a", 0, end));
  const time_point middle = end + options.evacuation_return / 2;
  EXPECT_FALSE(
      state.IsWithheld("a", (uint64_t{1} << 63U) - (1U << 20U), middle));
  EXPECT_TRUE(state.IsWithheld("a", uint64_t{1} << 63U, middle));
  const time_point over = end + options.evacuation_return;
  EXPECT_FALSE(state.IsWithheld("a", ~uint64_t{0}, over));
  state.Expire(over);
  EXPECT_FALSE(state.active());
}

}  // namespace
}  // namespace tarragondale::interactive
