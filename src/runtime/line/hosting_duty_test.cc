// Tests of sessions that the VM forwards to itself, with simulated brokers.
#include "src/runtime/line/hosting_duty.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <vector>

#include "src/runtime/line/boot_clock.h"

namespace tarragondale::runtime {
namespace {

using interactive::answer_caller;
using interactive::session_id;

// One more VM than a fleet without hosts may have.
constexpr int kSmallestFleetWithHosts = 17;
constexpr unsigned kTestLimitS = 20;

std::vector<leadership::vm_registration> Fleet(int vms) {
  std::vector<leadership::vm_registration> fleet;
  for (int i = 0; i < vms; ++i) {
    leadership::vm_registration& added = fleet.emplace_back();
    added.name = fmt::format("vm-{}", i);
    added.availability_zone = "z";
    added.region = "r";
    added.capacity = i == 0 ? 160 : 512;  // Large VMs become hosts.
  }
  return fleet;
}

interactive::configuration_snapshot_ptr Configuration(bool with_route) {
  auto made = std::make_shared<interactive::configuration_snapshot>();
  made->version = with_route ? 1 : 2;
  made->organisations_by_key["key"] = "red";
  if (with_route) {
    interactive::route& route = made->routes["db"];
    route.database = "db";
    route.group = "g";
    route.statement_timeout = milliseconds(300);
  }
  return made;
}

// The VM is `vm-0`; messages to other VMs are recorded only.
class HostingDutyTest : public testing::Test {
 protected:
  // A call that does not return would otherwise last until ctest's limit.
  void SetUp() override {
    alarm(kTestLimitS);
    duty_.SetCatalogue(Configuration(true));
    duty_.SetFleet(Fleet(kSmallestFleetWithHosts));
  }
  void TearDown() override { alarm(0); }

  void OnBrokerEvent(const interactive::event& event) {
    if (const auto* hosted = std::get_if<interactive::session_hosted>(&event)) {
      ++hosted_here_;
      if (broker_refuses_) {
        duty_.TakeClose(hosted->session);
      }
    } else if (const auto* sent =
                   std::get_if<interactive::caller_sent>(&event)) {
      duty_.TakeAnswer(answer_caller{.session = sent->session});
    }
  }

  // Opens a session whose preferred host is another VM. Returns that VM.
  std::string OpenAtAnotherHost() {
    duty_.OnCaller(interactive::caller_opened{1, "db", "key"});
    Send();
    if (sent_.empty()) {
      ADD_FAILURE() << "the session has no other host";
      return "";
    }
    return sent_.back().first;
  }
  void Send() {
    interactive::caller_statement statement;
    statement.id = "s";
    statement.kind = interactive::statement_kind::kRead;
    duty_.OnCaller(interactive::caller_sent{1, statement});
  }
  // The host hands the session back before it has run the statement.
  void EndAt(const std::string& host) {
    const auto& open = std::get<wire::hosted_open>(sent_.front().second);
    duty_.OnMessage(host, wire::hosted_ended{open.id, true, 0, 0, true});
  }
  void RunTimers(duration span) {
    for (const time_point end = BootNow() + span; BootNow() < end;) {
      usleep(5'000);
      duty_.OnTimer(BootNow());
    }
  }

  bool broker_refuses_ = false;
  int hosted_here_ = 0;
  std::vector<std::pair<std::string, wire::message_body>> sent_;
  std::vector<answer_caller> answers_;
  input_budget budget_;
  hosting_duty duty_{
      "vm-0",
      1,
      {},
      budget_,
      {.broker =
           [this](const interactive::event& event) { OnBrokerEvent(event); },
       .send =
           [this](const std::string& vm, const wire::message_body& body) {
             sent_.emplace_back(vm, body);
             return true;
           },
       .accept = [](const interactive::accept_caller&) {},
       .answer =
           [this](const answer_caller& answer) { answers_.push_back(answer); },
       .close = [](session_id) {}}};
};

// Guards against a VM that stops handling events until it is killed: it shuts
// down, the fleet is too small for hosts once a host has left, and the VM
// forwards the sessions of that host to itself and refuses them, again and
// again within one call.
TEST_F(HostingDutyTest, ShutdownRunsSessionsThatNoOtherVmHosts) {
  const std::string host = OpenAtAnotherHost();
  duty_.StartDrain(BootNow());
  duty_.SetFleet(Fleet(kSmallestFleetWithHosts - 1));
  EndAt(host);
  EXPECT_EQ(hosted_here_, 1);
  ASSERT_EQ(answers_.size(), 1U);
  EXPECT_EQ(answers_[0].code, result_code::kOk);
}

// The same after the route of the session was removed.
TEST_F(HostingDutyTest, ShutdownAnswersSessionsOfARemovedRoute) {
  const std::string host = OpenAtAnotherHost();
  duty_.StartDrain(BootNow());
  duty_.SetCatalogue(Configuration(false));
  EndAt(host);
  EXPECT_EQ(hosted_here_, 1);
  EXPECT_EQ(answers_.size(), 1U);
}

// Guards against the same loop if the VM's own broker ends each session at
// once. The statement is then answered at its time limit.
TEST_F(HostingDutyTest, RefusalOfTheOwnBrokerEndsTheCall) {
  const std::string host = OpenAtAnotherHost();
  duty_.SetFleet(Fleet(kSmallestFleetWithHosts - 1));
  broker_refuses_ = true;
  EndAt(host);
  EXPECT_LE(hosted_here_, 2);
  RunTimers(milliseconds(600));
  ASSERT_EQ(answers_.size(), 1U);
  EXPECT_EQ(answers_[0].code, result_code::kDeadlineBeforeStart);
}

// What another VM's caller makes this VM hold counts here too. Guards against a
// host that many entry VMs, each within its own budget, run out of memory.
class HostBudgetTest : public testing::Test {
 protected:
  static constexpr size_t kMiB = 1U << 20;
  static constexpr size_t kBudget = 16 * kMiB;

