// Allowed regions of members and hosts.
#include "tarragondale/interactive/placement_rules.h"

#include <algorithm>

namespace tarragondale::interactive {

std::string_view RegionOfZone(const zone_regions& regions,
                              std::string_view zone) {
  const auto found = regions.find(zone);
  return found == regions.end() ? std::string_view()
                                : std::string_view(found->second);
}

void placement_rules::Add(const region_set& regions) {
  if (!regions.empty()) {
    sets_.at(count_++) = &regions;
  }
}

bool placement_rules::AllowsMemberIn(std::string_view region) const {
  if (!restricted()) {
    return true;
  }
  return !region.empty() &&
         std::all_of(
             sets_.begin(), sets_.begin() + static_cast<std::ptrdiff_t>(count_),
             [&](const region_set* each) { return each->contains(region); });
}

bool placement_rules::AllowsHostIn(std::string_view region,
                                   bool is_entry) const {
  return is_entry || AllowsMemberIn(region);
}

}  // namespace tarragondale::interactive
