// Tests of the group library. The fault matrix covers combinations of faults.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "src/fault_matrix/world.h"
#include "src/group/guards.h"
#include "src/group/silence.h"
#include "src/group/votes.h"
#include "tarragondale/group.h"

namespace tarragondale::group {
namespace {

using fault_matrix::fake_member;
using fault_matrix::world;

void RunFor(world& in, duration span) {
  const time_point end = in.sim.now() + span;
  while (in.sim.RunOne(end)) {
  }
}

size_t Count(const world& in, notice_kind kind) {
  return static_cast<size_t>(
      std::count_if(in.notices.begin(), in.notices.end(),
                    [&](const notice& what) { return what.kind == kind; }));
}

constexpr duration kStart = seconds(3);
constexpr duration kFailover = seconds(3);

// Guards against a choice that drops acknowledged writes for a preference.
TEST(GuardsTest, ChosenMemberHoldsTheHighestPosition) {
  const bool holds = rc::check("highest position", [] {
    const auto count = *rc::gen::inRange<size_t>(1, 6);
    std::vector<candidate> fenced;
    for (size_t i = 0; i < count; ++i) {
      fenced.push_back({"m" + std::to_string(i),
                        {*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4)},
                        *rc::gen::arbitrary<bool>(),
                        *rc::gen::inRange(0, 3)});
    }
    const candidate& chosen = fenced[ChooseCandidate(fenced, "m1")];
    for (const candidate& other : fenced) {
      RC_ASSERT(chosen.held >= other.held);
      if (other.held == chosen.held && chosen.name != "m1") {
        RC_ASSERT(other.name != "m1");
        RC_ASSERT(!chosen.leaving || other.leaving);
      }
    }
  });
  EXPECT_TRUE(holds);
}

// Guards against two disjoint sets of members that both promote.
TEST(GuardsTest, MajoritiesOverlapAndQuorumsFitSmallFleets) {
  for (size_t members = 1; members < 8; ++members) {
    EXPECT_FALSE(HasFenceMajority(members / 2, members));
    EXPECT_TRUE(HasFenceMajority(members / 2 + 1, members));
  }
  EXPECT_EQ(SuspicionQuorum(1), 1U);
  EXPECT_EQ(SuspicionQuorum(2), 2U);
  EXPECT_EQ(SuspicionQuorum(100), 2U);
}

// Guards against a refused or foreign fence answer that counts as a promise.
TEST(GuardsTest, OnlyAPromiseOfTheTermCounts) {
  call_result answer;
  answer.answered = true;
  answer.report.emplace().promised_term = 4;
  EXPECT_TRUE(IsPromise(answer, 4));
  EXPECT_FALSE(IsPromise(answer, 3));
  answer.sqlstate = database::kStalePromise;
  EXPECT_FALSE(IsPromise(answer, 4));
  EXPECT_EQ(NextTerm(4, 6), 7);
}

// Guards against timeouts that a single late report makes useless.
TEST(SilenceTest, TimeoutAdaptsWithinItsBounds) {
  const timing_options timing;
  silence_timeout silence(timing);
  EXPECT_EQ(silence.Value(), timing.initial_silence);
  for (int i = 0; i < 100; ++i) {
    silence.Add(milliseconds(100));
  }
  EXPECT_EQ(silence.Value(), timing.shortest_silence);
  for (int i = 0; i < 100; ++i) {
    silence.Add(milliseconds(i % 2 == 0 ? 100 : 300));
  }
  EXPECT_GT(silence.Value(), milliseconds(700));
  silence.Add(seconds(60));
  EXPECT_EQ(silence.Value(), timing.longest_silence);
}

// Guards against a zone that is cut off and replaces a primary by itself.
TEST(VotesTest, QuorumNeedsTwoZonesWhenTheyAreAlive) {
  fleet::fleet_view view;
  view.self = "a1";
  const auto add = [&](const char* name, const char* zone) {
    wire::vm_record vm;
    vm.name = name;
    vm.availability_zone = zone;
    vm.state = wire::vm_state::kAlive;
    view.vms.push_back(vm);
  };
  add("a1", "a");
  add("a2", "a");
  vote_box one_zone;
  one_zone.Add("a1", false);
  one_zone.Add("a2", false);
  EXPECT_EQ(one_zone.Decide(view), vote_box::verdict::kUnreachable);
  add("b1", "b");
  EXPECT_EQ(one_zone.Decide(view), vote_box::verdict::kOpen);
  one_zone.Add("b1", false);
  EXPECT_EQ(one_zone.Decide(view), vote_box::verdict::kUnreachable);
  vote_box reached;
  reached.Add("a1", true);
  EXPECT_EQ(reached.Decide(view), vote_box::verdict::kOpen);
  reached.Add("b1", true);
  EXPECT_EQ(reached.Decide(view), vote_box::verdict::kReached);
}

// Guards against a vantage point that does not answer and blocks the others.
TEST(VotesTest, OverdueVantagePointsAreReplaced) {
  world in(1);
  const auto view = in.View("vm1", {});
  vote_box votes;
  const duration limit = milliseconds(700);
  const auto first = votes.ChooseToAsk(TimeFromMs(0), limit, *view);
  ASSERT_EQ(first.size(), 2U);
  std::set<std::string> zones;
  for (const std::string& vm : first) {
    zones.insert(view->Find(vm)->availability_zone);
  }
  EXPECT_EQ(zones.size(), 2U);
  EXPECT_TRUE(votes.ChooseToAsk(TimeFromMs(1), limit, *view).empty());
  const auto second = votes.ChooseToAsk(TimeFromMs(700), limit, *view);
  ASSERT_EQ(second.size(), 2U);
  for (const std::string& vm : second) {
    EXPECT_EQ(std::count(first.begin(), first.end(), vm), 0) << vm;
  }
}

// Guards against a group that stays without a primary, and against a member
// that comes back and is never told whom to follow.
TEST(CoordinatorTest, FailsOverAndBringsTheOldPrimaryBack) {
  world in(3);
  RunFor(in, kStart);
  fake_member* const old = in.Primary();
  in.CutMember(old->name(), true);
  RunFor(in, kFailover);
  EXPECT_NE(in.Primary(), old);
  EXPECT_EQ(in.Primary()->Status().term, 2);
  in.CutMember(old->name(), false);
  RunFor(in, kFailover);
  EXPECT_EQ(old->Status().role, wire::member_role::kReplica);
  EXPECT_EQ(old->Status().term, 2);
  EXPECT_TRUE(in.past.violations().empty());
}

// Guards against a fleet of one VM that can't replace a primary.
TEST(CoordinatorTest, OneVmDecidesAlone) {
  world in(4);
  RunFor(in, kStart);
  for (size_t i = 1; i < in.vms().size(); ++i) {
    in.vms()[i]->Die();
    in.SetGone(in.vms()[i]->name(), true);
  }
  RunFor(in, kStart);
  fake_member* const old = in.Primary();
  old->Crash();
  RunFor(in, kFailover);
  EXPECT_NE(in.Primary(), old);
}

// Guards against a leaving member that keeps, or is given, the primary's role.
TEST(CoordinatorTest, LeavingMembersAreHandedOverAndAvoided) {
  world in(5);
  RunFor(in, kStart);
  config::pool_row pool = in.pool;
  const std::string old = in.Primary()->name();
  for (config::member_row& member : pool.members) {
    member.leaving = member.name == old;
  }
  in.SetPool(pool);
  RunFor(in, kFailover);
  EXPECT_NE(in.Primary()->name(), old);
  EXPECT_EQ(Count(in, notice_kind::kSuspected), 1U);  // Of the start.
  in.CoordinatorVm()->RequestSwitchover();
  RunFor(in, kFailover);
  EXPECT_NE(in.Primary()->name(), old);
  EXPECT_EQ(in.Primary()->Status().term, 3);
}

// Guards against an operator's request that does nothing without a word.
TEST(CoordinatorTest, SwitchoverReachesItsTargetOrIsRefused) {
  world in(6);
  RunFor(in, kStart);
  const std::string old = in.Primary()->name();
  std::string target;
  for (fake_member* member : in.Members()) {
    target = member->name() != old ? member->name() : target;
  }
  in.CoordinatorVm()->RequestSwitchover(target);
  RunFor(in, kFailover);
  EXPECT_EQ(in.Primary()->name(), target);
  in.CoordinatorVm()->RequestSwitchover(target);
  in.CoordinatorVm()->RequestSwitchover("nobody");
  RunFor(in, kFailover);
  EXPECT_EQ(Count(in, notice_kind::kRefused), 2U);
  EXPECT_EQ(in.Primary()->name(), target);
}

// Guards against a slow primary, which answers fresh connections, that is
// replaced, and against suspicions that nobody counts.
TEST(CoordinatorTest, SlowPrimaryStays) {
  world in(7);
  RunFor(in, kStart);
  in.net.SetExtraDelay(milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    for (auto& vm : in.vms()) {
      vm->SilenceConnections();
    }
    RunFor(in, milliseconds(500));
  }
  EXPECT_EQ(in.Primary()->Status().term, 1);
  EXPECT_EQ(Count(in, notice_kind::kSuspicionCleared) + 1,
            Count(in, notice_kind::kSuspected));
}

// Guards against coordinators that keep overtaking each other.
TEST(CoordinatorTest, ManyCoordinatorsAgreeInTheEnd) {
  world in(8);
  RunFor(in, kStart);
  for (auto& vm : in.vms()) {
    std::set<std::string> others;
    for (auto& other : in.vms()) {
      others.insert(other->name());
    }
    others.erase(vm->name());
    vm->SetView(in.View(vm->name(), others));
  }
  RunFor(in, kStart);
  in.Primary()->Crash();
  RunFor(in, seconds(8));
  const int64_t term = in.Primary()->Status().term;
  RunFor(in, seconds(10));
  EXPECT_EQ(in.Primary()->Status().term, term);
  EXPECT_TRUE(in.past.violations().empty());
}

class reach_test : public testing::Test {
 protected:
  reach_test() : responder_({.calls_at_once = 1, .waiting_per_call = 2}) {
    world in(1);
    responder_.Step(now_, configuration_changed{in.configuration});
  }
  std::vector<reach_action> Ask(const std::string& member, uint64_t sequence) {
    return responder_.Step(
        now_, reach_request_arrived{"vm9", {sequence, "g", member}});
  }

