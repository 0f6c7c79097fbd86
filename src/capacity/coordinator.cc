// Cost of one watched group for its coordinator.
#include <fmt/format.h>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "tarragondale/group.h"

namespace tarragondale::capacity {
namespace {

constexpr int kVms = 9;
constexpr int kMembers = 3;
constexpr int kCoordinators = 20;
constexpr duration kReportInterval = milliseconds(100);
constexpr int kIntervals = 600;

}  // namespace

void MeasureCoordinator(figure_list& figures) {
  const config::configuration value =
      MakeConfiguration({.groups = 1, .organisations = 1});
  const config::pool_row& pool = value.pools.at(GroupName(0));
  // The view of a fleet in which this VM has the role.
  auto view = std::make_shared<fleet::fleet_view>(*MakeView(kVms));
  view->self = *fleet::PlaceRole(*view, fleet::CoordinatorRole(pool.group), {});
  std::vector<wire::group_report> reports;
  reports.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    reports.push_back({pool.group, {MakeReport(i)}});
  }
  const int64_t before = LiveBytes();
  std::vector<group::coordinator> machines;
  time_point now = TimeFromMs(0);
  for (int i = 0; i < kCoordinators; ++i) {
    machines.emplace_back(group::coordinator_options{
        .group = pool.group, .run = 1, .timing = {}});
    machines.back().Step(now, group::pool_changed{pool});
    machines.back().Step(now, group::fleet_changed{view});
  }
  size_t actions = 0;
  double time = 0;
  for (int i = 0; i < kIntervals; ++i) {
    now += kReportInterval;
    for (wire::group_report& report : reports) {
      report.members[0].position += 100;
    }
    const cpu_timer timer;
    for (group::coordinator& machine : machines) {
      for (const wire::group_report& report : reports) {
        actions +=
            machine.Step(now, group::report_arrived{VmName(1), report}).size();
      }
      while (machine.NextDeadline().value_or(time_point::max()) <= now) {
        const time_point due = *machine.NextDeadline();
        actions += machine.Step(now, group::tick{}).size();
        if (machine.NextDeadline() == due) {
          break;
        }
      }
    }
    time += timer.Microseconds();
  }
  const double group_seconds =
      kCoordinators * kIntervals *
      std::chrono::duration<double>(kReportInterval).count();
  const std::string conditions = fmt::format(
      "{} groups of three, reports every 100 ms, state {}, {} suspicions",
      kCoordinators, machines[0].Status().state,
      machines[0].counters().suspected);
  figures.Add("coordinator.cpu", time / group_seconds, "us/s", conditions);
  figures.Add("coordinator.actions",
              static_cast<double>(actions) / group_seconds, "1/s", conditions);
  figures.Add("coordinator.state",
              static_cast<double>(LiveBytes() - before) / kCoordinators,
              "bytes", conditions);
}

}  // namespace tarragondale::capacity
