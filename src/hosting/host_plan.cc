// Which VMs host the sessions of a group.
#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {
namespace {

// VMs below this part of the largest VM's capacity host only where there are
// too few larger ones.
constexpr double kLeastCapacity = 0.5;

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

void host_plan::SetFleet(const std::vector<relay::vm>& vms) {
  capable_.clear();
  member_users_ = 0;
  if (vms.size() <= relay::relay_plan::kMeshSize) {
    return;
  }
  const auto self =
      std::find_if(vms.begin(), vms.end(),
                   [&](const relay::vm& each) { return each.name == self_; });
  if (self == vms.end()) {
    return;
  }
  std::set<std::string_view> regions;
  std::vector<relay::vm> here;
  int64_t largest = 0;
  for (const relay::vm& each : vms) {
    regions.insert(each.region);
    if (each.region == self->region) {
      here.push_back(each);
      largest = std::max(largest, each.capacity);
    }
  }
  member_users_ = static_cast<int>(regions.size() * kHosts);
  std::copy_if(here.begin(), here.end(), std::back_inserter(capable_),
               [&](const relay::vm& each) {
                 return static_cast<double>(each.capacity) >=
                        static_cast<double>(largest) * kLeastCapacity;
               });
  if (capable_.size() < kHosts + kSubstitutes) {
    capable_ = std::move(here);
  }
}

// Rendezvous hashing (Thaler and Ravishankar, 1998).
std::vector<std::string> host_plan::HostsOf(
    std::string_view group,
    std::string_view organisation) const {
  const uint64_t role = Hash(group, 0);
  std::vector<std::pair<uint64_t, std::string_view>> ranked;
  for (const relay::vm& each : capable_) {
    ranked.emplace_back(Hash(each.name, role), each.name);
  }
  const size_t wanted = std::min(ranked.size(), kHosts + kSubstitutes);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranked.end(), std::greater<>());
  std::vector<std::string> hosts;
  for (size_t i = 0; i < wanted; ++i) {
    hosts.emplace_back(ranked[i].second);
  }
  const size_t first = Hash(organisation, role) % kHosts;
  if (first < hosts.size()) {
    std::rotate(
        hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(first),
        hosts.begin() +
            static_cast<std::ptrdiff_t>(std::min(hosts.size(), kHosts)));
  }
  return hosts;
}

}  // namespace tarragondale::hosting
