// Cost of one change of the fleet or the configuration for placement, the
// gateway and the entry.
#include <fmt/format.h>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "tarragondale/entry.h"
#include "tarragondale/pool.h"

namespace tarragondale::capacity {
namespace {

constexpr int kSizes[] = {9, 200, 1'000, 4'700};
constexpr int kChanges = 3;

// Mean time of one event; the machine has seen one like it before.
template <typename Machine, typename Event>
double StepTime(Machine& machine, time_point& now, const Event& event) {
  double time = 0;
  for (int i = 0; i < kChanges; ++i) {
    now += seconds(1);
    const cpu_timer timer;
    machine.Step(now, event);
    time += timer.Microseconds();
  }
  return time / kChanges;
}

entry::entry_options EntryOptions() {
  entry::entry_options options;
  options.token_key = std::string(32, 'k');
  options.availability_zone = "zone-0";
  options.region = "region-0";
  return options;
}

void MeasureSize(int vms,
                 const config::configuration_ptr& configuration,
                 figure_list& figures) {
  const std::string suffix = fmt::format("@{}", vms);
  const std::string conditions = fmt::format(
      "{} VMs, {} pools, {} keys, mean of {}", vms, configuration->pools.size(),
      configuration->keys.size(), kChanges);
  const fleet::fleet_view_ptr view = MakeView(vms);
  time_point now = TimeFromMs(0);
  {
    constexpr int kPlacements = 200;
    const cpu_timer timer;
    size_t sum = 0;
    for (int i = 0; i < kPlacements; ++i) {
      sum += fleet::PlaceRole(*view, fleet::GatewayRole(GroupName(i), "m1"),
                              {"zone-1", "region-1"})
                 ->size();
    }
    figures.Add("placement.one_role" + suffix,
                timer.Microseconds() / kPlacements, "us",
                fmt::format("{} VMs, checksum {}", vms, sum));
  }
  {
    pool::gateway gateway;
    gateway.Step(now, pool::fleet_changed{view});
    gateway.Step(now, pool::configuration_changed{configuration});
    figures.Add("placement.gateway_fleet_change" + suffix,
                StepTime(gateway, now, pool::fleet_changed{view}), "us",
                conditions);
    figures.Add(
        "placement.gateway_configuration_change" + suffix,
        StepTime(gateway, now, pool::configuration_changed{configuration}),
        "us", conditions);
  }
  entry::request_router router(EntryOptions());
  router.Step(now, entry::fleet_changed{view});
  router.Step(now, entry::configuration_changed{configuration});
  figures.Add("placement.entry_fleet_change" + suffix,
              StepTime(router, now, entry::fleet_changed{view}), "us",
              conditions);
  figures.Add(
      "placement.entry_configuration_change" + suffix,
      StepTime(router, now, entry::configuration_changed{configuration}), "us",
      conditions);
}

}  // namespace

void MeasurePlacement(figure_list& figures) {
  for (const int vms : kSizes) {
    const auto configuration = std::make_shared<const config::configuration>(
        MakeConfiguration(SizeFor(vms)));
    MeasureSize(vms, configuration, figures);
  }
}

}  // namespace tarragondale::capacity
