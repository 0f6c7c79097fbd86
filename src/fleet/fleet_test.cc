// Tests of membership, placement and configuration freshness in simulated time.
#include "tarragondale/fleet.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <set>

namespace tarragondale::fleet {
namespace {

using wire::vm_state;

wire::vm_record Record(int number) {
  wire::vm_record record;
  record.name = fmt::format("vm-{:03}", number);
  record.peer_address = fmt::format("127.0.0.1:{}", 10000 + number);
  record.availability_zone = number % 3 == 0 ? "zone-a" : "zone-b";
  record.region = number % 3 == 2 ? "south" : "north";
  record.incarnation = 1;
  return record;
}

// Simulated VMs and a network that can lose messages and be partitioned.
class simulated_fleet {
 public:
  explicit simulated_fleet(int count, double loss = 0)
      : loss_(loss), random_(7) {
    std::vector<wire::vm_record> seeds;
    seeds.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      seeds.push_back(Record(i));
    }
    for (const wire::vm_record& seed : seeds) {
      Start(seed);
      Feed(seed.name, seeds_changed{seeds});
      Feed(seed.name, became_ready{});
    }
  }

  void Start(const wire::vm_record& record) {
    nodes_.erase(record.name);
    nodes_.emplace(record.name,
                   node{membership({}, record, random_()), nullptr});
  }

  void Feed(const std::string& name, const event& event) {
    node& target = nodes_.at(name);
    for (action& action : target.machine.Step(now_, event)) {
      if (auto* const view = std::get_if<view_changed>(&action)) {
        target.view = view->view;
      } else if (auto* const send = std::get_if<send_message>(&action)) {
        ++messages_;
        queue_.push_back({name, send->vm, std::move(send->body)});
      }
    }
  }

  void Run(duration span) {
    const time_point end = now_ + span;
    while (now_ < end) {
      now_ += milliseconds(20);
      Deliver();
      for (auto& [name, node] : nodes_) {
        if (!stopped_.contains(name) && node.machine.NextDeadline() <= now_) {
          Feed(name, tick{});
        }
      }
    }
  }

  void Stop(const std::string& name) { stopped_.insert(name); }
  void Resume(const std::string& name) { stopped_.erase(name); }

  // Returns true if messages from `from` to `to` are dropped; the opposite
  // direction is asked for separately.
  std::function<bool(const std::string& from, const std::string& to)> is_cut;

  bool Sees(const std::string& observer, const std::string& name) const {
    const fleet_view_ptr& view = nodes_.at(observer).view;
    return view && view->Find(name) != nullptr;
  }

  const membership& At(const std::string& name) const {
    return nodes_.at(name).machine;
  }

  uint64_t TotalOf(uint64_t membership_metrics::*counter) const {
    uint64_t total = 0;
    for (const auto& [name, node] : nodes_) {
      total += node.machine.metrics().*counter;
    }
    return total;
  }

  uint64_t messages() const { return messages_; }

 private:
  struct node {
    membership machine;
    fleet_view_ptr view;
  };
  struct queued_message {
    std::string from;
    std::string to;
    wire::message_body body;
  };

  void Deliver() {
    std::deque<queued_message> batch;
    batch.swap(queue_);
    std::uniform_real_distribution<> chance(0, 1);
    for (queued_message& queued : batch) {
      if (stopped_.contains(queued.to) || stopped_.contains(queued.from) ||
          !nodes_.contains(queued.to) || chance(random_) < loss_ ||
          (is_cut && is_cut(queued.from, queued.to))) {
        continue;
      }
      if (auto* const sent = std::get_if<wire::probe>(&queued.body)) {
        Feed(queued.to, probe_arrived{queued.from, *sent});
      } else if (auto* const got =
                     std::get_if<wire::probe_answer>(&queued.body)) {
        Feed(queued.to, probe_answer_arrived{queued.from, *got});
      }
    }
  }

