// One group and its VMs.
#include "src/fault_matrix/world.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace tarragondale::fault_matrix {
namespace {

constexpr std::array<const char*, 3> kZones = {"taoyuan", "hsinchu",
                                               "kaohsiung"};
constexpr std::array<const char*, 3> kRegions = {"north", "north", "south"};
constexpr size_t kVmsPerZone = 2;

}  // namespace

std::string StepName(step at) {
  constexpr std::array<const char*, kSteps> kNames = {
      "trigger",      "suspected",    "started",       "fence_sent",
      "fence_taken",  "promote_sent", "promote_taken", "promoted",
      "follow_taken", "completed"};
  return kNames[static_cast<size_t>(at)];
}

world::world(uint64_t seed) : sim(seed), net(sim) {
  pool.name = pool.group = kGroup;
  for (size_t i = 0; i < kZones.size(); ++i) {
    const std::string name = "db" + std::to_string(i + 1);
    net.Place(name, {kZones[i], kRegions[i]});
    pool.members.push_back({name, name + ":5432", kZones[i], kRegions[i]});
    members_[name] = std::make_unique<fake_member>(sim, net, past, name);
    by_address_[name + ":5432"] = members_[name].get();
  }
  auto changed = std::make_shared<config::configuration>();
  changed->pools[kGroup] = pool;
  configuration = changed;
  for (size_t i = 0; i < kZones.size() * kVmsPerZone; ++i) {
    const std::string name = "vm" + std::to_string(i + 1);
    const size_t zone = i / kVmsPerZone;
    net.Place(name, {kZones[zone], kRegions[zone]});
    vms_.push_back(std::make_unique<vm_host>(*this, name, seed + i));
  }
  for (auto& [name, member] : members_) {
    member->Start(&by_address_);
  }
  SetViews();
  for (auto& vm : vms_) {
    vm->Start();
  }
}

vm_host* world::FindVm(const std::string& name) {
  const auto found =
      std::find_if(vms_.begin(), vms_.end(),
                   [&](const auto& vm) { return vm->name() == name; });
  return found == vms_.end() ? nullptr : found->get();
}

fake_member* world::FindMember(const std::string& address) {
  return by_address_.at(address);
}

std::vector<fake_member*> world::Members() {
  std::vector<fake_member*> found;
  for (auto& [name, member] : members_) {
    found.push_back(member.get());
  }
  return found;
}

fake_member* world::Primary() {
  fake_member* best = members_.begin()->second.get();
  for (fake_member* member : Members()) {
    const auto rank = [](const fake_member* at) {
      return std::pair(at->Status().role == wire::member_role::kPrimary,
                       at->Status().term);
    };
    if (rank(member) > rank(best)) {
      best = member;
    }
  }
  return best;
}

vm_host* world::CoordinatorVm() {
  for (auto& vm : vms_) {
    if (vm->alive() && vm->coordinator().Status().has_role) {
      return vm.get();
    }
  }
  return vms_.front().get();
}

void world::Notice(const group::notice& what) {
  using kind = group::notice_kind;
  notices.push_back(what);
  started += what.kind == kind::kStarted ? 1 : 0;
  cleared += what.kind == kind::kSuspicionCleared ? 1 : 0;
  static const bool trace = std::getenv("FAULT_MATRIX_TRACE") != nullptr;
  if (trace) {
    WriteLog(log_level::kInfo, log_part::kControl,
             fmt::format("{} ms {} member {} term {}: {}",
                         ToMs(sim.now().time_since_epoch()),
                         group::NoticeKindName(what.kind), what.member,
                         what.term, what.reason));
  }
  switch (what.kind) {
    case kind::kSuspected:
      return Reached(step::kSuspected);
    case kind::kStarted:
      return Reached(step::kStarted);
    case kind::kPromoted:
      return Reached(step::kPromoted);
    case kind::kCompleted:
      return Reached(step::kCompleted);
    default:
      return;
  }
}

void world::Sent(const wire::statement& statement) {
  if (statement.sql.find("fence") != std::string::npos) {
    Reached(step::kFenceSent);
  } else if (statement.sql.find("promote") != std::string::npos) {
    Reached(step::kPromoteSent);
  }
}

void world::Took(const wire::statement& statement) {
  if (statement.sql.find("fence") != std::string::npos) {
    Reached(step::kFenceTaken);
  } else if (statement.sql.find("promote") != std::string::npos) {
    Reached(step::kPromoteTaken);
  } else if (statement.sql.find("follow") != std::string::npos) {
    Reached(step::kFollowTaken);
  }
}

void world::CutMember(const std::string& member, bool cut) {
  CutFromMembers(member, cut);
  CutFromVms(member, cut);
}

void world::CutFromMembers(const std::string& node, bool cut) {
  for (const auto& [name, member] : members_) {
    if (name != node) {
      net.Cut(node, name, cut);
    }
  }
}

void world::CutFromVms(const std::string& node, bool cut) {
  for (const auto& vm : vms_) {
    if (vm->name() != node) {
      net.Cut(node, vm->name(), cut);
    }
  }
}

fleet::fleet_view_ptr world::View(const std::string& self,
                                  const std::set<std::string>& gone) const {
  auto view = std::make_shared<fleet::fleet_view>();
  view->self = self;
  for (const auto& vm : vms_) {
    if (gone.contains(vm->name()) && vm->name() != self) {
      continue;
    }
    wire::vm_record record;
    record.name = vm->name();
    record.availability_zone = net.Where(vm->name()).zone;
    record.region = net.Where(vm->name()).region;
    record.incarnation = 1;
    record.state = wire::vm_state::kAlive;
    view->vms.push_back(record);
  }
  return view;
}

void world::SetPool(const config::pool_row& changed) {
  pool = changed;
  for (const auto& vm : vms_) {
    vm->SetPool(changed);
  }
}

void world::SetGone(const std::string& vm, bool gone) {
  if (gone) {
    gone_.insert(vm);
  } else {
    gone_.erase(vm);
  }
  SetViews();
}

void world::SetViews() {
  for (const auto& vm : vms_) {
    vm->SetView(View(vm->name(), gone_));
  }
}

bool world::Usable(const fake_member& member) const {
  // A vantage point or coordinator alone may lack a path.
  const auto cut = std::count_if(vms_.begin(), vms_.end(), [&](const auto& vm) {
    return net.IsCut(member.name(), vm->name());
  });
  return member.alive() && cut <= 1;
}

bool world::MajorityReachable() {
  // Two of three members that also reach each other.
  const auto all = Members();
  for (size_t i = 0; i < all.size(); ++i) {
    for (size_t j = i + 1; j < all.size(); ++j) {
      if (Usable(*all[i]) && Usable(*all[j]) &&
          !net.IsCut(all[i]->name(), all[j]->name())) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace tarragondale::fault_matrix
