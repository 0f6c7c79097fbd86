// Tests of the gateway in virtual time.
#include "tarragondale/pool.h"

#include <gtest/gtest.h>

#include "src/pool/fake_member_test.h"

namespace tarragondale::pool {
namespace {

using enum result_code;
using enum wire::transaction_step;

// Guards against an acknowledgement before a majority holds the write.
TEST(GatewayWriteTest, WaitsForAMajority) {
  gateway_fixture f;
  f.member.replica_position = 10;
  const request_id id = f.Send(f.Write("a"));
  f.RunFor(milliseconds(500));
  EXPECT_EQ(f.member.executed["a"], 1);
  EXPECT_FALSE(f.answers.contains(id));
  f.member.replica_position = 11;
  f.RunFor(milliseconds(50));
  EXPECT_EQ(f.CodeOf(id), kOk);
  EXPECT_EQ(f.answers[id].position, (log_position{3, 11}));
}

// Guards against `done` for a write that a failover may discard.
TEST(GatewayWriteTest, WithoutEvidenceTheOutcomeIsUnknown) {
  gateway_fixture f;
  f.member.replica_position = 10;
  EXPECT_EQ(f.Ask(f.Write("a")).code, kUnknownNotReplicated);
  EXPECT_EQ(f.now, TimeFromMs(5050));
  auto unsafe = f.Write("b");
  unsafe.majority = false;
  EXPECT_EQ(f.Ask(unsafe).code, kOk);
}

// Guards against counting members that promised a higher term, and against
// holding a request whose evidence can't come any more.
TEST(GatewayWriteTest, APromiseOfAHigherTermRefutes) {
  gateway_fixture f;
  f.member.replica_promised = 4;
  EXPECT_EQ(f.Ask(f.Write("a")).code, kUnknownNotReplicated);
  EXPECT_LT(f.now, TimeFromMs(200));
}

// Guards against writes that start on a member that is not the primary of the
// expected term.
TEST(GatewayWriteTest, RoleAndTermAreChecked) {
  gateway_fixture f;
  auto other_term = f.Write("a");
  other_term.expected_term = 2;
  EXPECT_EQ(f.Ask(other_term).code, kNoPrimary);
  f.member.promised = 4;  // The gateway does not know yet: TG003.
  EXPECT_EQ(f.Ask(f.Write("b")).code, kNoPrimary);
  f.member.role = wire::member_role::kReplica;
  f.RunFor(milliseconds(200));
  EXPECT_EQ(f.Ask(f.Write("c")).code, kNoPrimary);
  EXPECT_TRUE(f.member.executed.empty());
}

// Guards against a second execution under one key.
TEST(GatewayWriteTest, AKeyRunsOnce) {
  gateway_fixture f;
  auto first = f.Write("a");
  first.idempotency_key = "k";
  auto second = f.Write("a");
  second.idempotency_key = "k";
  f.Send(first);
  f.Send(second);
  f.Send(second);  // Duplicate of a request that runs.
  f.RunFor(seconds(1));
  EXPECT_EQ(f.member.executed["a"], 1);
  EXPECT_FALSE(f.answers[first.id].replayed);
  EXPECT_TRUE(f.answers[second.id].replayed);
  EXPECT_EQ(f.answers[first.id].results, f.answers[second.id].results);
  EXPECT_EQ(f.subject.metrics().duplicates_dropped, 1U);
  auto reused = f.Write("b");
  reused.idempotency_key = "k";
  EXPECT_EQ(f.Ask(reused).code, kIdempotencyKeyReused);
  auto foreign = f.Write("c");
  foreign.idempotency_key = "k";
  foreign.organisation = "other";
  EXPECT_FALSE(f.Ask(foreign).replayed);
  EXPECT_TRUE(f.member.faults.empty());
}

// Guards against a wrong outcome after a loss in front of or behind COMMIT.
TEST(GatewayWriteTest, LossIsUnknownOnlyAfterCommitWasSent) {
  for (const bool late : {false, true}) {
    gateway_fixture f;
    const request_id id = f.Send(f.Write("a"));
    // Behind BEGIN, or behind the statement.
    f.RunFor(duration(late ? 2500 : 1500));
    for (const auto& [connection, session] : std::map(f.member.sessions)) {
      if (!session.queue.empty()) {
        f.Cut(connection, true);
      }
    }
    f.RunFor(milliseconds(10));
    EXPECT_EQ(f.CodeOf(id),
              late ? kUnknownConnectionLost : kDatabaseUnavailable);
    EXPECT_EQ(f.member.executed["a"], late ? 1 : 0);
  }
}

// Guards against an answer that says `not_run` for what a caller committed by
// itself, or a read that makes itself writable.
TEST(GatewayWriteTest, TransactionControlIsRefused) {
  gateway_fixture f;
  for (const std::string sql : {"commit", " /* a /* b */ */ Rollback",
                                "-- x\nSET TRANSACTION READ "
                                "WRITE"}) {
    EXPECT_EQ(f.Ask(f.Request(wire::request_kind::kWrite, {sql})).code,
              kInvalidField);
  }
}

// Guards against reads that write, and against wrong outcomes of failures.
TEST(GatewayReadTest, FailuresAreNamed) {
  gateway_options options;
  options.answer_bytes = 5000;
  gateway_fixture f(options);
  EXPECT_EQ(f.Ask(f.Request(wire::request_kind::kRead, {"W a"})).code,
            kReadOnlyViolation);
  EXPECT_EQ(f.Ask(f.Request(wire::request_kind::kRead, {"ERR"})).code,
            kStatementFailed);
  EXPECT_EQ(f.Ask(f.Request(wire::request_kind::kWrite, {"W a", "BIG"})).code,
            kAnswerTooLarge);
  EXPECT_EQ(f.Ask(f.Read()).code, kOk);
  EXPECT_TRUE(f.member.executed.empty());
  EXPECT_TRUE(f.member.faults.empty());
}

// Guards against stale answers, and against refusals by an outdated status.
TEST(GatewayReadTest, FreshnessOfAReplica) {
  gateway_fixture f;
  f.member.role = wire::member_role::kReplica;
  f.member.age_ms = 30;
  f.RunFor(milliseconds(200));
  auto read = f.Read();
  read.minimum = {3, 12};
  EXPECT_EQ(f.Ask(read).code, kNoFreshReplica);
  f.member.position = 12;  // A new status shows it.
  read.id.sequence += 100;
  const auto answer = f.Ask(read);
  EXPECT_EQ(answer.code, kOk);
  EXPECT_GE(answer.position, read.minimum);
  EXPECT_FALSE(answer.from_primary);
  EXPECT_GE(answer.age_ms, 30);
  auto young = f.Read();
  young.max_age_ms = 20;
  EXPECT_EQ(f.Ask(young).code, kNoFreshReplica);
}

// Guards against a session that reads older data at another member next: the
// replica applied entries between the status and the statement.
TEST(GatewayReadTest, PositionOfAReplicaAnswerIsAnUpperBound) {
  gateway_fixture f;
  f.member.role = wire::member_role::kReplica;
  f.RunFor(milliseconds(200));
  const request_id id =
      f.Send(f.Request(wire::request_kind::kRead, {"SLOW 50"}));
  f.RunFor(milliseconds(20));
  f.member.position = 15;
  f.RunFor(milliseconds(200));
  EXPECT_EQ(f.CodeOf(id), kOk);
  EXPECT_EQ(f.answers[id].position, (log_position{3, 15}));
  EXPECT_FALSE(f.answers[id].from_primary);
}

// Guards against a read that shows a write which a failover discards.
TEST(GatewayReadTest, PrimaryReadWaitsForAMajority) {
  gateway_fixture f;
  f.member.replica_position = 9;
  const request_id id = f.Send(f.Read());
  f.RunFor(milliseconds(300));
  EXPECT_FALSE(f.answers.contains(id));
  f.member.replica_position = 10;
  f.RunFor(milliseconds(50));
  EXPECT_EQ(f.CodeOf(id), kOk);
  EXPECT_TRUE(f.answers[id].from_primary);
}

// Guards against lost effects and against connections that stay pinned.
TEST(GatewayTransactionTest, StepsShareOneConnection) {
  gateway_fixture f;
  const auto begin = f.TransactionStep(kBegin, {});
  EXPECT_EQ(f.Ask(begin).code, kOk);
  EXPECT_EQ(f.Ask(f.TransactionStep(kContinue, begin.id, {"W t"})).code, kOk);
  EXPECT_EQ(f.Ask(f.TransactionStep(kContinue, begin.id, {"W t"})).code, kOk);
  auto foreign = f.TransactionStep(kCommit, begin.id);
  foreign.organisation = "other";
  EXPECT_EQ(f.Ask(foreign).code, kTransactionNotFound);
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, begin.id)).code, kOk);
  EXPECT_EQ(f.member.executed["t"], 2);
  EXPECT_EQ(f.Ask(f.TransactionStep(kRollback, begin.id)).code,
            kTransactionNotFound);
  EXPECT_TRUE(f.member.faults.empty());
}

