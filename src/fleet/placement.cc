// Placement of roles on VMs by rendezvous hashing.
#include <xxhash.h>

#include <algorithm>

#include "tarragondale/fleet.h"

namespace tarragondale::fleet {
namespace {

// Returns 2 for a VM in the preferred zone, 1 for one in the preferred region
// and 0 for any other.
int LocalityRank(const wire::vm_record& vm,
                 const placement_preference& wanted) {
  if (!wanted.availability_zone.empty() &&
      vm.availability_zone == wanted.availability_zone) {
    return 2;
  }
  return !wanted.region.empty() && vm.region == wanted.region ? 1 : 0;
}

}  // namespace

uint64_t RendezvousWeight(std::string_view role, std::string_view vm) {
  const uint64_t role_hash = XXH3_64bits(role.data(), role.size());
  return XXH3_64bits_withSeed(vm.data(), vm.size(), role_hash);
}

const wire::vm_record* fleet_view::Find(std::string_view name) const {
  const auto found =
      std::lower_bound(vms.begin(), vms.end(), name,
                       [](const wire::vm_record& vm, std::string_view wanted) {
                         return vm.name < wanted;
                       });
  return found != vms.end() && found->name == name ? &*found : nullptr;
}

std::optional<std::string> PlaceRole(const fleet_view& view,
                                     std::string_view role,
                                     const placement_preference& preference) {
  const wire::vm_record* best = nullptr;
  std::pair<int, uint64_t> best_rank;
  for (const wire::vm_record& vm : view.vms) {
    if (vm.state != wire::vm_state::kAlive &&
        vm.state != wire::vm_state::kSuspect) {
      continue;
    }
    const std::pair rank(LocalityRank(vm, preference),
                         RendezvousWeight(role, vm.name));
    if (best == nullptr || rank > best_rank) {
      best = &vm;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->name;
}

std::string GatewayRole(std::string_view group, std::string_view member) {
  return "gateway/" + std::string(group) + "/" + std::string(member);
}

std::string CoordinatorRole(std::string_view group) {
  return "coordinator/" + std::string(group);
}

}  // namespace tarragondale::fleet
