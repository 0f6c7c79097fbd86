// Tests of cold members in the session broker: every statement that it sends to
// one needs an allowance.
#include <gtest/gtest.h>

#include "src/interactive/broker_harness.h"

namespace tarragondale::interactive {
namespace {

using enum statement_kind;
using step = member_statement::step;

// One VM, which may send as many statements as the rate allows. Members are
// cold once `MakeCold` is called; each statement takes 1 ms or more.
class cold_harness : public broker_harness {
 public:
  explicit cold_harness(double rate = 10) {
    configuration().groups["g"].cold_rate = rate;
    for (auto& [name, each] : configuration().routes) {
      each.statement_timeout = seconds(4);
    }
    Configure();
    SetVms({"vm-1"});
    AdvanceTime(seconds(5));
    Step(position_reported{"g", {1, 5}, now()});
  }

  void SetVms(const std::set<std::string>& vms) {
    Step(fleet_changed{
        static_cast<int>(vms.size()), {}, 0, {"vm-1", vms, {}, 0}});
  }
  void MakeCold(const std::string& member, duration span = seconds(60)) {
    members()[member].cold_until = now() + span;
    PublishMembers();
  }
  // Answers all statements while time passes. Returns the largest number of
  // statements that members got in one of the seconds.
  uint64_t Run(int spans) {
    uint64_t most = 0;
    for (int i = 0; i < spans; ++i) {
      const uint64_t before = Sent();
      for (int j = 0; j < 100; ++j) {
        AdvanceTime(milliseconds(10));
        AnswerAll();
      }
      most = std::max(most, Sent() - before);
    }
    return most;
  }
  uint64_t Sent() { return broker().metrics().sent_to_cold; }
  size_t SentTo(const std::string& member) {
    size_t sent = 0;
    for (const auto& [id, each] : links()) {
      sent += each.member == member ? each.all.size() : 0;
    }
    return sent;
  }
};

// Guards against a flood of a member that has just started, and against
// statements that are lost although they could wait.
TEST(ColdMemberTest, ColdPrimaryGetsItsRate) {
  cold_harness test;
  test.MakeCold("p");
  for (session_id id = 1; id <= 25; ++id) {
    test.Open(id, "strict", id % 2 == 0 ? "key-red" : "key-blue");
    test.Send(id, kWrite, "WRITE a");
  }
  EXPECT_LE(test.Run(4), 20U);
  size_t done = 0;
  for (session_id id = 1; id <= 25; ++id) {
    done += test.LastAnswer(id).code == result_code::kOk ? 1 : 0;
  }
  EXPECT_GE(done, 20U);
  EXPECT_LE(test.opened(), 25U);
}

// Guards against limits that nobody set.
TEST(ColdMemberTest, WithoutARateNothingIsLimited) {
  cold_harness test(0);
  test.MakeCold("p");
  test.configuration().groups["g"].connections = 200;
  test.Configure();
  for (session_id id = 1; id <= 25; ++id) {
    test.Open(id, "strict");
    test.Send(id, kWrite, "WRITE a");
  }
  test.AnswerAll();
  for (session_id id = 1; id <= 25; ++id) {
    EXPECT_EQ(test.LastAnswer(id).code, result_code::kOk);
  }
  EXPECT_EQ(test.Sent(), 0U);
}

// Guards against reads that wait for a cold replica beside a warm one.
TEST(ColdMemberTest, ReadsUseTheWarmReplica) {
  cold_harness test;
  test.configuration().groups["g"].connections = 200;
  test.Configure();
  test.members()["p"].availability_zone = "far";
  test.MakeCold("r1");
  for (session_id id = 1; id <= 40; ++id) {
    test.Open(id, "bounded");
    test.Send(id, kRead, "READ a");
    test.AnswerAll();
    EXPECT_EQ(test.LastAnswer(id).code, result_code::kOk);
  }
  EXPECT_LE(test.Sent(), 16U);
  EXPECT_GE(test.SentTo("r2"), 24U);
}

// Guards against begins, session values and commits that are not counted: each
// is a statement that the member runs.
TEST(ColdMemberTest, EveryStatementOfATransactionNeedsAnAllowance) {
  cold_harness test(2);
  test.MakeCold("p");
  test.Open(1, "strict");
  for (const char* name : {"a", "b", "c", "d"}) {
    test.Send(1, kSet, "", name, "x");
  }
  test.Send(1, kPrepare, "", "s", "shape", true);
  test.Send(1, kBegin);
  test.TakeAnswers(1);
  test.Send(1, kExecute, "EXECUTE", "s", "1");
  EXPECT_LE(test.Run(4), 8U);  // PlannedPerSecond is 6.4.
  test.Send(1, kCommit);
  test.Run(4);
  const auto answers = test.TakeAnswers(1);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].code, result_code::kOk) << answers[0].reason;
  EXPECT_EQ(answers[1].code, result_code::kOk) << answers[1].reason;
  EXPECT_EQ(test.Sent(), 8U);
  const auto& all = test.links().begin()->second.all;
  ASSERT_EQ(all.size(), 8U);
  EXPECT_EQ(all[4].what, step::kBegin);
  EXPECT_EQ(all[7].what, step::kCommit);
}

