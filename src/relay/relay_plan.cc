// Which VMs relay, and which relay a VM follows.
#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

// Uniform in (0, 1], the same on every VM.
double HashPart(std::string_view role, std::string_view vm) {
  const uint64_t role_hash = XXH3_64bits(role.data(), role.size());
  const uint64_t hash = XXH3_64bits_withSeed(vm.data(), vm.size(), role_hash);
  return (static_cast<double>(hash >> 11U) + 1) / 9007199254740992.0;
}

// VMs below this part of the largest VM's capacity relay only where the larger
// ones are too few: followers come on top of a VM's own callers.
constexpr double kLeastCapacity = 0.5;

size_t RelaysFor(size_t zone_size) {
  return std::max(
      relay_plan::kLeastRelays,
      (zone_size + relay_plan::kFollowers - 1) / relay_plan::kFollowers);
}

}  // namespace

void relay_plan::SetFleet(const std::vector<vm>& vms) {
  std::map<std::string, std::vector<const vm*>> zones;
  const vm* self = nullptr;
  for (const vm& each : vms) {
    zones[each.availability_zone].push_back(&each);
    if (each.name == self_) {
      self = &each;
    }
  }
  const bool mesh = vms.size() <= kMeshSize;
  relays_.clear();
  std::vector<const vm*> relays;
  for (auto& [zone, members] : zones) {
    // Rendezvous hashing (Thaler and Ravishankar, 1998) among the capable.
    int64_t largest = 0;
    for (const vm* each : members) {
      largest = std::max(largest, each->capacity);
    }
    const auto rank = [&, role = "relay/" + zone](const vm* of) {
      const bool capable = static_cast<double>(of->capacity) >=
                           static_cast<double>(largest) * kLeastCapacity;
      return std::tuple(!capable, -HashPart(role, of->name), of->name);
    };
    std::sort(members.begin(), members.end(),
              [&](const vm* a, const vm* b) { return rank(a) < rank(b); });
    const size_t count =
        mesh ? members.size()
             : std::min(members.size(), RelaysFor(members.size()));
    for (size_t i = 0; i < count; ++i) {
      relays_[members[i]->name] = i;
      relays.push_back(members[i]);
    }
  }
  known_ = self != nullptr;
  const auto farness = [&](const vm& of) {
    if (self == nullptr) {
      return 0;
    }
    if (of.availability_zone == self->availability_zone) {
      return 0;
    }
    return of.region == self->region ? 1 : 2;
  };
  // The hash with the own name spreads the followers of a zone over its relays.
  std::sort(relays.begin(), relays.end(), [&](const vm* a, const vm* b) {
    return std::tuple(farness(*a), -HashPart(self_, a->name), a->name) <
           std::tuple(farness(*b), -HashPart(self_, b->name), b->name);
  });
  rank_ = static_cast<int>(
      std::count_if(relays.begin(), relays.end(), [&](const vm* each) {
        return std::tuple(HashPart("rank", each->name), each->name) <
               std::tuple(HashPart("rank", self_), self_);
      }));
  preferred_.clear();
  for (const vm* each : relays) {
    if (each->name != self_) {
      preferred_.push_back(each->name);
    }
  }
}

bool relay_plan::IsRelay(std::string_view name) const {
  if (name == self_ && !known_) {
    return true;
  }
  return relays_.contains(name);
}

std::optional<std::string> relay_choice::Choose(
    time_point now,
    const std::vector<std::string>& preferred,
    const std::map<std::string, relay_sight, std::less<>>& seen) const {
  std::optional<std::string> without_store;
  for (const std::string& name : preferred) {
    const auto found = seen.find(name);
    if (found == seen.end() || !found->second.watching ||
        now - found->second.heard > kSilence) {
      continue;
    }
    if (found->second.reaches_store) {
      return name;
    }
    if (!without_store) {
      without_store = name;
    }
  }
  return without_store;
}

}  // namespace tarragondale::relay