  double loss_;
  std::mt19937_64 random_;
  time_point now_ = TimeFromMs(0);
  std::map<std::string, node> nodes_;
  std::set<std::string> stopped_;
  std::deque<queued_message> queue_;
  uint64_t messages_ = 0;
};

// Guards against VMs that don't discover each other from the VM list.
TEST(MembershipTest, NineVmsSeeEachOther) {
  simulated_fleet fleet(9);
  fleet.Run(seconds(10));
  for (int a = 0; a < 9; ++a) {
    for (int b = 0; b < 9; ++b) {
      EXPECT_TRUE(fleet.Sees(Record(a).name, Record(b).name)) << a << " " << b;
    }
  }
  EXPECT_EQ(fleet.TotalOf(&membership_metrics::suspicions), 0U);
}

// Guards against roles that remain on a VM that crashed.
TEST(MembershipTest, AllVmsDetectACrash) {
  simulated_fleet fleet(9);
  fleet.Run(seconds(10));
  fleet.Stop("vm-004");
  fleet.Run(seconds(9));
  for (int a = 0; a < 9; ++a) {
    if (a != 4) {
      EXPECT_FALSE(fleet.Sees(Record(a).name, "vm-004")) << a;
    }
  }
}

// Guards against a VM that others still consider dead after a long pause.
TEST(MembershipTest, PausedVmRejoinsWithAHigherIncarnation) {
  simulated_fleet fleet(5);
  fleet.Run(seconds(5));
  fleet.Stop("vm-002");
  fleet.Run(seconds(10));
  EXPECT_FALSE(fleet.Sees("vm-000", "vm-002"));
  fleet.Resume("vm-002");
  fleet.Run(seconds(40));
  EXPECT_TRUE(fleet.Sees("vm-000", "vm-002"));
  EXPECT_GT(fleet.At("vm-002").self().incarnation, 1U);
}

// Guards against a fleet that remains split after a partition has healed.
TEST(MembershipTest, PartitionHeals) {
  simulated_fleet fleet(6);
  fleet.Run(seconds(5));
  const auto left = [](const std::string& name) { return name < "vm-003"; };
  fleet.is_cut = [&](const std::string& a, const std::string& b) {
    return left(a) != left(b);
  };
  fleet.Run(seconds(15));
  EXPECT_FALSE(fleet.Sees("vm-000", "vm-005"));
  EXPECT_TRUE(fleet.Sees("vm-003", "vm-005"));
  fleet.is_cut = nullptr;
  fleet.Run(seconds(60));
  for (int a = 0; a < 6; ++a) {
    for (int b = 0; b < 6; ++b) {
      EXPECT_TRUE(fleet.Sees(Record(a).name, Record(b).name)) << a << " " << b;
    }
  }
}

// Guards against declaring a VM dead because a single other VM can't reach it.
TEST(MembershipTest, IndirectProbesCoverAPartitionOfTwoVms) {
  simulated_fleet fleet(6);
  fleet.Run(seconds(5));
  fleet.is_cut = [](const std::string& a, const std::string& b) {
    return (a == "vm-001" && b == "vm-002") || (a == "vm-002" && b == "vm-001");
  };
  fleet.Run(seconds(30));
  EXPECT_TRUE(fleet.Sees("vm-001", "vm-002"));
  EXPECT_EQ(fleet.TotalOf(&membership_metrics::deaths), 0U);
}

// Guards against declaring a VM dead because 5 % of the messages are lost.
TEST(MembershipTest, FivePercentLossDeclaresNobodyDead) {
  simulated_fleet fleet(9, 0.05);
  fleet.Run(seconds(120));
  EXPECT_EQ(fleet.TotalOf(&membership_metrics::deaths), 0U);
}

// Guards against a leaving VM that disappears from the view too early or
// remains in it after its exit.
TEST(MembershipTest, LeavingVmStaysInTheViewUntilItsExit) {
  simulated_fleet fleet(4);
  fleet.Run(seconds(5));
  fleet.Feed("vm-001", leave_started{});
  fleet.Run(seconds(3));
  EXPECT_TRUE(fleet.Sees("vm-000", "vm-001"));
  fleet.Stop("vm-001");
  fleet.Run(seconds(5));
  EXPECT_FALSE(fleet.Sees("vm-000", "vm-001"));
}

// Guards against rejecting a VM that restarted with the same name and address
// and a higher incarnation.
TEST(MembershipTest, RestartUnderTheSameNameIsAccepted) {
  simulated_fleet fleet(4);
  fleet.Run(seconds(5));
  wire::vm_record record = Record(1);
  record.incarnation = 100;
  fleet.Start(record);
  fleet.Feed("vm-001", seeds_changed{{Record(0), Record(2)}});
  fleet.Feed("vm-001", became_ready{});
  fleet.Run(seconds(10));
  EXPECT_TRUE(fleet.Sees("vm-003", "vm-001"));
  EXPECT_TRUE(fleet.Sees("vm-001", "vm-003"));
}

// Guards against messages per VM that increase with the size of the fleet.
TEST(MembershipTest, MessagesForEachVmDoNotGrowWithTheFleet) {
  const auto messages_per_vm = [](int count) {
    simulated_fleet fleet(count);
    fleet.Run(seconds(20));
    const uint64_t before = fleet.messages();
    fleet.Run(seconds(20));
    return static_cast<double>(fleet.messages() - before) / count;
  };
  EXPECT_NEAR(messages_per_vm(60), messages_per_vm(9),
              0.1 * messages_per_vm(9));
}

fleet_view View(int count) {
  fleet_view view;
  for (int i = 0; i < count; ++i) {
    view.vms.push_back(Record(i));
    view.vms.back().state = vm_state::kAlive;
  }
  view.self = view.vms.front().name;
  return view;
}

TEST(PlacementTest, ZoneTakesPrecedenceAndLeavingVmsGetNoRole) {
  fleet_view view = View(6);
  for (int i = 0; i < 50; ++i) {
    const std::string role = GatewayRole("orders", std::to_string(i));
    const auto vm = PlaceRole(view, role, {"zone-a", "north"});
    ASSERT_TRUE(vm);
    EXPECT_EQ(view.Find(*vm)->availability_zone, "zone-a");
  }
  for (wire::vm_record& vm : view.vms) {
    vm.state = vm_state::kLeaving;
  }
  EXPECT_FALSE(PlaceRole(view, "role", {}));
}

// Guards against moving roles of other VMs when one VM dies.
TEST(PlacementTest, OnlyRolesOfADeadVmMove) {
  const fleet_view before = View(9);
  fleet_view after = before;
  after.vms.erase(after.vms.begin() + 4);
  int moved = 0;
  for (int i = 0; i < 900; ++i) {
    const std::string role = CoordinatorRole(std::to_string(i));
    const auto old_place = PlaceRole(before, role, {});
    if (old_place != PlaceRole(after, role, {})) {
      EXPECT_EQ(old_place, before.vms[4].name);
      ++moved;
    }
  }
  EXPECT_GT(moved, 50);
  EXPECT_LT(moved, 200);
}

fleet_view_ptr SharedView() {
  return std::make_shared<const fleet_view>(View(6));
}

// Guards against a partitioned VM that keeps serving with an outdated
// configuration, for example one in which a revoked access key is still valid.
TEST(FreshnessTrackerTest, PartitionedVmStopsServingAfterTheLimit) {
  freshness_tracker tracker(seconds(5), "north");
  tracker.OnView(SharedView());
  EXPECT_FALSE(tracker.IsCurrent(TimeFromMs(0)));
  tracker.OnApplied(3);
  tracker.OnStoreAnswer(TimeFromMs(1000), 3);
  EXPECT_TRUE(tracker.IsCurrent(TimeFromMs(6000)));
  EXPECT_FALSE(tracker.IsCurrent(TimeFromMs(6001)));
}

// Guards against rejecting requests while the store is down for all VMs.
TEST(FreshnessTrackerTest, StoreOutageDoesNotStopServing) {
  freshness_tracker tracker(seconds(5), "north");
  tracker.OnView(SharedView());
  tracker.OnApplied(3);
  tracker.OnStoreAnswer(TimeFromMs(0), 3);
  // This VM is vm-000. VMs 000, 001, 003 and 004 are in the store's region.
  tracker.OnVmHeard(TimeFromMs(20000), {"vm-001", {3, 19000}});
  EXPECT_FALSE(tracker.IsCurrent(TimeFromMs(20000)));
  tracker.OnVmHeard(TimeFromMs(20000), {"vm-003", {3, 19000}});
  EXPECT_TRUE(tracker.IsCurrent(TimeFromMs(20000)));
}

// Another VM reports a newer version than the one this VM has applied. Guards
// against two errors: serving the applied version although it was last
// confirmed to be the newest longer ago than the limit, and rejecting requests
// in the short time between an edit and its arrival at this VM.
TEST(FreshnessTrackerTest, OldVersionIsServedUntilTheLimit) {
  freshness_tracker tracker(seconds(5), "north");
  tracker.OnView(SharedView());
  tracker.OnApplied(3);
  tracker.OnStoreAnswer(TimeFromMs(0), 3);
  for (const char* const vm : {"vm-001", "vm-003", "vm-004"}) {
    tracker.OnVmHeard(TimeFromMs(1000), {vm, {4, 0}});
  }
  EXPECT_TRUE(tracker.IsCurrent(TimeFromMs(4000)));
  EXPECT_FALSE(tracker.IsCurrent(TimeFromMs(5001)));
  tracker.OnApplied(4);
  EXPECT_TRUE(tracker.IsCurrent(TimeFromMs(5001)));
}

// Guards against a VM that gets no answers from the store and stops serving,
// although a VM that it reaches recently confirmed the newest version.
TEST(FreshnessTrackerTest, FreshnessPropagatesThroughOtherVms) {
  freshness_tracker near_store(seconds(5), "north");
  near_store.OnApplied(3);
  near_store.OnStoreAnswer(TimeFromMs(10000), 3);
  freshness_tracker far(seconds(5), "north");
  far.OnApplied(3);
  far.OnVmHeard(TimeFromMs(11000),
                {"vm-001", near_store.Freshness(TimeFromMs(11000))});
  EXPECT_TRUE(far.IsCurrent(TimeFromMs(15000)));
  EXPECT_EQ(far.Freshness(TimeFromMs(12000)).age_ms, 2000);
}

}  // namespace
}  // namespace tarragondale::fleet
