// Selection of the VMs that host the sessions of a group.
#include <algorithm>
#include <functional>
#include <utility>

#include "tarragondale/fleet.h"
#include "tarragondale/hosting.h"

namespace tarragondale::hosting {

void host_plan::SetFleet(const std::vector<relay::vm>& vms) {
  capable_.clear();
  vms_per_member_ = 0;
  if (vms.size() <= relay::relay_plan::kMaxMeshSize) {
    return;
  }
  const auto self =
      std::find_if(vms.begin(), vms.end(),
                   [&](const relay::vm& each) { return each.name == self_; });
  if (self == vms.end()) {
    return;
  }
  std::set<std::string_view> regions;
  std::vector<const relay::vm*> here;
  for (const relay::vm& each : vms) {
    regions.insert(each.region);
    if (each.region == self->region) {
      here.push_back(&each);
    }
  }
  vms_per_member_ = static_cast<int>(regions.size() * kHosts);
  const int64_t largest = relay::LargestCapacity(here);
  const auto is_capable = [&](const relay::vm* each) {
    return relay::IsCapable(*each, largest);
  };
  const auto capable = std::count_if(here.begin(), here.end(), is_capable);
  const bool enough = static_cast<size_t>(capable) >= kHosts + kFallbackHosts;
  for (const relay::vm* each : here) {
    if (!enough || is_capable(each)) {
      capable_.push_back(each->name);
    }
  }
}

// Ranks the candidates for the group by rendezvous hashing (Thaler and
// Ravishankar, 1998). A hash of the group and the organisation decides which of
// the first `kHosts` comes first; the fallback hosts keep their order.
std::vector<std::string> host_plan::HostsOf(
    std::string_view group,
    std::string_view organisation) const {
  std::vector<std::pair<uint64_t, std::string_view>> ranked;
  ranked.reserve(capable_.size());
  for (const std::string& name : capable_) {
    ranked.emplace_back(fleet::RendezvousWeight(group, name), name);
  }
  const size_t wanted = std::min(ranked.size(), kHosts + kFallbackHosts);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranked.end(), std::greater<>());
  std::vector<std::string> hosts;
  for (size_t i = 0; i < wanted; ++i) {
    hosts.emplace_back(ranked[i].second);
  }
  const size_t first = fleet::RendezvousWeight(group, organisation) % kHosts;
  if (first < hosts.size()) {
    std::rotate(
        hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(first),
        hosts.begin() +
            static_cast<std::ptrdiff_t>(std::min(hosts.size(), kHosts)));
  }
  return hosts;
}

}  // namespace tarragondale::hosting
