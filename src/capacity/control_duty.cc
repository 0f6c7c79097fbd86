// Cost of the whole control thread: membership, currency, coordinators, status
// page, with the target's configuration.
#include "src/runtime/control_duty.h"

#include <fmt/format.h>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "src/capacity/scripted_fleet.h"

namespace tarragondale::capacity {
namespace {

constexpr int kSizes[] = {9, 200, 1'000, 4'700};
constexpr duration kMeasured = seconds(10);

void MeasureSize(int vms,
                 uint64_t seed,
                 const config::configuration_ptr& configuration,
                 figure_list& figures) {
  scripted_fleet peers(vms, {}, seed);
  time_point now = TimeFromMs(0);
  int views = 0;
  runtime::control_outputs outputs;
  outputs.send = [&](std::string_view vm, std::string_view /*address*/,
                     const wire::message_body& body) {
    peers.Take(now, std::string(vm), body);
    return true;
  };
  outputs.publish_view = [&](const fleet::fleet_view_ptr& /*view*/) {
    ++views;
  };
  outputs.publish_currency = [](bool /*current*/) {};
  outputs.command_database = [](const database::command& /*command*/) {
    return true;
  };
  runtime::control_duty control(
      {.self = MakeVm(0), .store_region = "region-0", .seed = seed},
      std::move(outputs));
  const auto gossip = [](std::vector<wire::vm_record> records) {
    return wire::message{
        VmName(1),
        wire::probe{1, VmName(0), VmName(1), {1, 10}, std::move(records)}};
  };
  control.Handle(now, gossip(peers.Records()));
  control.Handle(now, configuration);
  const std::string suffix = fmt::format("@{}", vms);
  const std::string conditions =
      fmt::format("control thread, {} VMs, {} pools, seed {}", vms,
                  configuration->pools.size(), seed);
  {
    const cpu_timer timer;
    control.Handle(now, configuration);
    figures.Add("control.configuration_change" + suffix, timer.Microseconds(),
                "us", conditions);
  }
  {
    // One VM was replaced: one more record, one view.
    const int before = views;
    const cpu_timer timer;
    control.Handle(now, gossip({MakeVm(vms)}));
    figures.Add("control.fleet_change" + suffix, timer.Microseconds(), "us",
                fmt::format("{}, {} views", conditions, views - before));
  }
  double time = 0;
  const time_point end = now + kMeasured;
  while (now < end) {
    const time_point tick =
        std::max(now, std::min(end, control.NextDeadline().value_or(end)));
    if (const auto next = peers.Next(tick)) {
      now = next->at;
      const cpu_timer timer;
      control.Handle(now, next->message);
      time += timer.Microseconds();
    } else {
      now = tick;
      const cpu_timer timer;
      control.Tick(now);
      time += timer.Microseconds();
    }
  }
  figures.Add("control.quiet_cpu" + suffix,
              time / std::chrono::duration<double>(kMeasured).count(), "us/s",
              fmt::format("{}, no reports, {} views", conditions, views));
}

}  // namespace

void MeasureControlDuty(uint64_t seed, figure_list& figures) {
  const auto configuration =
      std::make_shared<const config::configuration>(MakeConfiguration({}));
  for (const int vms : kSizes) {
    MeasureSize(vms, seed, configuration, figures);
  }
}

}  // namespace tarragondale::capacity
