// Tests of the allowed regions in hosting: no statement of a restricted session
// may be sent to a VM in another region, except the entry VM.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <utility>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {
namespace {

using interactive::region_set;
using interactive::statement_kind;
using interactive::transaction_state;

// 30 VMs; `vm-I` is in the region north, south or west, in turn.
std::vector<relay::vm> Fleet() {
  const std::vector<std::string> regions = {"north", "south", "west"};
  std::vector<relay::vm> fleet;
  for (size_t i = 0; i < 30; ++i) {
    const std::string& region = regions[i % regions.size()];
    fleet.push_back({fmt::format("vm-{}", i), region + "-a", region, 512});
  }
  return fleet;
}

// The entry VM `vm-0` in the region north with one session.
class entry_harness {
 public:
  entry_harness() : entry_("vm-0", 1, {}) {
    entry_.SetFleet(Fleet());
    configuration_.routes["db"] = {
        .name = "orders", .database = "db", .group = "g"};
    configuration_.organisations_by_key["key"] = "red";
    configuration_.organisations["red"].name = "red";
    SetRegions({}, {});
    EXPECT_TRUE(entry_.Open(now_, {1, "db", "key"}));
    Collect();
  }

  void SetRegions(region_set of_route, region_set of_organisation) {
    ++configuration_.version;
    configuration_.routes["db"].allowed_regions = std::move(of_route);
    configuration_.organisations["red"].allowed_regions =
        std::move(of_organisation);
    entry_.SetCatalogue(
        std::make_shared<interactive::configuration_snapshot>(configuration_));
  }

  void Send(statement_kind kind) {
    interactive::caller_statement statement;
    statement.id = fmt::format("s{}", ++last_);
    statement.kind = kind;
    entry_.Send(now_, {1, statement});
    Collect();
  }

  // Answers the oldest statement that is unanswered.
  void Answer(transaction_state state = transaction_state::kIdle) {
    ASSERT_FALSE(unanswered.empty());
    const auto [vm, sent] = unanswered.front();
    unanswered.erase(unanswered.begin());
    wire::hosted_answer answer;
    answer.id = sent.id;
    answer.sequence = sent.sequence;
    answer.state = static_cast<int64_t>(state);
    entry_.OnMessage(now_, vm, answer);
    Collect();
  }

  // The process of the host restarted and knows the session no longer.
  void LoseHost() {
    const auto [vm, sent] = unanswered.front();
    unanswered.clear();
    entry_.OnMessage(
        now_, vm, wire::hosted_ended{sent.id, false, 0, sent.sequence, false});
    Collect();
  }

  std::string RegionOf(const std::string& vm) const {
    return std::string(entry_.plan().RegionOf(vm));
  }
  // Region of the VM that got the newest statement.
  std::string LastRegion() const { return RegionOf(hosts.back()); }

  forwarder& entry() { return entry_; }

  std::vector<std::pair<std::string, wire::hosted_statement>> unanswered;
  std::vector<std::string> hosts;  ///< That got statements, in order.
  std::vector<wire::restricted_open> restricted;
  int opens = 0;  ///< Attachments without regions.
  std::vector<interactive::answer_caller> answers;

 private:
  void Collect() {
    for (const action& each : entry_.TakeActions()) {
      if (const auto* message = std::get_if<send_message>(&each)) {
        if (const auto* sent =
                std::get_if<wire::hosted_statement>(&message->body)) {
          unanswered.emplace_back(message->vm, *sent);
          hosts.push_back(message->vm);
        } else if (const auto* open =
                       std::get_if<wire::restricted_open>(&message->body)) {
          restricted.push_back(*open);
        } else {
          opens += std::holds_alternative<wire::hosted_open>(message->body);
        }
      } else if (const auto* answer =
                     std::get_if<interactive::answer_caller>(&each)) {
        answers.push_back(*answer);
      }
    }
  }