// Guards against transactions that hold connections for ever, or that commit
// after they were ended.
TEST(GatewayTransactionTest, EndsByTimeFailureCancelAndEntry) {
  gateway_fixture f;
  std::vector<request_id> ids;
  for (int i = 0; i < 4; ++i) {
    const auto begin = f.TransactionStep(kBegin, {});
    EXPECT_EQ(f.Ask(begin).code, kOk);
    EXPECT_EQ(f.Ask(f.TransactionStep(kContinue, begin.id, {"W t"})).code, kOk);
    ids.push_back(begin.id);
  }
  // One connection stays for others.
  EXPECT_EQ(f.Ask(f.Write("w")).code, kOk);
  EXPECT_EQ(f.Ask(f.TransactionStep(kContinue, ids[0], {"ERR"})).code,
            kStatementFailed);
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, ids[0])).code,
            kTransactionAborted);
  f.Step(cancel_arrived{"vm-2", {ids[1], "g", "m1"}});
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, ids[1])).code,
            kTransactionAborted);
  f.RunFor(seconds(11));
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, ids[2])).code,
            kTransactionTimedOut);
  const auto begin = f.TransactionStep(kBegin, {});
  EXPECT_EQ(f.Ask(begin).code, kOk);
  std::erase_if(f.view.vms, [](const auto& vm) { return vm.name == "vm-2"; });
  f.PublishView();
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, begin.id)).code,
            kTransactionAborted);
  f.RunFor(seconds(1));
  EXPECT_EQ(f.member.executed.count("t"), 0U);
  EXPECT_TRUE(f.member.faults.empty());
}

