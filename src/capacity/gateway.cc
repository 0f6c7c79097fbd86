// Cost of the gateway: requests, and polls and reports for each member owned.
#include <fmt/format.h>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "src/capacity/scripted_member.h"
#include "tarragondale/pool.h"

namespace tarragondale::capacity {
namespace {

// A gateway that owns all members of its configuration.
class served_gateway {
 public:
  explicit served_gateway(int groups) : groups_(groups) {
    const auto configuration = std::make_shared<const config::configuration>(
        MakeConfiguration({.groups = groups, .organisations = groups}));
    Step(pool::fleet_changed{MakeView(1)});
    Step(pool::configuration_changed{configuration});
    RunFor(seconds(2));
  }

  int members() const { return 3 * groups_; }

  void Step(const pool::event& event) {
    for (const pool::action& action : gateway_.Step(now_, event)) {
      if (const auto* command = std::get_if<database::command>(&action)) {
        member_.Take(now_, *command);
      } else if (const auto* answer = std::get_if<pool::send_answer>(&action)) {
        ++answers;
        done += answer->answer.code == result_code::kOk ? 1 : 0;
      } else if (const auto* report = std::get_if<pool::send_report>(&action)) {
        ++reports;
        last_report = report->report;
      }
    }
  }

  void RunFor(duration span) {
    const time_point end = now_ + span;
    while (now_ < end) {
      const time_point event = member_.NextTime().value_or(end);
      const time_point tick = gateway_.NextDeadline().value_or(end);
      const time_point next = std::min({end, event, tick});
      now_ = std::max(now_, next);
      if (member_.NextTime() && event <= now_) {
        Step(member_.Next());
      } else if (tick <= now_) {
        Step(pool::tick{});
      }
    }
  }

  void Interest(int vms) {
    for (int i = 1; i <= vms; ++i) {
      wire::group_interest interest;
      for (int group = 0; group < groups_; ++group) {
        interest.groups.push_back(GroupName(group));
      }
      Step(pool::interest_arrived{VmName(i), interest});
    }
  }

  void Send(wire::request_kind kind) {
    wire::execute_request request;
    request.id = {1, ++sequence_};
    request.organisation = OrganisationName(0);
    request.group = GroupName(0);
    request.member = "m1";
    request.kind = kind;
    const bool reads = kind == wire::request_kind::kRead;
    request.statements = {{reads ? "SELECT item FROM orders WHERE id = $1"
                                 : "UPDATE orders SET item = $1",
                           {{"order-000017"}}}};
    request.budget_ms = 5'000;
    Step(pool::request_arrived{VmName(1), request});
  }

  const pool::gateway_metrics& metrics() const { return gateway_.metrics(); }

  uint64_t answers = 0;
  uint64_t done = 0;
  uint64_t reports = 0;
  wire::group_report last_report;

 private:
  int groups_;
  pool::gateway gateway_;
  scripted_member member_;
  time_point now_ = TimeFromMs(0);
  uint64_t sequence_ = 0;
};

void MeasureRequests(wire::request_kind kind, figure_list& figures) {
  served_gateway gateway(1);
  constexpr int kRequests = 5'000;
  constexpr duration kPause = milliseconds(10);
  const cpu_timer idle_timer;
  for (int i = 0; i < kRequests; ++i) {
    gateway.RunFor(kPause);
  }
  const double idle = idle_timer.Microseconds();
  const cpu_timer timer;
  for (int i = 0; i < kRequests; ++i) {
    gateway.Send(kind);
    gateway.RunFor(kPause);
  }
  figures.Add(
      fmt::format("gateway.{}", wire::RequestKindName(kind)),
      (timer.Microseconds() - idle) / kRequests, "us",
      fmt::format("scripted member included, idle cost subtracted, {} of {} "
                  "done, one request at a time",
                  gateway.done, kRequests));
}

void MeasureMembers(int groups, figure_list& figures) {
  constexpr duration kMeasured = seconds(20);
  const double time = std::chrono::duration<double>(kMeasured).count();
  const int64_t before = LiveBytes();
  served_gateway gateway(groups);
  const int64_t state = LiveBytes() - before;
  const int members = gateway.members();
  // The configuration itself is counted elsewhere.
  const int64_t before_copy = LiveBytes();
  const config::configuration copy =
      MakeConfiguration({.groups = groups, .organisations = groups});
  const int64_t configuration = LiveBytes() - before_copy;
  const std::string suffix = fmt::format("@{}", members);
  const std::string conditions = fmt::format(
      "{} members owned, no requests, {} pools", members, copy.pools.size());
  figures.Add("gateway.member_state" + suffix,
              static_cast<double>(state - configuration) / members, "bytes",
              conditions + ", scripted member included");
  const uint64_t polls = gateway.metrics().status_polls;
  const cpu_timer timer;
  gateway.RunFor(kMeasured);
  const double idle = timer.Microseconds() / time / members;
  figures.Add("gateway.member_cpu" + suffix, idle, "us/s",
              conditions + ", scripted member included");
  figures.Add("gateway.status_polls" + suffix,
              static_cast<double>(gateway.metrics().status_polls - polls) /
                  time / members,
              "1/s", conditions);

  constexpr int kInterested = 50;
  constexpr int kSeconds = 20;
  const uint64_t reports = gateway.reports;
  double report_time = 0;
  for (int i = 0; i < kSeconds; ++i) {
    gateway.Interest(kInterested);
    const cpu_timer second_timer;
    gateway.RunFor(seconds(1));
    report_time += second_timer.Microseconds();
  }
  const double sent = static_cast<double>(gateway.reports - reports);
  const std::string interest =
      fmt::format("{} members, {} interested VMs", members, kInterested);
  figures.Add("gateway.reports" + suffix,
              sent / kSeconds / members / kInterested, "1/s",
              "for each member and interested VM; " + interest);
  figures.Add("gateway.report_bytes" + suffix,
              static_cast<double>(
                  wire::Encode({VmName(0), gateway.last_report}).size()),
              "bytes", "one encoded report of one member");
  figures.Add("gateway.report_cpu" + suffix,
              (report_time - idle * members * kSeconds) / sent, "us",
              "decision only, idle cost subtracted; " + interest);
}

void MeasureReportCodec(figure_list& figures) {
  constexpr int kReports = 20'000;
  const wire::message message{
      VmName(0), wire::group_report{GroupName(0), {MakeReport(0)}}};
  size_t bytes = 0;
  const cpu_timer encode_timer;
  for (int i = 0; i < kReports; ++i) {
    bytes += wire::Encode(message).size();
  }
  figures.Add(
      "gateway.report_encode", encode_timer.Microseconds() / kReports, "us",
      fmt::format("{} reports, {} bytes each", kReports, bytes / kReports));
  const std::string encoded = wire::Encode(message);
  size_t decoded = 0;
  const cpu_timer decode_timer;
  for (int i = 0; i < kReports; ++i) {
    decoded += wire::Decode(encoded) ? 1 : 0;
  }
  figures.Add("entry.report_decode", decode_timer.Microseconds() / kReports,
              "us", fmt::format("{} reports decoded", decoded));
}

}  // namespace

void MeasureGateway(figure_list& figures) {
  MeasureRequests(wire::request_kind::kRead, figures);
  MeasureRequests(wire::request_kind::kWrite, figures);
  // At the target a VM owns 3.4 members; 60 shows how the cost grows.
  for (const int groups : {1, 20}) {
    MeasureMembers(groups, figures);
  }
  MeasureReportCodec(figures);
}

}  // namespace tarragondale::capacity
