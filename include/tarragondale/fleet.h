// Public header of the fleet library: membership by probes and gossip, and
// placement of roles by rendezvous hashing.
#ifndef TARRAGONDALE_FLEET_H_
#define TARRAGONDALE_FLEET_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/wire.h"

namespace tarragondale::fleet {

/// @brief The VMs that this VM believes to be in service, itself included,
/// ordered by name. Shared between threads and never changed.
struct fleet_view {
  std::string self;
  std::vector<wire::vm_record> vms;  ///< Joining, dead and left VMs excluded.

  /// @brief Record of a VM in service; null if there is none of this name.
  const wire::vm_record* Find(std::string_view name) const;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// @brief Where a role should be, for example near a database member.
struct placement_preference {
  std::string availability_zone;  ///< Empty: no preference.
  std::string region;             ///< Empty: no preference.
};

/// @brief VM that carries the role `role`, by rendezvous hashing (Thaler and
/// Ravishankar, 1998) over live VMs that are not leaving. VMs in the preferred
/// zone go before VMs in the preferred region, and these before all others.
/// Empty optional if no VM is in service.
std::optional<std::string> PlaceRole(const fleet_view& view,
                                     std::string_view role,
                                     const placement_preference& preference);

/// @brief Role of the gateway of a member, for `PlaceRole`.
std::string GatewayRole(std::string_view group, std::string_view member);

/// @brief Role of the coordinator of a group, for `PlaceRole`.
std::string CoordinatorRole(std::string_view group);

}  // namespace tarragondale::fleet

#endif  // TARRAGONDALE_FLEET_H_
