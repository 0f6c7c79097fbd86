// Synthetic configurations and fleets of a given size.
#ifndef TARRAGONDALE_SRC_CAPACITY_POPULATION_H_
#define TARRAGONDALE_SRC_CAPACITY_POPULATION_H_

#include <string>

#include "tarragondale/config.h"
#include "tarragondale/fleet.h"

namespace tarragondale::capacity {

inline constexpr int kZones = 7;
inline constexpr int kRegions = 3;

/// @brief Sizes of a configuration. The defaults are the target: 16,000
/// databases in groups of three; organisations and keys are assumed.
struct configuration_size {
  int groups = 5'334;
  int organisations = 10'000;
  int keys_per_organisation = 2;
  int routes_per_organisation = 2;
};

inline constexpr int kTargetVms = 4'700;

/// @brief The target's configuration in proportion to the size of a fleet.
configuration_size SizeFor(int vms);

inline constexpr char kSecret[] = "cQ2nF0w1yYt7hV9sLk3mZp5xRb8dGj4uEa6oTi0NCqw";

/// @brief Configuration with a route, a pool and a group of three members for
/// each group. Names have lengths as in use: `orders-eu-00017`.
config::configuration MakeConfiguration(const configuration_size& size);

std::string VmName(int index);
std::string RouteName(int index);
std::string GroupName(int index);
std::string OrganisationName(int index);
std::string BearerOf(int organisation);

/// @brief Record of a VM in service, in one of seven zones.
wire::vm_record MakeVm(int index);

/// @brief VMs 0 to `vms` - 1; VM 0 is this VM.
fleet::fleet_view_ptr MakeView(int vms);

/// @brief Report of a member of a serving group; member 0 is the primary.
wire::member_report MakeReport(int member);

}  // namespace tarragondale::capacity

#endif  // TARRAGONDALE_SRC_CAPACITY_POPULATION_H_
