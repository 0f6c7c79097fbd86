// Tests of retries, outcomes and answers that are late, doubled or foreign.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>

#include "src/entry/router_harness.h"

namespace tarragondale::entry {
namespace {

using enum result_code;

// Guards against an answer that reaches the wrong request or a second answer
// to one exchange (I8).
TEST(retry, answers_are_matched_by_id_and_sender) {
  harness h;
  h.Step(h.Read());
  h.Step(h.Read());
  wire::execute_answer wrong = h.Answer(h.sent[0]);
  wrong.id.sequence += 100;
  h.Step(answer_arrived{h.sent[0].vm, wrong});
  h.Step(answer_arrived{"another vm", h.Answer(h.sent[0])});
  EXPECT_TRUE(h.answers.empty());
  h.Reply(h.sent[1]);
  h.Reply(h.sent[1]);
  h.Reply(h.sent[1], kStatementFailed);
  ASSERT_EQ(h.answers.size(), 1U);
  EXPECT_EQ(h.answers[0].exchange, 2U);
  EXPECT_EQ(h.router.metrics().answers_dropped, 4U);
  h.Step(send_failed{h.sent[1].request.id});
  EXPECT_EQ(h.sent.size(), 2U);
}

// Guards against a read that waits for a silent gateway until its deadline,
// and against the loss of a slow but good first answer.
TEST(retry, silent_gateway_does_not_use_up_the_deadline) {
  harness h;
  h.Step(h.Read());
  h.Advance(400);
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_NE(h.sent[1].request.member, h.sent[0].request.member);
  EXPECT_NE(h.sent[1].request.id, h.sent[0].request.id);
  h.Reply(h.sent[0]);
  EXPECT_EQ(h.LastCode(), kOk);
  ASSERT_EQ(h.cancels.size(), 1U);
  EXPECT_EQ(h.cancels[0].request.id, h.sent[1].request.id);
  h.Reply(h.sent[1]);
  EXPECT_EQ(h.answers.size(), 1U);
}

// Guards against a read that fails because its message could not be sent.
TEST(retry, read_is_sent_elsewhere_after_send_failure) {
  harness h;
  h.Step(h.Read());
  h.Step(send_failed{h.sent[0].request.id});
  h.Advance(20);
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_NE(h.sent[1].request.member, h.sent[0].request.member);
}

// Guards against a write without key that runs twice (I10).
TEST(retry, write_without_key_is_sent_once_after_silence) {
  harness h;
  h.Step(h.Write());
  h.Advance(4'900);
  EXPECT_EQ(h.sent.size(), 1U);
  EXPECT_TRUE(h.answers.empty());
  h.Advance(200);
  EXPECT_EQ(h.LastCode(), kUnknownTimeout);
  EXPECT_EQ(h.cancels.size(), 1U);
}

// Guards against `not_run` for a write whose earlier attempt may have run.
TEST(retry, later_refusal_does_not_hide_an_unknown_attempt) {
  harness h;
  h.Step(h.Write("key"));
  h.Reply(h.sent[0], kUnknownConnectionLost);
  h.Advance(20);
  ASSERT_EQ(h.sent.size(), 2U);
  EXPECT_EQ(h.sent[1].request.idempotency_key, "key");
  EXPECT_EQ(h.sent[1].request.request_digest.size(), 32U);
  h.Reply(h.sent[1], kStatementFailed);
  EXPECT_EQ(InfoOf(h.LastCode()).result, outcome::kUnknown);
}

// Guards against an attempt that is repeated after the key was withdrawn.
TEST(retry, withdrawn_key_stops_retries) {
  harness h;
  h.Step(h.Write("key"));
  config::configuration c = TestConfiguration();
  c.version = 2;
  c.keys.erase("k1");
  h.Apply(c);
  h.Advance(5'100);
  EXPECT_EQ(h.sent.size(), 1U);
  EXPECT_EQ(h.LastCode(), kUnknownTimeout);
}

// Guards against retries that multiply the load of a failing gateway, and
// against requests that are held when no retry is left.
TEST(retry, budget_limits_retries) {
  harness h;
  constexpr uint64_t kRequests = 300;
  for (uint64_t i = 0; i < kRequests; ++i) {
    h.Step(h.Read());
  }
  for (size_t i = 0; i < h.sent.size(); ++i) {
    const send_request request = h.sent[i];
    h.Reply(request, kQueueFull);
    h.Advance(1);
  }
  h.Advance(1'000);
  // 10 % of the requests, the first ten, and one for each second.
  EXPECT_GE(h.router.metrics().retries, 40U);
  EXPECT_LE(h.router.metrics().retries, 43U);
  EXPECT_EQ(h.answers.size(), kRequests);
  EXPECT_GE(h.router.metrics().refused_within_rate, kRequests - 43U);
}

// Guards against a request beyond the bound, and a place that is not freed.
TEST(retry, requests_in_flight_are_bounded) {
  entry_options options = TestOptions();
  options.max_in_flight = 2;
  harness h(options);
  for (int i = 0; i < 3; ++i) {
    h.Step(h.Read());
  }
  ASSERT_EQ(h.answers.size(), 1U);
  EXPECT_EQ(h.LastCode(), kOverloaded);
  h.Reply(h.sent[0]);
  h.Step(h.Read());
  EXPECT_EQ(h.sent.size(), 3U);
}

// Gateways that apply effects under random faults. Cancels are ignored, which
// is the worst case.
class faulty_gateways {
 public:
  explicit faulty_gateways(harness& h) : h_(h) {}

  void Run(int64_t ms) {
    for (int64_t t = 0; t < ms; t += kStepMs) {
      h_.Advance(kStepMs);
      while (!due_.empty() && due_.begin()->first <= h_.now) {
        const auto run = due_.begin()->second;
        due_.erase(due_.begin());
        run();
      }
      while (seen_ < h_.sent.size()) {
        Receive(h_.sent[seen_++]);
      }
    }
  }

  int effects = 0;
  int unresolved = 0;   ///< Attempts that may have run or will run.
  int overlapping = 0;  ///< Sends while an attempt was unresolved.

 private:
  static constexpr int64_t kStepMs = 5;

  void At(int64_t delay_ms, std::function<void()> run) {
    due_.emplace(h_.now + milliseconds(delay_ms), std::move(run));
  }

  void NotRun(const send_request& request, int64_t delay) {
    static constexpr result_code kCodes[] = {
        kNotOwner, kDatabaseUnavailable, kQueueFull,      kNoPrimary,
        kDraining, kStatementFailed,     kDatabaseLeaving};
    const result_code code = kCodes[*rc::gen::inRange<size_t>(0, 7)];
    At(delay, [this, request, code] {
      --unresolved;
      h_.Reply(request, code);
    });
  }

  void Execute(const send_request& request) {
    const std::string& key = request.request.idempotency_key;
    if (key.empty() || effects == 0) {
      ++effects;
    }
  }

  void Receive(const send_request& request) {
    overlapping += unresolved > 0 ? 1 : 0;
    ++unresolved;
    const int64_t delay = *rc::gen::element<int64_t>(1, 40, 1'500, 7'000);
    const int fault = *rc::gen::inRange(0, 10);
    switch (fault) {
      case 0:
        --unresolved;
        h_.Step(send_failed{request.request.id});
        break;
      case 1:
      case 2:
        NotRun(request, delay);
        break;
      case 3:  // Lost on the way.
        break;
      default:
        At(delay, [this, request, fault] {
          Execute(request);
          if (fault == 4) {  // The answer is lost.
            return;
          }
          h_.Reply(request, fault == 5 ? kUnknownNotReplicated : kOk);
          h_.Reply(request);  // Doubled.
        });
    }
  }

  harness& h_;
  std::multimap<time_point, std::function<void()>> due_;
  size_t seen_ = 0;
};

void CheckWrites(const std::string& key) {
  entry_options options = TestOptions();
  options.seed = *rc::gen::arbitrary<uint64_t>();
  harness h(options);
  faulty_gateways gateways(h);
  h.Step(h.Write(key));
  gateways.Run(5'100);
  RC_ASSERT(h.answers.size() == 1U);
  RC_ASSERT(h.router.in_flight() == 0U);
  gateways.Run(8'000);  // Late effects.
  RC_ASSERT(h.answers.size() == 1U);
  const outcome told = InfoOf(h.LastCode()).result;
  RC_ASSERT(gateways.effects <= 1);
  RC_ASSERT(told != outcome::kDone || gateways.effects == 1);
  RC_ASSERT(told != outcome::kNotRun || gateways.effects == 0);
  if (key.empty()) {
    RC_ASSERT(gateways.overlapping == 0);
  }
  RC_TAG(std::string(OutcomeName(told)), h.sent.size() > 1);
}

// Guards against a second run of a write without key, and a false outcome.
TEST(retry, writes_without_key_run_at_most_once_under_faults) {
  EXPECT_TRUE(rc::check("without key", [] { CheckWrites(""); }));
}

// Guards against a false outcome of a repeatable write.
TEST(retry, repeatable_writes_end_truthfully_under_faults) {
  EXPECT_TRUE(rc::check("repeatable", [] { CheckWrites("key"); }));
}

}  // namespace
}  // namespace tarragondale::entry
