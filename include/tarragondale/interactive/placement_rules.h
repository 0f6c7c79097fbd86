// Decides which members may run a session's statements, and which VMs may host
// the session, from the allowed regions of its route and its organisation.
#ifndef TARRAGONDALE_INTERACTIVE_PLACEMENT_RULES_H_
#define TARRAGONDALE_INTERACTIVE_PLACEMENT_RULES_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Regions of the availability zones, by zone.
using zone_regions = std::map<std::string, std::string, std::less<>>;

/// @brief Region of a zone; empty: unknown.
std::string_view RegionOfZone(const zone_regions& regions,
                              std::string_view zone);

/// @brief The region sets that bind a session, all at once. Refers to the sets,
/// which must outlive it.
class placement_rules {
 public:
  /// Sets that can bind one session: of route and organisation, here and at the
  /// entry VM.
  static constexpr size_t kMaxSets = 4;

  /// @brief Adds a set; an empty one allows every region.
  void Add(const region_set& regions);

  bool restricted() const { return count_ > 0; }

  /// @brief Whether a member in the region may run the session's statements. An
  /// unknown region is allowed only if no set binds.
  bool AllowsMemberIn(std::string_view region) const;

  /// @brief Whether a VM in the region may host the session. The entry VM
  /// always may, since the caller itself is connected to it. The region of the
  /// entry VM gives other VMs there no right: its caller may be in a third one.
  bool AllowsHostIn(std::string_view region, bool is_entry) const;

 private:
  std::array<const region_set*, kMaxSets> sets_{};
  size_t count_ = 0;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_INTERACTIVE_PLACEMENT_RULES_H_