  void SetUp() override {
    budget_.SetLimits({.total_bytes = kBudget});
    duty_.SetCatalogue(Configuration(true));
    duty_.SetFleet(Fleet(kSmallestFleetWithHosts));
  }
  void OpenSession(uint64_t session, size_t value_bytes) {
    wire::hosted_open open;
    open.id = {1, session, 1};
    open.database = "db";
    open.values = {{"v", std::string(value_bytes, 'x')}};
    duty_.OnMessage("vm-1", open);
  }
  void SendStatement(uint64_t session, size_t bytes) {
    wire::hosted_statement statement;
    statement.id = {1, session, 1};
    statement.sequence = 1;
    statement.text = std::string(bytes, 'x');
    duty_.OnMessage("vm-1", statement);
  }
  // As the daemon does once more is held.
  void EndLargest() {
    while (const auto largest = budget_.Largest()) {
      duty_.EndHosted(*largest);
      ++ended_;
    }
  }

  input_budget budget_;
  size_t closed_ = 0;  ///< Sessions that ended at the broker.
  size_t ended_ = 0;
  size_t told_ = 0;  ///< Sessions whose entry was told of their end.
  hosting_duty duty_{
      "vm-0",
      1,
      {},
      budget_,
      {.broker =
           [this](const interactive::event& event) {
             closed_ +=
                 std::holds_alternative<interactive::caller_closed>(event) ? 1
                                                                           : 0;
           },
       .send =
           [this](const std::string&, const wire::message_body& body) {
             told_ += std::holds_alternative<wire::hosted_ended>(body) ? 1 : 0;
             return true;
           },
       .accept = [](const interactive::accept_caller&) {},
       .answer = [](const answer_caller&) {},
       .close = [](session_id) {},
       .held = [this] { EndLargest(); }}};
};

TEST_F(HostBudgetTest, ValuesOfManySessionsStayWithinTheBudget) {
  constexpr uint64_t kSessions = 64;
  for (uint64_t i = 1; i <= kSessions; ++i) {
    OpenSession(i, kMiB);
    EXPECT_LE(budget_.total(), kBudget);
  }
  EXPECT_GT(ended_, 0U);
  EXPECT_EQ(closed_, ended_);
  EXPECT_EQ(told_, ended_);
  EXPECT_EQ(duty_.hosted(), kSessions - ended_);
}

TEST_F(HostBudgetTest, StatementsOfManySessionsStayWithinTheBudget) {
  constexpr uint64_t kSessions = 64;
  for (uint64_t i = 1; i <= kSessions; ++i) {
    OpenSession(i, 0);
    SendStatement(i, kMiB);
    EXPECT_LE(budget_.total(), kBudget);
  }
  EXPECT_GT(ended_, 0U);
  EXPECT_EQ(told_, ended_);
  EXPECT_EQ(duty_.hosted(), kSessions - ended_);
}

TEST_F(HostBudgetTest, ReturnedSessionHoldsNothing) {
  OpenSession(1, kMiB);
  SendStatement(1, kMiB);
  EXPECT_GT(budget_.total(), 2 * kMiB);
  duty_.ReturnSession(hosting::session_host::kFirstId + 1);
  EXPECT_EQ(budget_.total(), 0U);
  EXPECT_EQ(told_, 1U);
  EXPECT_EQ(duty_.hosted(), 0U);
}

TEST_F(HostBudgetTest, SmallSessionsOutliveALargeOne) {
  OpenSession(1, 100);
  OpenSession(2, 8 * kMiB);
  EXPECT_EQ(ended_, 1U);
  EXPECT_EQ(duty_.hosted(), 1U);
  EXPECT_GT(budget_.held(hosting::session_host::kFirstId + 1), 0U);
}

}  // namespace
}  // namespace tarragondale::runtime