// Guards against a gateway that hangs: the deadline of a step that waited for
// a majority after its connection was lost was handled without an end.
TEST(GatewayTransactionTest, LossEndsAStepThatWaitsForAMajority) {
  gateway_fixture f;
  const auto begin = f.TransactionStep(kBegin, {});
  EXPECT_EQ(f.Ask(begin).code, kOk);
  f.member.replica_position = 9;
  const request_id step =
      f.Send(f.TransactionStep(kContinue, begin.id, {"W t"}));
  f.RunFor(milliseconds(300));
  EXPECT_FALSE(f.answers.contains(step));
  const auto pinned = std::find_if(
      f.member.sessions.begin(), f.member.sessions.end(),
      [](const auto& entry) { return entry.second.in_transaction; });
  ASSERT_NE(pinned, f.member.sessions.end());
  f.Cut(pinned->first, false);
  ASSERT_EQ(f.CodeOf(step), kTransactionAborted);
  f.RunFor(seconds(6));  // Past the deadline of the step.
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, begin.id)).code,
            kTransactionAborted);
  f.member.replica_position = 1'000'000;
  EXPECT_EQ(f.Ask(f.Write("w")).code, kOk);
  EXPECT_EQ(f.member.executed.count("t"), 0U);
  EXPECT_EQ(f.answered_twice, 0);
  EXPECT_TRUE(f.member.faults.empty());
}

