// Tests of member choice, waiting for a primary, freshness and interest.
#include <gtest/gtest.h>

#include "src/entry/router_harness.h"
#include "tarragondale/session.h"

namespace tarragondale::entry {
namespace {

std::string TokenAt(log_position position) {
  session::token token("north");
  token.Advance("g", position, true);
  return session::Encode(token, TestOptions().token_key);
}

// Guards against reads that load the primary or cross zones needlessly.
TEST(routing, reads_go_to_the_near_replica_and_writes_to_the_primary) {
  harness h;
  h.Step(h.Read());
  h.Step(h.Write());
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_EQ(h.sent[0].request.member, "m2");
  EXPECT_EQ(h.sent[1].request.member, "m1");
  EXPECT_EQ(h.sent[1].request.expected_term, 1);
}

// Guards against one replica that gets all reads until the next report.
TEST(routing, reads_spread_before_the_next_report) {
  harness h;
  std::map<std::string, int> members;
  for (int i = 0; i < 30; ++i) {
    h.Step(h.Read());
    ++members[h.sent.back().request.member];
  }
  EXPECT_EQ(members.count("m1"), 0U);
  EXPECT_GT(members["m3"], 0);
  EXPECT_GT(members["m2"], members["m3"]);
}

// Guards against a replica that is too far behind or too old.
TEST(routing, token_and_age_both_bind) {
  harness h;
  h.reports["m3"].position = 30;
  h.reports["m3"].age_ms = 400;
  h.Report();
  caller_request request = h.Read();
  request.session = TokenAt({1, 20});
  h.Step(request);
  EXPECT_EQ(h.sent.back().request.member, "m3");
  EXPECT_EQ(h.sent.back().request.minimum, (log_position{1, 20}));
  request.exchange = ++h.last_exchange;
  request.max_age_ms = 450;  // 400 ms and the poll interval are more.
  h.Step(request);
  EXPECT_EQ(h.sent.back().request.member, "m1");
  EXPECT_EQ(h.sent.back().request.max_age_ms, 450);
}

// Guards against data of a former term that has a higher position.
TEST(routing, positions_compare_by_term_first) {
  harness h;
  h.reports["m2"].position = 1'000;
  h.reports["m3"].last_term = 2;
  h.Report();
  caller_request request = h.Read();
  request.session = TokenAt({2, 5});
  h.Step(request);
  EXPECT_EQ(h.sent.back().request.member, "m3");
}

// Guards against choices by reports that are no longer true.
TEST(routing, stale_reports_count_for_nothing) {
  harness h;
  h.reporting = false;
  h.Advance(2'001);
  h.Step(h.Write());
  h.Step(h.Read());
  EXPECT_TRUE(h.sent.empty());
  h.Advance(600);
  ASSERT_EQ(h.answers.size(), 2U);
  EXPECT_EQ(h.answers[0].code, result_code::kNoPrimary);
  EXPECT_EQ(h.answers[1].code, result_code::kDatabaseUnavailable);
}

// Guards against a write that is refused although the failover ends soon, or
// sent to the superseded primary.
TEST(routing, writes_wait_for_the_end_of_a_failover) {
  harness h;
  h.reports["m1"].promised_term = 2;
  h.reports["m1"].reachable = false;
  h.Advance(100);
  h.Step(h.Write());
  h.Advance(800);
  EXPECT_TRUE(h.sent.empty());
  h.MakePrimary("m2", 2);
  h.reports["m1"].role = wire::member_role::kUnknown;
  h.Advance(100);
  ASSERT_EQ(h.sent.size(), 1U);
  EXPECT_EQ(h.sent[0].request.member, "m2");
  EXPECT_EQ(h.sent[0].request.expected_term, 2);
  // The superseded primary comes back before it learns of the new term.
  h.reports["m1"] = {.member = "m1",
                     .reachable = true,
                     .role = wire::member_role::kPrimary,
                     .term = 1,
                     .promised_term = 1};
  h.reports["m2"].reachable = false;
  h.Advance(100);
  h.Step(h.Write());
  EXPECT_EQ(h.sent.size(), 1U);
}

// Guards against a request that is held although it can't be served: no
// majority, a full queue, or a failover that takes too long.
TEST(routing, hopeless_writes_are_refused_at_once) {
  entry_options options = TestOptions();
  options.max_waiting = 1;
  harness h(options);
  h.MakePrimary("none", 2);
  h.Advance(100);
  h.Step(h.Write());
  h.Step(h.Write());
  ASSERT_EQ(h.answers.size(), 1U);
  EXPECT_EQ(h.LastCode(), result_code::kNoPrimary);
  EXPECT_GT(h.answers.back().retry_after_ms, 0);
  h.Advance(3'000);
  EXPECT_EQ(h.answers.size(), 2U);
  h.reports["m1"].reachable = h.reports["m2"].reachable = false;
  h.Advance(1'200);
  h.Step(h.Write());
  EXPECT_EQ(h.answers.size(), 3U);
  EXPECT_EQ(h.LastCode(), result_code::kNoPrimary);
  EXPECT_TRUE(h.sent.empty());
}

// Guards against new work for a member that is leaving.
TEST(routing, leaving_members_get_no_work) {
  harness h;
  config::configuration c = TestConfiguration();
  c.version = 2;
  c.pools["pool"].members[0].leaving = true;
  c.pools["pool"].members[1].leaving = true;
  h.Apply(c);
  h.Step(h.Read());
  EXPECT_EQ(h.sent.back().request.member, "m3");
  h.Step(h.Write());
  EXPECT_EQ(h.sent.size(), 1U);
}

// Guards against the gateway of a former placement that hides a new report.
TEST(routing, reports_of_the_placed_gateway_go_first) {
  harness h;
  h.Step(report_arrived{"vm-old", {"g", {{.member = "m1"}}}});
  h.Step(h.Write());
  EXPECT_EQ(h.sent.size(), 1U);
}

// Guards against a session that reads older data than it wrote, after it has
// moved to another entry (I1), and against an answer that is too old.
TEST(routing, a_roaming_session_reads_its_writes) {
  harness first;
  first.Step(first.Write());
  wire::execute_answer written = first.Answer(first.sent[0]);
  written.position = {1, 50};
  first.Step(answer_arrived{first.sent[0].vm, written});
  ASSERT_FALSE(first.answers[0].session.empty());

  entry_options options = TestOptions();
  options.origin = 8;
  harness second(options);
  caller_request read = second.Read();
  read.session = first.answers[0].session;
  second.Step(read);
  EXPECT_EQ(second.sent[0].request.member, "m1");
  // The answer's position is checked too, whatever the gateway says.
  second.Reply(second.sent[0]);
  EXPECT_TRUE(second.answers.empty());
  second.Advance(50);
  ASSERT_EQ(second.sent.size(), 2U);
  wire::execute_answer fresh = second.Answer(second.sent[1]);
  fresh.position = {1, 51};
  second.Step(answer_arrived{second.sent[1].vm, fresh});
  EXPECT_EQ(second.LastCode(), result_code::kOk);
  EXPECT_EQ(second.router.metrics().answers_too_old, 1U);
}

// Guards against an answer above the age limit.
TEST(routing, old_answers_are_fetched_elsewhere) {
  harness h;
  caller_request read = h.Read();
  read.max_age_ms = 500;
  h.Step(read);
  wire::execute_answer old = h.Answer(h.sent[0]);
  old.age_ms = 501;
  h.Step(answer_arrived{h.sent[0].vm, old});
  h.Advance(50);
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_NE(h.sent[1].request.member, h.sent[0].request.member);
  h.Reply(h.sent[1]);
  EXPECT_EQ(h.LastCode(), result_code::kOk);
}

// Guards against a lost session that is served by a replica, and against
// tokens that were not issued or belong to another organisation.
TEST(routing, lost_forged_and_foreign_tokens) {
  harness h;
  caller_request read = h.Read();
  read.session = "lost";
  h.Step(read);
  EXPECT_EQ(h.sent[0].request.member, "m1");
  h.Reply(h.sent[0]);
  const std::string token = h.answers[0].session;
  EXPECT_TRUE(session::Decode(token, TestOptions().token_key, "north")
                  ->Requirement("other group")
                  .primary_only);
  read = h.Read();
  read.session = token + "A";
  h.Step(read);
  EXPECT_EQ(h.LastCode(), result_code::kTokenInvalid);
  read = h.Read();
  read.session = token;
  read.bearer = "k2.secret";
  h.Step(read);
  EXPECT_EQ(h.LastCode(), result_code::kTokenForeign);
}

// Guards against reads of the primary while a replica is a moment behind.
TEST(routing, waits_briefly_for_a_replica) {
  harness h;
  for (int i = 0; i < 10; ++i) {  // 1000 positions per second.
    for (auto& [name, report] : h.reports) {
      report.position += 100;
    }
    h.Advance(100);
  }
  caller_request read = h.Read();
  read.session = TokenAt({1, h.reports["m2"].position + 8});
  h.Step(read);
  EXPECT_TRUE(h.sent.empty());
  h.reporting = false;
  h.Advance(20);
  ASSERT_EQ(h.sent.size(), 1U);
  EXPECT_EQ(h.sent[0].request.member, "m2");
  h.Reply(h.sent[0], result_code::kNoFreshReplica);
  h.Advance(20);
  EXPECT_EQ(h.sent.size(), 2U);
}

// Guards against gateways that send no reports, or reports forever.
TEST(routing, interest_is_sent_at_first_use_and_each_second) {
  harness h;
  h.reporting = false;
  EXPECT_TRUE(h.interests.empty());
  h.Step(h.Read());
  const size_t gateways = h.interests.size();
  EXPECT_GT(gateways, 0U);
  EXPECT_EQ(h.interests[0].interest.groups, std::vector<std::string>{"g"});
  h.Reply(h.sent[0]);
  h.Advance(10'000);
  EXPECT_EQ(h.interests.size(), 11 * gateways);
  h.Advance(100'000);
  EXPECT_LE(h.interests.size(), 63 * gateways);
  EXPECT_FALSE(h.router.NextDeadline().has_value());
}

// Guards against requests for a VM that is not the gateway any more.
TEST(routing, follows_a_gateway_that_moves) {
  harness h;
  h.Step(h.Write());
  auto next = std::make_shared<fleet::fleet_view>(*h.view);
  std::erase_if(next->vms,
                [&h](const auto& vm) { return vm.name == h.sent[0].vm; });
  h.SetFleet(next);
  h.Report();
  EXPECT_EQ(h.LastCode(), result_code::kUnknownConnectionLost);
  h.Step(h.Write());
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_NE(h.sent[1].vm, h.sent[0].vm);
}

}  // namespace
}  // namespace tarragondale::entry
