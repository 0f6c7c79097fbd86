// Selection of the relays, and of the relay that a VM follows.
#include <algorithm>
#include <tuple>

#include "tarragondale/fleet.h"
#include "tarragondale/relay.h"

namespace tarragondale::relay {

using fleet::RendezvousWeight;

namespace {

size_t RelaysFor(size_t zone_size) {
  return std::max(
      relay_plan::kMinRelays,
      (zone_size + relay_plan::kFollowers - 1) / relay_plan::kFollowers);
}

}  // namespace

int64_t LargestCapacity(const std::vector<const vm*>& vms) {
  int64_t largest = 0;
  for (const vm* each : vms) {
    largest = std::max(largest, each->capacity);
  }
  return largest;
}

bool IsCapable(const vm& of, int64_t largest) {
  // At least half of the largest VM's capacity.
  return of.capacity * 2 >= largest;
}

void relay_plan::SetFleet(const std::vector<vm>& vms) {
  std::map<std::string, std::vector<const vm*>> zones;
  const vm* self = nullptr;
  for (const vm& each : vms) {
    zones[each.availability_zone].push_back(&each);
    if (each.name == self_) {
      self = &each;
    }
  }
  const bool mesh = vms.size() <= kMaxMeshSize;
  relays_.clear();
  std::vector<const vm*> relays;
  for (auto& [zone, members] : zones) {
    // Rendezvous hashing (Thaler and Ravishankar, 1998); VMs with enough
    // capacity rank first.
    const auto rank = [role = "relay/" + zone,
                       largest = LargestCapacity(members)](const vm* of) {
      return std::tuple(IsCapable(*of, largest),
                        RendezvousWeight(role, of->name), of->name);
    };
    std::sort(members.begin(), members.end(),
              [&](const vm* a, const vm* b) { return rank(a) > rank(b); });
    const size_t count =
        mesh ? members.size()
             : std::min(members.size(), RelaysFor(members.size()));
    for (size_t i = 0; i < count; ++i) {
      relays_.emplace(members[i]->name, *members[i]);
      relays.push_back(members[i]);
    }
  }
  registered_ = self != nullptr;
  const auto distance = [&](const vm& of) {
    if (self == nullptr) {
      return 0;
    }
    if (of.availability_zone == self->availability_zone) {
      return 0;
    }
    return of.region == self->region ? 1 : 2;
  };
  // Hashing with this VM's own name spreads the followers of a zone over its
  // relays.
  std::sort(relays.begin(), relays.end(), [&](const vm* a, const vm* b) {
    return std::tuple(distance(*a), RendezvousWeight(self_, b->name), a->name) <
           std::tuple(distance(*b), RendezvousWeight(self_, a->name), b->name);
  });
  rank_ = static_cast<int>(
      std::count_if(relays.begin(), relays.end(), [&](const vm* each) {
        return std::tuple(RendezvousWeight("rank", each->name), each->name) <
               std::tuple(RendezvousWeight("rank", self_), self_);
      }));
  preferred_.clear();
  for (const vm* each : relays) {
    if (each->name != self_) {
      preferred_.push_back(each->name);
    }
  }
}

bool relay_plan::IsRelay(std::string_view name) const {
  if (name == self_ && !registered_) {
    return true;
  }
  return relays_.contains(name);
}

std::vector<vm> relay_plan::Relays() const {
  std::vector<vm> relays;
  relays.reserve(relays_.size());
  for (const auto& [name, relay] : relays_) {
    relays.push_back(relay);
  }
  return relays;
}

std::optional<std::string> relay_selector::Choose(
    time_point now,
    const std::vector<std::string>& preferred,
    const std::map<std::string, relay_status, std::less<>>& statuses) const {
  std::optional<std::string> without_store;
  for (const std::string& name : preferred) {
    const auto found = statuses.find(name);
    if (found == statuses.end() || !found->second.watching ||
        now - found->second.last_heard > kRelayTimeout) {
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