// Guards against one organisation that takes the share of another.
TEST(GatewayQueueTest, LoadOfOneOrganisationDoesNotDelayAnother) {
  gateway_fixture f;
  f.member.statement_time = milliseconds(5);
  for (int i = 0; i < 160; ++i) {
    auto request = f.Write(i % 9 == 0 ? "small" : "large");
    request.organisation = i % 9 == 0 ? "small" : "large";
    request.budget_ms = 60000;
    f.Send(request);
  }
  f.RunFor(milliseconds(300));  // Both still have work after this time.
  const auto small = f.member.executed["small"];
  const auto large = f.member.executed["large"];
  EXPECT_GT(small, 5);
  EXPECT_LE(std::abs(small - large), 2);
}

// Guards against requests that wait for a deadline they can't meet.
TEST(GatewayQueueTest, RefusesAtOnce) {
  gateway_options options;
  options.queue_per_organisation = 10;
  gateway_fixture f(options);
  f.member.statement_time = milliseconds(100);
  f.Ask(f.Write("a"));
  request_id last;
  for (int i = 0; i < 20; ++i) {
    last = f.Send(f.Write("a"));
  }
  EXPECT_EQ(f.CodeOf(last), kQueueFull);
  auto urgent = f.Write("b");
  urgent.budget_ms = 50;
  f.Send(urgent);
  EXPECT_EQ(f.CodeOf(urgent.id), kDeadlineBeforeStart);
  EXPECT_GT(f.answers[urgent.id].retry_after_ms, 0);
}

// Guards against refusals after a fault: the time until a silent connection is
// given up counted as service time, so that the queue seemed to be longer than
// the deadlines of its requests.
TEST(GatewayQueueTest, SilenceIsNoServiceTime) {
  gateway_fixture f;
  f.Send(f.Write("a"));
  f.Send(f.Write("a"));
  f.RunFor(duration(1500));  // The statement is sent, COMMIT is not.
  f.member.unresponsive = true;
  f.RunFor(seconds(3));
  f.member.unresponsive = false;
  f.RunFor(seconds(2));
  std::vector<request_id> sent;
  for (int i = 0; i < 40; ++i) {
    auto request = f.Write("b");
    request.budget_ms = 1000;
    sent.push_back(f.Send(request));
  }
  f.RunFor(seconds(1));
  for (const request_id& id : sent) {
    EXPECT_EQ(f.CodeOf(id), kOk);
  }
}

// Guards against a silent connection that blocks a slot for ever, and against
// closing connections while the member itself stalls.
TEST(GatewayConnectionTest, SilentConnectionIsReplaced) {
  gateway_fixture f;
  for (auto& [id, session] : f.member.sessions) {
    session.silent = true;
  }
  const request_id id = f.Send(f.Write("a"));
  f.RunFor(milliseconds(1500));
  EXPECT_EQ(f.CodeOf(id), kOk);  // Only BEGIN was sent; it ran again.
  EXPECT_EQ(f.member.executed["a"], 1);
  EXPECT_EQ(f.Ask(f.Write("b")).code, kOk);
  EXPECT_GT(f.subject.metrics().connections_silent, 0U);
  EXPECT_LE(f.member.most_connections, 7U);
}

