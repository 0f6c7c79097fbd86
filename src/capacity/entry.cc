// Cost of the entry: a decision, and state for each group, organisation and
// request in flight.
#include <fmt/format.h>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "tarragondale/entry.h"

namespace tarragondale::capacity {
namespace {

constexpr int kVms = 9;
constexpr int kGroups = 5'334;
constexpr int kOrganisations = 10'000;
constexpr int kInFlight = 2'000;
constexpr int kExchanges = 20'000;
constexpr int kMembers = 3;
// Between requests, so that the organisation stays within its rate.
constexpr duration kPause = milliseconds(1);

// A router that serves the target's configuration.
class served_router {
 public:
  explicit served_router(int vms) : view_(MakeView(vms)), router_(Options()) {
    router_.Step(now_, entry::fleet_changed{view_});
    router_.Step(now_, entry::configuration_changed{configuration_});
    router_.Step(now_, entry::currency_changed{true});
    now_ += seconds(10);  // Token buckets start empty.
  }

  // All members of a group report.
  void Report(int group) {
    for (int member = 0; member < kMembers; ++member) {
      const wire::group_report report{GroupName(group), {MakeReport(member)}};
      const config::member_row& row = configuration_->pools.at(GroupName(group))
                                          .members[static_cast<size_t>(member)];
      const auto vm = fleet::PlaceRole(
          *view_, fleet::GatewayRole(GroupName(group), row.name),
          {row.availability_zone, row.region});
      router_.Step(now_, entry::report_arrived{*vm, report});
    }
  }

  // A request to a group by an organisation that may use it.
  entry::caller_request Request(int group, wire::request_kind kind) {
    entry::caller_request request;
    request.connection = 1;
    request.exchange = ++exchange_;
    request.route = RouteName(group);
    request.kind = kind;
    request.statements = {
        {"SELECT item FROM orders WHERE id = $1", {{"order-000017"}}}};
    request.bearer = BearerOf(group / 2);
    return request;
  }

  void Pass(duration span) { now_ += span; }

  std::vector<entry::action> Step(const entry::event& event) {
    return router_.Step(now_, event);
  }

