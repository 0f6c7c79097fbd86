// The faults that cells inject.
#include "src/fault_matrix/faults.h"

#include <array>

namespace tarragondale::fault_matrix {
namespace {

using undo = std::function<void()>;

// Fleet time from the loss of a VM until others place its roles elsewhere.
constexpr duration kDetection = milliseconds(2000);

fake_member* Replica(world& in) {
  fake_member* found = nullptr;
  for (fake_member* member : in.Members()) {
    if (member != in.Primary() && member->alive()) {
      found = member;
      if (in.sim.Random(2) == 0) {
        break;
      }
    }
  }
  return found == nullptr ? in.Primary() : found;
}

undo CrashPrimary(world& in) {
  in.Primary()->Crash();
  return {};
}

undo CutPrimary(world& in) {
  const std::string name = in.Primary()->name();
  in.CutMember(name, true);
  return [&in, name] { in.CutMember(name, false); };
}

undo CutPrimaryFromReplicas(world& in) {
  const std::string name = in.Primary()->name();
  in.CutFromMembers(name, true);
  return [&in, name] { in.CutFromMembers(name, false); };
}

undo CutReplica(world& in) {
  const std::string name = Replica(in)->name();
  in.CutMember(name, true);
  return [&in, name] { in.CutMember(name, false); };
}

void Forget(world& in, vm_host* vm) {
  in.sim.After(kDetection, [&in, vm] {
    if (!vm->alive() || vm->paused()) {
      in.SetGone(vm->name(), true);
    }
  });
}

undo PauseCoordinator(world& in) {
  vm_host* const vm = in.CoordinatorVm();
  vm->Pause(true);
  Forget(in, vm);
  return [&in, vm] {
    vm->Pause(false);
    if (vm->alive()) {
      in.SetGone(vm->name(), false);
    }
  };
}

undo KillCoordinator(world& in) {
  vm_host* const vm = in.CoordinatorVm();
  vm->Die();
  Forget(in, vm);
  return {};
}

undo CutCoordinatorFromMembers(world& in) {
  const std::string name = in.CoordinatorVm()->name();
  in.CutFromMembers(name, true);
  return [&in, name] { in.CutFromMembers(name, false); };
}

undo CutCoordinatorFromPrimary(world& in) {
  const std::string name = in.CoordinatorVm()->name();
  const std::string member = in.Primary()->name();
  in.net.Cut(name, member, true);
  return [&in, name, member] { in.net.Cut(name, member, false); };
}

undo CutVantagePoints(world& in) {
  const std::string name = in.CoordinatorVm()->name();
  in.CutFromVms(name, true);
  return [&in, name] { in.CutFromVms(name, false); };
}

undo DelayMessages(world& in) {
  in.net.SetExtraDelay(milliseconds(100));
  return [&in] { in.net.SetExtraDelay(duration(0)); };
}

undo LoseAnswers(world& in) {
  constexpr int kAnswers = 3;
  in.CoordinatorVm()->LoseAnswers(kAnswers);
  return [] {};
}

undo SilenceConnections(world& in) {
  for (auto& vm : in.vms()) {
    vm->SilenceConnections();
  }
  return [] {};
}

undo JumpClock(world& in) {
  in.CoordinatorVm()->JumpClock(seconds(5));
  return [] {};
}

// Another VM believes that it is alone and takes the role as well.
undo AddCoordinator(world& in) {
  const vm_host* const first = in.CoordinatorVm();
  vm_host* second = nullptr;
  std::set<std::string> gone = in.gone();
  for (auto& vm : in.vms()) {
    if (second == nullptr && vm.get() != first && vm->alive()) {
      second = vm.get();
    }
  }
  if (second == nullptr) {
    return [] {};
  }
  for (int i = 0; i < static_cast<int>(in.vms().size()); ++i) {
    const auto view = in.View(second->name(), gone);
    const auto owner =
        fleet::PlaceRole(*view, fleet::CoordinatorRole(kGroup), {});
    if (owner && *owner != second->name()) {
      gone.insert(*owner);
    }
  }
  second->SetView(in.View(second->name(), gone));
  return [&in, second] { second->SetView(in.View(second->name(), in.gone())); };
}

undo Switchover(world& in) {
  in.CoordinatorVm()->RequestSwitchover();
  return {};
}

undo Nothing(world& /*in*/) {
  return {};
}

}  // namespace

std::span<const fault> Faults() {
  static constexpr std::array<fault, 13> kFaults = {{
      {"primary cut from all", CutPrimary, seconds(3), false},
      {"primary cut from replicas", CutPrimaryFromReplicas, seconds(6), false},
      {"replica cut", CutReplica, seconds(3), true},
      {"coordinator paused", PauseCoordinator, seconds(3), true},
      {"coordinator dies", KillCoordinator, seconds(0), true},
      {"coordinator cut from members", CutCoordinatorFromMembers,
       milliseconds(2500), true},
      {"coordinator cut from primary", CutCoordinatorFromPrimary,
       milliseconds(2500), true},
      {"messages delayed", DelayMessages, milliseconds(1500), true},
      {"command answers lost", LoseAnswers, milliseconds(500), true},
      {"open connections silent", SilenceConnections, milliseconds(500), true},
      {"clock jump", JumpClock, milliseconds(500), true},
      {"two coordinators", AddCoordinator, seconds(4), true},
      {"vantage points cut", CutVantagePoints, milliseconds(2500), true},
  }};
  return kFaults;
}

std::span<const fault> Triggers() {
  static constexpr std::array<fault, 4> kTriggers = {{
      {"no event", Nothing, seconds(0), true},
      {"primary crashes", CrashPrimary, seconds(0), false},
      {"primary cut from all", CutPrimary, seconds(5), false},
      {"planned switchover", Switchover, seconds(0), false},
  }};
  return kTriggers;
}

}  // namespace tarragondale::fault_matrix
