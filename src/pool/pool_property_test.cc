// Properties of the gateway under random losses, silence, stalls and late
// events.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "src/pool/fake_member_test.h"

namespace tarragondale::pool {
namespace {

using enum wire::transaction_step;

struct scenario {
  gateway_fixture f;
  std::map<request_id, std::string> whole_writes;  // Token by request.
  std::vector<request_id> begun;
  std::map<request_id, std::string> commits;  // Token by commit request.
};

constexpr int kTokens = 1000;
constexpr size_t kBudget = 7;
constexpr size_t kSlots = 2;

void SendWrite(scenario& s, bool keyed) {
  const std::string token = "t" + std::to_string(s.whole_writes.size());
  auto request = s.f.Write(token);
  request.organisation = "o" + std::to_string(*rc::gen::inRange(0, 3));
  request.budget_ms = *rc::gen::inRange(1, 3000);
  if (keyed) {
    request.idempotency_key = token;
  }
  s.whole_writes[request.id] = token;
  s.f.Send(request);
  if (keyed && *rc::gen::arbitrary<bool>()) {
    request.id.sequence += kTokens * kTokens;
    s.whole_writes[request.id] = token;
    s.f.Send(request);
  }
}

void SendStep(scenario& s) {
  if (s.begun.empty() || *rc::gen::inRange(0, 3) == 0) {
    const auto request = s.f.TransactionStep(kBegin, {});
    s.begun.push_back(request.id);
    s.f.Send(request);
    return;
  }
  const request_id id = *rc::gen::elementOf(s.begun);
  const std::string token = "x" + std::to_string(id.sequence);
  const int kind = *rc::gen::inRange(0, 4);
  if (kind == 0) {
    const auto request = s.f.TransactionStep(kCommit, id);
    s.commits[request.id] = token;
    s.f.Send(request);
  } else if (kind == 1) {
    s.f.Step(cancel_arrived{"vm-2", {id, "g", "m1"}});
  } else {
    s.f.Send(s.f.TransactionStep(kContinue, id, {"W " + token}));
  }
}

void Disturb(scenario& s) {
  std::vector<database::connection_id> alive;
  for (const auto& [id, session] : s.f.member.sessions) {
    if (session.alive && session.opened) {
      alive.push_back(id);
    }
  }
  if (alive.empty()) {
    return;
  }
  const auto id = *rc::gen::elementOf(alive);
  if (*rc::gen::arbitrary<bool>()) {
    s.f.Cut(id, *rc::gen::arbitrary<bool>());
  } else {
    s.f.member.sessions[id].silent = true;
  }
}

void CheckOutcomes(scenario& s) {
  std::map<std::string, bool> may_have_run;
  for (const auto& [id, token] : s.whole_writes) {
    RC_ASSERT(s.f.answers.contains(id));
    const result_code code = s.f.answers[id].code;
    if (InfoOf(code).result == outcome::kDone) {
      RC_ASSERT(s.f.member.executed[token] == 1);
    }
    may_have_run[token] |= InfoOf(code).result != outcome::kNotRun;
    RC_ASSERT(s.f.member.executed[token] <= 1);
  }
  for (const auto& [token, may] : may_have_run) {
    RC_ASSERT(may || s.f.member.executed[token] == 0);
  }
  for (const auto& [id, token] : s.commits) {
    RC_ASSERT(s.f.answers.contains(id));
  }
  for (const request_id& id : s.begun) {
    const std::string token = "x" + std::to_string(id.sequence);
    bool may = false;
    for (const auto& [commit, committed] : s.commits) {
      may =
          may || (committed == token &&
                  InfoOf(s.f.answers[commit].code).result != outcome::kNotRun);
    }
    RC_ASSERT(may || s.f.member.executed[token] == 0);
  }
}

// Guards against false `not_run`, double execution, mixed transactions, reuse
// without reset, and excess of slots or connections.
TEST(GatewayPropertyTest, OutcomesAreTrueAndLimitsHold) {
  EXPECT_TRUE(rc::check([] {
    scenario s;
    s.f.late_events = *rc::gen::arbitrary<bool>();
    const auto events = *rc::gen::inRange(5, 60);
    for (int i = 0; i < events; ++i) {
      switch (*rc::gen::inRange(0, 12)) {
        case 0:
          Disturb(s);
          break;
        case 1:
          s.f.member.unresponsive = !s.f.member.unresponsive;
          break;
        case 2:
          s.f.member.refuse_connections = !s.f.member.refuse_connections;
          break;
        case 3:
          s.f.member.replica_position =
              s.f.member.position + *rc::gen::inRange(-2, 100);
          break;
        case 4:
        case 5:
          SendStep(s);
          break;
        case 6:
          s.f.Send(s.f.Read());
          break;
        case 7:
          SendWrite(s, true);
          break;
        case 8:
          s.f.RunFor(milliseconds(*rc::gen::inRange(0, 1500)));
          break;
        default:
          SendWrite(s, false);
          s.f.RunFor(duration(*rc::gen::inRange(0, 5000)));
          break;
      }
    }
    s.f.member.unresponsive = false;
    s.f.member.refuse_connections = false;
    s.f.member.replica_position = 1'000'000;
    s.f.RunFor(seconds(90));
    CheckOutcomes(s);
    RC_ASSERT(s.f.answered_twice == 0);
    RC_ASSERT(s.f.member.faults.empty());
    RC_ASSERT(s.f.member.most_in_flight <= kSlots);
    RC_ASSERT(s.f.member.most_connections <= kBudget);
    // The member is healthy again: no connection or slot is lost.
    // A connection that went silent while it was idle shows it at its next
    // use, which may refuse a request that repeated too often.
    size_t refused = 0;
    while (s.f.Ask(s.f.Write("last")).code != result_code::kOk) {
      RC_ASSERT(++refused < kBudget);
    }
    s.f.Step(drain_started{});
    s.f.RunFor(seconds(1));
    RC_ASSERT(s.f.drained_count == 1);
    RC_ASSERT(s.f.member.Connections() == 0U);
  }));
}

// Guards against an organisation whose share shrinks by the load of another.
TEST(GatewayPropertyTest, SharesAreEqualWhileBothHaveWork) {
  EXPECT_TRUE(rc::check([] {
    gateway_fixture f({}, *rc::gen::inRange(1, 5));
    f.member.statement_time = milliseconds(*rc::gen::inRange(1, 20));
    constexpr int kSmall = 12;
    constexpr int kFactor = 8;
    for (int i = 0; i < kSmall * (kFactor + 1); ++i) {
      const std::string name = i % (kFactor + 1) == 0 ? "small" : "large";
      auto request = f.Write(name);
      request.organisation = name;
      request.budget_ms = 100'000;
      f.Send(request);
    }
    while (f.member.executed["small"] < kSmall - 2) {
      f.RunFor(milliseconds(1));
      const int difference =
          f.member.executed["large"] - f.member.executed["small"];
      RC_ASSERT(difference <= 6);  // Those that began before the queue formed.
    }
  }));
}

}  // namespace
}  // namespace tarragondale::pool