  // Answers what was sent; false if nothing was.
  bool Answer(const std::vector<entry::action>& actions) {
    for (const entry::action& action : actions) {
      if (const auto* sent = std::get_if<entry::send_request>(&action)) {
        wire::execute_answer answer;
        answer.id = sent->request.id;
        answer.position = {12, 1'000'000'000};
        answer.from_primary = sent->request.kind == wire::request_kind::kWrite;
        router_.Step(now_, entry::answer_arrived{sent->vm, answer});
        return true;
      }
    }
    return false;
  }

  // Time of one event in microseconds, and what it made.
  double Time(const entry::event& event, size_t& actions) {
    const cpu_timer timer;
    actions = router_.Step(now_, event).size();
    return timer.Microseconds();
  }

  void ChangeFleet() { router_.Step(now_, entry::fleet_changed{view_}); }

  double UseGroup(int group) {
    Report(group);
    const auto actions = Step(Request(group, wire::request_kind::kRead));
    return Answer(actions) ? 1 : 0;
  }

 private:
  static entry::entry_options Options() {
    entry::entry_options options;
    options.token_key = std::string(32, 'k');
    options.availability_zone = "zone-0";
    options.region = "region-0";
    return options;
  }

  config::configuration_ptr configuration_ =
      std::make_shared<const config::configuration>(MakeConfiguration(
          {.groups = kGroups, .organisations = kOrganisations}));
  fleet::fleet_view_ptr view_;
  entry::request_router router_;
  time_point now_ = TimeFromMs(1'000'000);
  uint64_t exchange_ = 0;
};

double BytesSince(int64_t before) {
  return static_cast<double>(LiveBytes() - before);
}

void MeasureExchange(served_router& router,
                     wire::request_kind kind,
                     figure_list& figures) {
  router.Report(0);
  int sent = 0;
  double time = 0;
  constexpr int kBatch = 100;
  for (int i = 0; i < kExchanges / kBatch; ++i) {
    router.Report(0);
    const cpu_timer timer;
    for (int j = 0; j < kBatch; ++j) {
      router.Pass(kPause);
      sent += router.Answer(router.Step(router.Request(0, kind))) ? 1 : 0;
    }
    time += timer.Microseconds();
  }
  figures.Add(fmt::format("entry.exchange_{}", wire::RequestKindName(kind)),
              time / kExchanges, "us",
              fmt::format("decision and answer, {} of {} were sent; 20,000 "
                          "keys, {} VMs",
                          sent, kExchanges, kVms));
}

// An entry whose callers use all groups of the target: interest, and placement
// on demand after a change of the fleet.
void MeasureAllGroups(figure_list& figures) {
  const int64_t before_router = LiveBytes();
  served_router router(kTargetVms);
  figures.Add("entry.configured_state", BytesSince(before_router), "bytes",
              "router and the target's configuration and view");
  const int64_t before = LiveBytes();
  double used = 0;
  for (int group = 0; group < kGroups; ++group) {
    used += router.UseGroup(group);
  }
  const std::string conditions =
      fmt::format("{:.0f} groups used, {} VMs", used, kTargetVms);
  figures.Add("entry.all_groups_state", BytesSince(before), "bytes",
              conditions);
  size_t actions = 0;
  router.Pass(seconds(1));
  const double quiet = router.Time(entry::tick{}, actions);
  figures.Add("entry.interest_tick", quiet, "us",
              fmt::format("{}, {} messages", conditions, actions));
  router.ChangeFleet();
  router.Pass(seconds(1));
  const double placed = router.Time(entry::tick{}, actions);
  figures.Add("entry.interest_tick_after_fleet_change", placed, "us",
              fmt::format("{}, {} messages", conditions, actions));
  const wire::group_interest interest{{GroupName(0), GroupName(1)}};
  figures.Add("entry.interest_bytes",
              static_cast<double>(wire::Encode({VmName(0), interest}).size()),
              "bytes", "message that names two groups");
}

}  // namespace

void MeasureEntry(figure_list& figures) {
  MeasureAllGroups(figures);
  served_router router(kVms);
  MeasureExchange(router, wire::request_kind::kRead, figures);
  MeasureExchange(router, wire::request_kind::kWrite, figures);

  constexpr int kReports = 20'000;
  const cpu_timer report_timer;
  for (int i = 0; i < kReports; ++i) {
    router.Step(
        entry::report_arrived{VmName(1), {GroupName(0), {MakeReport(1)}}});
  }
  figures.Add("entry.report", report_timer.Microseconds() / kReports, "us",
              "one member's report arrives, decoded");

  // Reports alone first, so that use and report state are told apart.
  int64_t before = LiveBytes();
  constexpr int kMeasuredGroups = 1'000;
  for (int i = 1; i <= kMeasuredGroups; ++i) {
    router.Report(2 * i);
  }
  figures.Add("entry.group_report_state", BytesSince(before) / kMeasuredGroups,
              "bytes", "each group of three members whose reports arrive");
  before = LiveBytes();
  double used = 0;
  for (int i = 1; i <= kMeasuredGroups; ++i) {
    used += router.UseGroup(2 * i);
  }
  figures.Add("entry.group_and_organisation_use_state",
              BytesSince(before) / kMeasuredGroups, "bytes",
              fmt::format("each group and organisation first used, {:.0f} of "
                          "{} requests sent",
                          used, kMeasuredGroups));

  router.Pass(seconds(10));
  router.Report(0);
  before = LiveBytes();
  int open = 0;
  for (int i = 0; i < kInFlight; ++i) {
    const auto actions =
        router.Step(router.Request(0, wire::request_kind::kRead));
    for (const entry::action& action : actions) {
      open += std::holds_alternative<entry::send_request>(action) ? 1 : 0;
    }
  }
  figures.Add(
      "entry.in_flight_state", BytesSince(before) / kInFlight, "bytes",
      fmt::format("each of {} reads in flight, {} sent", kInFlight, open));
}

}  // namespace tarragondale::capacity
