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
  region_.clear();
  regions_.clear();
  for (const relay::vm& each : vms) {
    regions_[each.name] = each.region;
  }
  if (vms.size() <= relay::relay_plan::kMaxMeshSize) {
    return;
  }
  const auto self =
      std::find_if(vms.begin(), vms.end(),
                   [&](const relay::vm& each) { return each.name == self_; });
  if (self == vms.end()) {
    return;
  }
  region_ = self->region;
  std::map<std::string_view, std::vector<const relay::vm*>> by_region;
  for (const relay::vm& each : vms) {
    by_region[each.region].push_back(&each);
  }
  vms_per_member_ = static_cast<int>(by_region.size() * kHosts);
  for (const auto& [region, all] : by_region) {
    const int64_t largest = relay::LargestCapacity(all);
    const auto is_capable = [&](const relay::vm* each) {
      return relay::IsCapable(*each, largest);
    };
    const auto capable = std::count_if(all.begin(), all.end(), is_capable);
    const bool enough = static_cast<size_t>(capable) >= kHosts + kFallbackHosts;
    std::vector<std::string>& names = capable_[std::string(region)];
    for (const relay::vm* each : all) {
      if (!enough || is_capable(each)) {
        names.push_back(each->name);
      }
    }
  }
}

interactive::cold_senders host_plan::ColdSenders() const {
  interactive::cold_senders senders{
      self_, {}, capable_, kHosts + kFallbackHosts};
  for (const auto& [name, region] : regions_) {
    senders.vms.insert(name);
  }
  return senders;
}

std::string_view host_plan::RegionOf(std::string_view vm) const {
  const auto found = regions_.find(vm);
  return found == regions_.end() ? std::string_view()
                                 : std::string_view(found->second);
}

std::vector<std::string> host_plan::HostsOf(
    std::string_view group,
    std::string_view organisation) const {
  return HostsIn(region_, group, organisation);
}

std::vector<std::string> host_plan::HostsOf(
    std::string_view group,
    std::string_view organisation,
    const interactive::placement_rules& rules) const {
  return rules.AllowsMemberIn(region_)
             ? HostsIn(region_, group, organisation)
             : HostsElsewhere(group, organisation, rules);
}

std::vector<std::string> host_plan::HostsElsewhere(
    std::string_view group,
    std::string_view organisation,
    const interactive::placement_rules& rules) const {
  std::vector<std::pair<uint64_t, std::string_view>> ranked;
  for (const auto& [region, names] : capable_) {
    if (region != region_ && rules.AllowsMemberIn(region)) {
      ranked.emplace_back(fleet::RendezvousWeight(group, region), region);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> hosts;
  for (const auto& [weight, region] : ranked) {
    for (std::string& host : HostsIn(region, group, organisation)) {
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

// Ranks the candidates for the group by rendezvous hashing (Thaler and
// Ravishankar, 1998). A hash of the group and the organisation decides which of
// the first `kHosts` comes first; the fallback hosts keep their order.
std::vector<std::string> host_plan::HostsIn(
    std::string_view region,
    std::string_view group,
    std::string_view organisation) const {
  const auto candidates = capable_.find(region);
  if (candidates == capable_.end()) {
    return {};
  }
  std::vector<std::pair<uint64_t, std::string_view>> ranked;
  ranked.reserve(candidates->second.size());
  for (const std::string& name : candidates->second) {
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
