// Tests of keys, routes, currency, rates and validation.
#include <gtest/gtest.h>

#include "src/entry/access_check.h"
#include "src/entry/rate_limit.h"
#include "src/entry/router_harness.h"

namespace tarragondale::entry {
namespace {

// Guards against a key that is taken although its secret or form is wrong.
TEST(access, refuses_wrong_keys) {
  harness h;
  for (const char* bearer : {"k1.other", "k1", "k9.secret", ".secret", "k1.",
                             "k1.secret.", "k2.secret\n"}) {
    caller_request request = h.Read();
    request.bearer = bearer;
    h.Step(request);
    EXPECT_EQ(h.LastCode(), result_code::kKeyInvalid) << bearer;
  }
  for (const std::optional<std::string>& none :
       {std::optional<std::string>(), std::optional<std::string>("")}) {
    caller_request request = h.Read();
    request.bearer = none;
    h.Step(request);
    EXPECT_EQ(h.LastCode(), result_code::kKeyMissing);
  }
  EXPECT_TRUE(h.sent.empty());
}

// Guards against a refusal on an open route because of a useless key or an
// unknown currency, and against a keyed route that goes on.
TEST(access, open_routes_ignore_keys_and_currency) {
  harness h;
  h.Step(currency_changed{false});
  caller_request request = h.Read();
  request.route = "public";
  request.bearer = "k1.wrong";
  h.Step(request);
  ASSERT_EQ(h.sent.size(), 1U);
  EXPECT_EQ(h.sent[0].request.organisation, "");
  h.Step(h.Read());
  EXPECT_EQ(h.LastCode(), result_code::kConfigurationStale);
}

// Guards against the use of a route by another organisation or kind.
TEST(access, checks_route_organisation_and_kind) {
  harness h;
  config::configuration c = TestConfiguration();
  c.version = 2;
  c.routes["orders"].organisations.erase("south");
  h.Apply(c);
  caller_request request = h.Read();
  request.bearer = "k2.secret";
  h.Step(request);
  EXPECT_EQ(h.LastCode(), result_code::kRouteForbidden);
  request = h.Write();
  request.route = "public";
  h.Step(request);
  EXPECT_EQ(h.LastCode(), result_code::kKindForbidden);
  request.route = "nowhere";
  h.Step(request);
  EXPECT_EQ(h.LastCode(), result_code::kRouteUnknown);
}

// Guards against a configuration that goes back to an older version.
TEST(access, ignores_an_older_configuration) {
  harness h;
  config::configuration c = TestConfiguration();
  c.version = 0;
  c.keys.clear();
  h.Apply(c);
  h.Step(h.Read());
  EXPECT_EQ(h.sent.size(), 1U);
}

// Guards against work for a withdrawn key: the open transaction is cancelled,
// a waiting request is refused and a new one too.
TEST(access, withdrawn_key_ends_transactions_and_waiting_requests) {
  harness h;
  const std::string transaction = h.Begun();
  ASSERT_FALSE(transaction.empty());
  h.MakePrimary("none", 2);
  h.Advance(200);
  h.Step(h.Write());
  ASSERT_EQ(h.answers.size(), 1U);
  config::configuration c = TestConfiguration();
  c.version = 2;
  c.keys.erase("k1");
  h.Apply(c);
  ASSERT_EQ(h.cancels.size(), 1U);
  EXPECT_EQ(h.cancels[0].request.id, h.sent[0].request.id);
  EXPECT_EQ(h.LastCode(), result_code::kKeyInvalid);
  h.Step(h.TransactionStep(wire::transaction_step::kCommit, transaction));
  EXPECT_EQ(h.LastCode(), result_code::kKeyInvalid);
  EXPECT_EQ(h.sent.size(), 1U);
}

// Guards against a transaction that outlives the withdrawal of its key because
// the gateway's answer to `begin` came later.
TEST(access, withdrawn_key_ends_a_beginning_transaction) {
  harness h;
  h.Step(h.Begin(wire::request_kind::kWrite));
  config::configuration c = TestConfiguration();
  c.version = 2;
  c.keys.erase("k1");
  h.Apply(c);
  h.Reply(h.sent[0]);
  EXPECT_EQ(h.LastCode(), result_code::kKeyInvalid);
  EXPECT_EQ(h.cancels.size(), 1U);
}

// Guards against fields that the gateway or database can't take.
TEST(access, refuses_invalid_fields) {
  harness h;
  const auto refused = [&h](auto change) {
    caller_request request = h.Read();
    change(request);
    h.Step(request);
    return !h.answers.empty() && h.LastCode() == result_code::kInvalidField &&
           h.answers.back().exchange == request.exchange;
  };
  EXPECT_TRUE(refused([](auto& r) { r.statements.clear(); }));
  EXPECT_TRUE(refused([](auto& r) { r.statements.resize(101, {"x", {}}); }));
  EXPECT_TRUE(refused([](auto& r) { r.statements[0].params.resize(1001); }));
  EXPECT_TRUE(refused([](auto& r) { r.statements[0].sql.push_back('\0'); }));
  EXPECT_TRUE(refused([](auto& r) { r.idempotency_key = "a b"; }));
  EXPECT_TRUE(refused([](auto& r) { r.idempotency_key.assign(129, 'a'); }));
  EXPECT_TRUE(refused([](auto& r) { r.timeout_ms = 60'001; }));
  EXPECT_TRUE(refused([](auto& r) { r.timeout_ms = -1; }));
  EXPECT_TRUE(refused([](auto& r) { r.max_age_ms = -2; }));
  EXPECT_TRUE(refused([](auto& r) {
    r.kind = wire::request_kind::kWrite;
    r.max_age_ms = 5;
  }));
  EXPECT_TRUE(refused([](auto& r) { r.route.clear(); }));
  EXPECT_TRUE(h.sent.empty());
}

// Guards against a split whose sum over all VMs is above the limit, or that
// admits nothing anywhere because each part of the burst is below one.
TEST(rate, split_sums_to_the_limit) {
  for (const double burst : {3.0, 9.0, 100.0}) {
    config::organisation_limit sum;
    for (int i = 1; i <= 9; ++i) {
      const auto part = static_split().Share(
          "north", {50, burst}, ViewOf(9, "vm-" + std::to_string(i)));
      EXPECT_TRUE(part.burst == 0 || part.burst >= 1);
      sum.rate += part.rate;
      sum.burst += part.burst;
    }
    EXPECT_NEAR(sum.rate, 50, 1e-6);
    EXPECT_NEAR(sum.burst, burst, 1e-6);
  }
}

// Guards against a burst that is granted again when the fleet, the limit or
// the organisation's row changes.
TEST(rate, changes_grant_no_second_burst) {
  rate_limiter rates(std::make_unique<static_split>());
  config::configuration c;
  c.routes["r"].organisations["north"] = {10, 100};
  time_point now = TimeFromMs(1'000);
  rates.Update(now, c, ViewOf(1, "vm-1"));
  EXPECT_FALSE(rates.Admit(now, "north"));
  now += seconds(100);
  int admitted = 0;
  for (int vms : {1, 3, 9, 2, 1}) {
    rates.Update(now, c, ViewOf(vms, "vm-1"));
    rates.Update(now, config::configuration(), ViewOf(vms, "vm-1"));
    rates.Update(now, c, ViewOf(vms, "vm-1"));
    while (rates.Admit(now, "north")) {
      ++admitted;
    }
  }
  EXPECT_LE(admitted, 100);
}

// Guards against a Retry-After that is too early, and a refusal that is
// counted as one within the rate.
TEST(rate, refuses_above_the_rate) {
  harness h;
  config::configuration c = TestConfiguration();
  c.version = 2;
  c.routes["orders"].organisations["north"] = {30, 30};
  h.Apply(c);
  int sent = 0;
  while (h.answers.empty()) {
    h.Step(h.Read());
    ++sent;
  }
  EXPECT_EQ(sent, 11);  // A third of the burst, then the refusal.
  EXPECT_EQ(h.LastCode(), result_code::kRateExceeded);
  h.Advance(h.answers.back().retry_after_ms);
  const size_t answers = h.answers.size();
  h.Step(h.Read());
  EXPECT_EQ(h.answers.size(), answers);
  EXPECT_EQ(h.router.metrics().refused_within_rate, 0U);
  EXPECT_EQ(h.router.metrics().organisations.at("north").rate_exceeded, 1U);
}

}  // namespace
}  // namespace tarragondale::entry
