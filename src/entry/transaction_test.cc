// Tests of interactive transactions, callers that leave, and drain.
#include <gtest/gtest.h>

#include "src/entry/router_harness.h"

namespace tarragondale::entry {
namespace {

using enum result_code;
using wire::transaction_step;

// Guards against a step that reaches another gateway or transaction, and a
// commit that is sent twice or told as `not_run` without an answer.
TEST(transaction, steps_go_to_the_gateway_and_are_never_repeated) {
  harness h;
  const std::string id = h.Begun();
  h.Step(h.TransactionStep(transaction_step::kContinue, id));
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_EQ(h.sent[1].vm, h.sent[0].vm);
  EXPECT_EQ(h.sent[1].request.transaction, h.sent[0].request.id);
  h.Reply(h.sent[1], kQueueFull);
  EXPECT_EQ(h.LastCode(), kQueueFull);
  h.Step(h.TransactionStep(transaction_step::kCommit, id));
  h.Advance(6'000);
  EXPECT_EQ(h.sent.size(), 3U);
  EXPECT_EQ(h.LastCode(), kUnknownTimeout);
  EXPECT_TRUE(h.cancels.empty());
}

// Guards against a transaction that another organisation continues, and
// against forged ids.
TEST(transaction, foreign_and_forged_ids_are_not_found) {
  harness h;
  const std::string id = h.Begun();
  caller_request request = h.TransactionStep(transaction_step::kCommit, id);
  request.bearer = "k2.secret";
  h.Step(request);
  EXPECT_EQ(h.LastCode(), kTransactionNotFound);
  h.Step(h.TransactionStep(transaction_step::kCommit, id.substr(1)));
  EXPECT_EQ(h.LastCode(), kTransactionNotFound);
  EXPECT_EQ(h.sent.size(), 1U);
}

// Guards against transactions that only the entry can continue that began
// them.
TEST(transaction, another_entry_continues_it) {
  harness first;
  const std::string id = first.Begun();
  harness second;
  second.Step(second.TransactionStep(transaction_step::kContinue, id));
  ASSERT_EQ(second.sent.size(), 1U);
  EXPECT_EQ(second.sent[0].vm, first.sent[0].vm);
}

// Guards against work that goes on for a caller that is gone, and against the
// cancel of a commit that was sent.
TEST(transaction, caller_gone_cancels_work_but_no_commit) {
  harness h;
  const std::string committing = h.Begun();
  const std::string idle = h.Begun();
  h.Step(h.TransactionStep(transaction_step::kCommit, committing));
  h.Step(h.Read());
  h.Step(caller_gone{1});
  ASSERT_EQ(h.cancels.size(), 2U);
  EXPECT_EQ(h.cancels[0].request.id, h.sent[3].request.id);
  EXPECT_EQ(h.cancels[1].request.id, h.sent[1].request.id);
  EXPECT_EQ(h.router.in_flight(), 0U);
  const size_t answers = h.answers.size();
  h.Reply(h.sent[3]);
  h.Step(caller_gone{1});
  EXPECT_EQ(h.answers.size(), answers);
  EXPECT_EQ(h.cancels.size(), 2U);
}

// Guards against a transaction without owner: its caller left before `begin`
// was answered, or a second attempt to begin was answered first.
TEST(transaction, late_begin_is_cancelled_again) {
  harness h;
  h.Step(h.Begin(wire::request_kind::kWrite));
  h.Step(caller_gone{1});
  EXPECT_EQ(h.cancels.size(), 1U);
  h.Reply(h.sent[0]);
  EXPECT_EQ(h.cancels.size(), 2U);
  h.Step(h.Begin(wire::request_kind::kRead));
  h.Advance(300);
  ASSERT_EQ(h.sent.size(), 3U);
  h.Reply(h.sent[2]);
  EXPECT_EQ(h.cancels.size(), 3U);
  h.Reply(h.sent[1]);
  ASSERT_EQ(h.cancels.size(), 4U);
  EXPECT_EQ(h.cancels[3].request.id, h.sent[1].request.id);
}

// Guards against the loss of running work in a drain (I12), new work in it,
// and a drain that never ends.
TEST(transaction, drain_finishes_requests_and_transactions) {
  harness h;
  const std::string id = h.Begun();
  h.Step(h.Read());
  h.Step(drain_started{});
  h.Step(h.Read());
  EXPECT_EQ(h.LastCode(), kDraining);
  h.Step(h.TransactionStep(transaction_step::kCommit, id));
  h.Reply(h.sent[1]);
  EXPECT_EQ(h.drained_count, 0);
  h.Reply(h.sent[2]);
  EXPECT_EQ(h.LastCode(), kOk);
  EXPECT_EQ(h.drained_count, 1);
  h.Step(drain_started{});
  h.Advance(20'000);
  EXPECT_EQ(h.drained_count, 1);
}

// Guards against a drain that waits for an idle transaction forever.
TEST(transaction, drain_cancels_transactions_after_its_limit) {
  harness h;
  h.Begun();
  h.Step(drain_started{});
  h.Advance(9'900);
  EXPECT_EQ(h.drained_count, 0);
  h.Advance(200);
  EXPECT_EQ(h.cancels.size(), 1U);
  EXPECT_EQ(h.drained_count, 1);
}

// Guards against transactions that are remembered after they ended.
TEST(transaction, ended_transactions_are_forgotten) {
  harness h;
  for (const auto code : {kOk, kTransactionTimedOut, kUnknownTimeout}) {
    const std::string id = h.Begun();
    h.Step(h.TransactionStep(transaction_step::kCommit, id));
    const send_request commit = h.sent.back();
    h.Reply(commit, code);
  }
  h.Step(caller_gone{1});
  EXPECT_TRUE(h.cancels.empty());
}

}  // namespace
}  // namespace tarragondale::entry