// Guards against wrong or missing reports to the coordinator and entries.
TEST(GatewayStatusTest, ReportsFollowTheMember) {
  gateway_fixture f;
  f.Step(interest_arrived{"vm-3", {{"g"}}});
  f.RunFor(seconds(1));
  EXPECT_GE(f.reports.size(), 9U);
  EXPECT_EQ(f.reports.back().first, "vm-3");
  EXPECT_TRUE(f.reports.back().second.reachable);
  EXPECT_EQ(f.reports.back().second.role, wire::member_role::kPrimary);
  f.member.unresponsive = true;
  f.RunFor(milliseconds(1000));
  EXPECT_FALSE(f.reports.back().second.reachable);
  EXPECT_EQ(f.Ask(f.Write("a")).code, kDatabaseUnavailable);
  f.member.unresponsive = false;
  f.RunFor(milliseconds(1500));
  EXPECT_EQ(f.Ask(f.Write("b")).code, kOk);
  f.RunFor(seconds(3));
  const size_t count = f.reports.size();
  f.RunFor(seconds(1));
  EXPECT_EQ(f.reports.size(), count);  // The interest is old.
}

// Guards against a report that calls a silent member reachable: it ended the
// coordinator's suspicion of a primary that was cut off, which delayed the
// failover by half a second.
TEST(GatewayStatusTest, InterestGetsNoOutdatedReport) {
  gateway_fixture f;
  f.RunFor(milliseconds(500));
  f.Step(interest_arrived{"vm-2", {{"g"}}});
  ASSERT_EQ(f.reports.size(), 1U);
  f.member.unresponsive = true;
  f.RunFor(milliseconds(250));
  const size_t count = f.reports.size();
  f.Step(interest_arrived{"vm-3", {{"g"}}});
  EXPECT_EQ(f.reports.size(), count);
  f.RunFor(seconds(1));
  ASSERT_GT(f.reports.size(), count);
  for (size_t i = count; i < f.reports.size(); ++i) {
    EXPECT_FALSE(f.reports[i].second.reachable);
  }
  f.member.unresponsive = false;
  f.RunFor(milliseconds(1500));
  EXPECT_EQ(f.reports.back().first, "vm-3");
  EXPECT_TRUE(f.reports.back().second.reachable);
}

// Guards against new work on a member that leaves or moves away, and against
// interrupting what runs.
TEST(GatewayLifecycleTest, LeavingMovingAndDraining) {
  gateway_fixture f;
  const auto begin = f.TransactionStep(kBegin, {});
  EXPECT_EQ(f.Ask(begin).code, kOk);
  f.configuration.pools["p"].members[0].leaving = true;
  f.PublishConfiguration();
  EXPECT_EQ(f.Ask(f.Write("a")).code, kDatabaseLeaving);
  EXPECT_EQ(f.Ask(f.TransactionStep(kContinue, begin.id, {"W t"})).code, kOk);
  f.configuration.pools["p"].members[0].leaving = false;
  f.PublishConfiguration();
  f.view.vms[0].state = wire::vm_state::kLeaving;  // Another VM takes over.
  f.PublishView();
  EXPECT_EQ(f.Ask(f.Write("a")).code, kNotOwner);
  EXPECT_EQ(f.Ask(f.TransactionStep(kCommit, begin.id)).code, kOk);
  f.RunFor(seconds(1));
  EXPECT_EQ(f.member.Connections(), 0U);

  gateway_fixture g;
  const request_id running = g.Send(g.Write("a"));
  g.Step(drain_started{});
  EXPECT_EQ(g.drained_count, 0);
  EXPECT_EQ(g.Ask(g.Write("b")).code, kDraining);
  g.RunFor(seconds(1));
  EXPECT_EQ(g.CodeOf(running), kOk);
  EXPECT_EQ(g.drained_count, 1);
  EXPECT_EQ(g.member.Connections(), 0U);
  EXPECT_FALSE(g.subject.NextDeadline());
}

}  // namespace
}  // namespace tarragondale::pool