  time_point now_ = TimeFromMs(1'000'000);
  interactive::configuration_snapshot configuration_;
  forwarder entry_;
  int last_ = 0;
};

// Guards against a change for sessions that no region restricts.
TEST(HostedRegionsTest, UnrestrictedSessionsRunInTheEntrysRegion) {
  entry_harness test;
  test.Send(statement_kind::kWrite);
  EXPECT_EQ(test.LastRegion(), "north");
  EXPECT_EQ(test.opens, 1);
  EXPECT_TRUE(test.restricted.empty());
}

// Guards against hosts in the entry's region when this is neither a home nor
// known to be the caller's, and against more VMs that connect to the members
// than the hosts that the VMs of the allowed region use themselves.
TEST(HostedRegionsTest, HostsAreThoseOfAnAllowedRegion) {
  entry_harness test;
  test.SetRegions({"south"}, {});
  test.Send(statement_kind::kWrite);
  EXPECT_EQ(test.LastRegion(), "south");
  ASSERT_EQ(test.restricted.size(), 1U);
  EXPECT_EQ(test.restricted[0].route_regions,
            std::vector<std::string>{"south"});
  host_plan there("vm-1");
  there.SetFleet(Fleet());
  EXPECT_EQ(test.hosts.back(), there.HostsOf("g", "red").front());
}

TEST(HostedRegionsTest, RegionsOfRouteAndOrganisationBothBind) {
  entry_harness test;
  test.SetRegions({"north", "west"}, {"south", "west"});
  test.Send(statement_kind::kWrite);
  EXPECT_EQ(test.LastRegion(), "west");
}

// Guards against hosts in any region if no VM is in an allowed one: the entry
// VM runs the session itself.
TEST(HostedRegionsTest, EntryRunsTheSessionIfNoVmIsInAnAllowedRegion) {
  entry_harness test;
  test.SetRegions({"north"}, {"south"});
  test.Send(statement_kind::kWrite);
  EXPECT_EQ(test.hosts.back(), "vm-0");
  ASSERT_EQ(test.restricted.size(), 1U);
}

// Guards against an open session that stays on its former host.
TEST(HostedRegionsTest, OpenSessionMovesWhenTheRegionsChange) {
  entry_harness test;
  test.Send(statement_kind::kWrite);
  test.Answer();
  test.SetRegions({}, {"west"});
  test.Send(statement_kind::kWrite);
  EXPECT_EQ(test.LastRegion(), "west");
  test.Answer();
  ASSERT_EQ(test.answers.size(), 2U);
  EXPECT_EQ(test.answers[1].code, result_code::kOk);
  EXPECT_EQ(test.entry().moved_by_regions(), 1U);
}

// Guards against a later statement that follows an unanswered one to the former
// host, and against a resend there.
TEST(HostedRegionsTest, StatementsAfterTheChangeWaitForEarlierOnes) {
  for (const bool lost : {false, true}) {
    entry_harness test;
    test.Send(statement_kind::kWrite);
    test.SetRegions({"west"}, {});
    test.Send(statement_kind::kWrite);
    ASSERT_EQ(test.hosts.size(), 1U);
    lost ? test.LoseHost() : test.Answer();
    ASSERT_EQ(test.hosts.size(), lost ? 3U : 2U);
    for (size_t i = 1; i < test.hosts.size(); ++i) {
      EXPECT_EQ(test.RegionOf(test.hosts[i]), "west");
    }
  }
}

// Guards against an open transaction, or its commit, that goes on at a host
// that is no longer allowed or that may not know of the new regions.
TEST(HostedRegionsTest, TransactionIsAbortedWhenTheRegionsAreNarrowed) {
  for (const statement_kind next :
       {statement_kind::kWrite, statement_kind::kCommit}) {
    for (const region_set& regions : {region_set{"west"}, {"north"}}) {
      entry_harness test;
      test.Send(statement_kind::kBegin);
      test.Answer(transaction_state::kOpen);
      test.SetRegions(regions, {});
      test.Send(next);
      ASSERT_EQ(test.answers.size(), 2U);
      EXPECT_EQ(test.answers[1].code, result_code::kTransactionAborted);
      EXPECT_EQ(test.hosts.size(), 1U);
    }
  }
}

// Guards against transactions that are aborted without need, and against a
// session that keeps to regions which no longer apply.
TEST(HostedRegionsTest, TransactionGoesOnWhenTheRegionsAreWidened) {
  entry_harness test;
  test.SetRegions({"north"}, {});
  test.Send(statement_kind::kBegin);
  test.Answer(transaction_state::kOpen);
  test.SetRegions({"north", "west"}, {});
  test.Send(statement_kind::kCommit);
  test.Answer();
  ASSERT_EQ(test.answers.size(), 2U);
  EXPECT_EQ(test.answers[1].code, result_code::kOk);
  EXPECT_EQ(test.restricted.size(), 1U);
  test.Send(statement_kind::kRead);
  ASSERT_EQ(test.restricted.size(), 2U);
  EXPECT_EQ(test.restricted[1].route_regions.size(), 2U);
}

// Guards against hosts that VMs see as avoided: another one must be allowed
// too.
TEST(HostedRegionsTest, HostsThatRefuseAreReplacedWithinTheAllowedRegions) {
  entry_harness test;
  test.SetRegions({"south"}, {});
  for (int i = 0; i < 6; ++i) {
    test.Send(statement_kind::kRead);
    EXPECT_EQ(test.LastRegion(), "south");
    const auto [vm, sent] = test.unanswered.front();
    test.unanswered.clear();
    test.entry().OnMessage(
        TimeFromMs(1'000'000), vm,
        wire::hosted_ended{sent.id, false, 0, sent.sequence, true});
    for (const action& each : test.entry().TakeActions()) {
      if (const auto* message = std::get_if<send_message>(&each)) {
        EXPECT_EQ(test.RegionOf(message->vm), "south");
      }
    }
  }
}

// Guards against regions that are lost on the way to the host's broker.
TEST(HostedRegionsTest, HostPassesTheEntrysRegionsToItsBroker) {
  session_host host("vm-1");
  host.SetOpen(true);
  wire::restricted_open open;
  open.open.id = {1, 1, 1};
  open.open.database = "db";
  open.route_regions = {"south"};
  open.organisation_regions = {"south", "west"};
  const auto events = host.OnMessage(TimeFromMs(1), "vm-0", open);
  ASSERT_EQ(events.size(), 1U);
  const auto& hosted = std::get<interactive::session_hosted>(events[0]);
  EXPECT_EQ(hosted.route_regions, region_set{"south"});
  EXPECT_EQ(hosted.organisation_regions, (region_set{"south", "west"}));
}

// Guards against shares of a cold member that count other VMs than those that
// host its group's sessions.
TEST(HostPlanTest, SendersToAColdMemberAreTheHostsOfAllRegions) {
  host_plan plan("vm-0");
  plan.SetFleet(Fleet());
  const interactive::cold_senders senders = plan.ColdSenders();
  EXPECT_EQ(senders.self, "vm-0");
  EXPECT_EQ(senders.vms.size(), 30U);
  EXPECT_EQ(senders.candidates.size(), 3U);
  EXPECT_EQ(senders.hosts, plan.HostsOf("g", "red").size());
  auto small = Fleet();
  small.resize(3);
  plan.SetFleet(small);
  EXPECT_TRUE(plan.ColdSenders().candidates.empty());
  EXPECT_EQ(plan.ColdSenders().vms.size(), 3U);
}

}  // namespace
}  // namespace tarragondale::hosting
