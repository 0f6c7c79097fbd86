// Cost of the whole control thread: membership, currency, coordinators, status
// page, with the target's configuration.
#include "src/runtime/control_duty.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "src/capacity/scripted_fleet.h"
#include "src/runtime/vm_list_reader.h"

namespace tarragondale::capacity {
namespace {

constexpr int kSizes[] = {9, 200, 1'000, 4'700};
constexpr duration kMeasured = seconds(10);
constexpr int kMembers = 3;

// Control thread of VM 0 with scripted peers.
class measured_control {
 public:
  measured_control(int vms,
                   uint64_t seed,
                   const config::configuration_ptr& configuration)
      : peers_(vms, {}, seed),
        control_({.self = MakeVm(0), .store_region = "region-0", .seed = seed},
                 Outputs()) {
    Handle(Gossip(peers_.Records()));
    Handle(configuration);
  }

  static wire::message Gossip(std::vector<wire::vm_record> records) {
    return {VmName(1),
            wire::probe{1, VmName(0), VmName(1), {1, 10}, std::move(records)}};
  }

  // Processor time of one event in microseconds.
  double Handle(runtime::control_event event) {
    const cpu_timer timer;
    control_.Handle(now_, std::move(event));
    return timer.Microseconds();
  }

  // Processor time for each second, microseconds.
  double RunFor(duration span) {
    double time = 0;
    const time_point end = now_ + span;
    while (now_ < end) {
      const time_point tick =
          std::max(now_, std::min(end, control_.NextDeadline().value_or(end)));
      if (const auto next = peers_.Next(tick)) {
        now_ = next->at;
        time += Handle(next->message);
      } else {
        now_ = tick;
        const cpu_timer timer;
        control_.Tick(now_);
        time += timer.Microseconds();
      }
    }
    return time / std::chrono::duration<double>(span).count();
  }

  int views = 0;

 private:
  runtime::control_outputs Outputs() {
    return {.send =
                [this](std::string_view vm, std::string_view /*address*/,
                       const wire::message_body& body) {
                  peers_.Take(now_, std::string(vm), body);
                  return true;
                },
            .publish_view =
                [this](const fleet::fleet_view_ptr& /*view*/) { ++views; },
            .publish_currency = [](bool /*current*/) {},
            .command_database =
                [](const database::command& /*command*/) { return true; },
            .on_notice = [](const group::notice& /*notice*/) {}};
  }

  time_point now_ = TimeFromMs(0);
  scripted_fleet peers_;
  runtime::control_duty control_;
};

void MeasureSize(int vms,
                 uint64_t seed,
                 const config::configuration_ptr& configuration,
                 figure_list& figures) {
  measured_control control(vms, seed, configuration);
  const std::string suffix = fmt::format("@{}", vms);
  const std::string conditions =
      fmt::format("control thread, {} VMs, {} pools, seed {}", vms,
                  configuration->pools.size(), seed);
  figures.Add("control.configuration_change" + suffix,
              control.Handle(configuration), "us", conditions);
  figures.Add("control.quiet_cpu" + suffix, control.RunFor(kMeasured), "us/s",
              conditions + ", no reports known");

  // Reports of all groups, as an entry that uses all groups receives them.
  const int64_t before = LiveBytes();
  int reports = 0;
  double time = 0;
  const fleet::fleet_view_ptr view = MakeView(vms);
  for (const auto& [name, pool] : configuration->pools) {
    // A group coordinated here would be suspected, since no reports follow.
    if (fleet::PlaceRole(*view, fleet::CoordinatorRole(pool.group), {}) ==
        VmName(0)) {
      continue;
    }
    for (int member = 0; member < kMembers; ++member) {
      time += control.Handle(wire::message{
          VmName(1), wire::group_report{pool.group, {MakeReport(member)}}});
      ++reports;
    }
  }
  const std::string known =
      fmt::format("{}, reports of {} members known", conditions, reports);
  figures.Add("control.first_report" + suffix, time / reports, "us", known);
  figures.Add("control.report_state" + suffix,
              static_cast<double>(LiveBytes() - before) / reports, "bytes",
              known);
  figures.Add("control.reports_known_cpu" + suffix, control.RunFor(kMeasured),
              "us/s", known + ", none arrive");

  // One VM was added: one more record, one view.
  const int views = control.views;
  const double change = control.Handle(measured_control::Gossip({MakeVm(vms)}));
  figures.Add("control.fleet_change" + suffix, change, "us",
              fmt::format("{}, {} views", conditions, control.views - views));
}

// The platform's list of all VMs, as each VM reads it.
void MeasureVmList(figure_list& figures) {
  nlohmann::json list = nlohmann::json::array();
  const fleet::fleet_view_ptr view = MakeView(kTargetVms);
  for (const wire::vm_record& vm : view->vms) {
    list.push_back({{"name", vm.name},
                    {"peer_address", vm.peer_address},
                    {"http_address", vm.http_address},
                    {"availability_zone", vm.availability_zone},
                    {"region", vm.region},
                    {"state", "live"}});
  }
  const std::string body = list.dump();
  const cpu_timer timer;
  const auto vms = runtime::DecodeVmList(body);
  const double time = timer.Microseconds();
  const std::string conditions =
      fmt::format("{} VMs decoded", vms ? vms->size() : 0);
  figures.Add("vm_list.bytes", static_cast<double>(body.size()), "bytes",
              conditions);
  figures.Add("vm_list.decode", time, "us", conditions);
}

}  // namespace

void MeasureControlDuty(uint64_t seed, figure_list& figures) {
  MeasureVmList(figures);
  for (const int vms : kSizes) {
    const auto configuration = std::make_shared<const config::configuration>(
        MakeConfiguration(SizeFor(vms)));
    MeasureSize(vms, seed, configuration, figures);
  }
}

}  // namespace tarragondale::capacity