// Guards against rollbacks beyond the allowance: the link is closed instead.
TEST(ColdMemberTest, RollbackWithoutAnAllowanceClosesTheLink) {
  cold_harness test(0.5);
  test.Open(1, "strict");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a");
  test.AnswerAll();
  test.MakeCold("p");
  for (session_id id = 2; id <= 9; ++id) {
    test.Open(id, "strict");
    test.Send(id, kWrite, "WRITE a");
    test.AnswerAll();
  }
  const uint64_t sent = test.Sent();
  test.Send(1, kRollback);
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kOk);
  EXPECT_EQ(test.Sent(), sent);
  for (const auto& [id, each] : test.links()) {
    EXPECT_FALSE(each.in_transaction);
  }
}

// Guards against statements that wait in vain, and against a wrong outcome.
TEST(ColdMemberTest, StatementIsRefusedAtOnceIfTheAllowanceComesTooLate) {
  cold_harness test(0.1);
  test.MakeCold("p");
  int refused = 0;
  for (session_id id = 1; id <= 20; ++id) {
    test.Open(id, "strict");
    test.Send(id, kWrite, "WRITE a");
    test.AnswerAll();
    const answer_caller answer = test.LastAnswer(id);
    if (answer.code == result_code::kDeadlineBeforeStart) {
      ++refused;
      EXPECT_NE(answer.reason.find("member p has just started"),
                std::string::npos);
    }
  }
  EXPECT_GT(refused, 10);
  EXPECT_EQ(test.broker().metrics().cold_refused,
            static_cast<uint64_t>(refused));
}

// A transaction that was open before its member became cold.
TEST(ColdMemberTest, OpenTransactionWithoutAnAllowanceIsNotCommitted) {
  cold_harness test;
  test.Open(1, "strict");
  test.Send(1, kBegin);
  test.Send(1, kWrite, "WRITE a");
  test.AnswerAll();
  test.TakeAnswers(1);
  test.SetVms({"vm-2"});  // This VM is no longer among the senders.
  test.MakeCold("p");
  test.Send(1, kCommit);
  EXPECT_EQ(test.LastAnswer(1).code, result_code::kTransactionAborted);
  EXPECT_EQ(test.Sent(), 0U);
}

// Guards against statements to cold members from a VM that may have lost touch
// with the fleet.
TEST(ColdMemberTest, VmWithoutALeaseSendsNothingToColdMembers) {
  cold_harness test;
  test.MakeCold("r1");
  test.MakeCold("r2");
  test.GrantRight("", 2);
  test.Open(1, "bounded");
  test.Send(1, kRead, "READ a");
  EXPECT_EQ(test.Sent(), 0U);
}

// Guards against a limit that outlasts the cold time.
TEST(ColdMemberTest, MemberIsWarmAfterItsTime) {
  cold_harness test(0.5);
  test.MakeCold("p", milliseconds(1'500));
  for (session_id id = 1; id <= 12; ++id) {
    test.Open(id, "strict");
    test.Send(id, kWrite, "WRITE a");
  }
  test.Run(3);
  for (session_id id = 1; id <= 12; ++id) {
    EXPECT_EQ(test.LastAnswer(id).code, result_code::kOk);
  }
}

}  // namespace
}  // namespace tarragondale::interactive