  time_point now_ = TimeFromMs(0);
  reach_responder responder_;
};

// Guards against votes without evidence, and connections without bound.
TEST_F(reach_test, RequestsShareOneCallAndTheRestIsDropped) {
  EXPECT_EQ(Ask("db1", 1).size(), 1U);
  EXPECT_TRUE(Ask("db1", 2).empty());
  EXPECT_TRUE(Ask("db1", 3).empty());
  EXPECT_TRUE(Ask("db2", 4).empty());
  EXPECT_TRUE(Ask("unknown", 5).empty());
  EXPECT_EQ(responder_.dropped(), 3U);
  now_ = *responder_.NextDeadline();
  const auto ended = responder_.Step(now_, tick{});
  ASSERT_EQ(ended.size(), 3U);
  uint64_t sequence = 0;
  for (const reach_action& wanted : ended) {
    if (const auto* sent = std::get_if<send_reach_answer>(&wanted)) {
      EXPECT_EQ(sent->answer.sequence, ++sequence);
      EXPECT_FALSE(sent->answer.report.reachable);
    }
  }
  EXPECT_EQ(sequence, 2U);
  EXPECT_FALSE(responder_.NextDeadline());
}

// Guards against a late answer of the database that is taken for a new one.
TEST_F(reach_test, AnswersAfterTheLimitAreIgnored) {
  const auto opened = Ask("db1", 1);
  const auto& open = std::get<database::open_connection>(
      std::get<database::command>(opened.front()));
  now_ = *responder_.NextDeadline();
  responder_.Step(now_, tick{});
  EXPECT_TRUE(responder_
                  .Step(now_, database::driver_event(
                                  database::connection_opened{open.connection}))
                  .empty());
}

}  // namespace
}  // namespace tarragondale::group
