// The control thread's work.
#include "src/runtime/control_duty.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace tarragondale::runtime {
namespace {

constexpr duration kCurrencyInterval = milliseconds(250);
// The status page costs time in proportion to the fleet, so it is renewed often
// only while somebody reads it.
constexpr duration kStatusInterval = seconds(5);
constexpr duration kStatusInterest = seconds(10);
// A VM without news of the configuration serves keyed routes for this long.
constexpr duration kCurrencyLimit = seconds(5);

// Connection ids of one range belong to one coordinator or to the reach
// responder, which has range 0.
constexpr uint64_t kRange = group::coordinator_options::kConnectionRange;

database::connection_id FirstOfRange(uint64_t range) {
  return range * kRange + 1;
}

uint64_t RangeOf(const database::driver_event& event) {
  return std::visit([](const auto& typed) { return typed.connection / kRange; },
                    event);
}

}  // namespace

control_duty::control_duty(control_options options, control_outputs outputs)
    : options_(std::move(options)),
      outputs_(std::move(outputs)),
      membership_({}, options_.self, options_.seed),
      currency_(kCurrencyLimit, options_.store_region),
      reach_({.first_connection = FirstOfRange(0)}) {}

void control_duty::Handle(time_point now, control_event event) {
  std::visit([&](const auto& typed) { On(now, typed); }, event);
}

void control_duty::Tick(time_point now) {
  if (now >= membership_.NextDeadline()) {
    FeedMembership(now, fleet::tick{});
  }
  for (auto& [group, coordinated] : coordinators_) {
    const auto deadline = coordinated.machine.NextDeadline();
    if (deadline && now >= *deadline) {
      FeedCoordinator(now, coordinated, group::tick{});
    }
  }
  const auto deadline = reach_.NextDeadline();
  if (deadline && now >= *deadline) {
    FeedReach(now, group::tick{});
  }
  if (now >= next_currency_) {
    next_currency_ = now + kCurrencyInterval;
    UpdateCurrency(now);
    if (now >= next_status_ || now - status_asked_.load() < kStatusInterest) {
      next_status_ = now + kStatusInterval;
      PublishStatus();
    }
  }
}

std::optional<time_point> control_duty::NextDeadline() const {
  time_point next = std::min(membership_.NextDeadline(), next_currency_);
  for (const auto& [group, coordinated] : coordinators_) {
    next = std::min(next, coordinated.machine.NextDeadline().value_or(next));
  }
  return std::min(next, reach_.NextDeadline().value_or(next));
}

std::string control_duty::StatusJson() const {
  status_asked_ = std::chrono::steady_clock::now();
  const std::lock_guard lock(status_mutex_);
  return status_json_;
}

bool control_duty::Coordinates(const std::string& group) const {
  const std::lock_guard lock(status_mutex_);
  return coordinated_.contains(group);
}

bool control_duty::IsReady() const {
  const std::lock_guard lock(status_mutex_);
  return ready_;
}

void control_duty::On(time_point now, const wire::message& event) {
  if (const auto* probe = std::get_if<wire::probe>(&event.body)) {
    FeedMembership(now, fleet::probe_arrived{event.sender, *probe});
  } else if (const auto* answer =
                 std::get_if<wire::probe_answer>(&event.body)) {
    FeedMembership(now, fleet::probe_answer_arrived{event.sender, *answer});
  } else if (const auto* report =
                 std::get_if<wire::group_report>(&event.body)) {
    OnReport(now, event.sender, *report);
  } else if (const auto* request =
                 std::get_if<wire::reach_request>(&event.body)) {
    FeedReach(now, group::reach_request_arrived{event.sender, *request});
  } else if (const auto* reached =
                 std::get_if<wire::reach_answer>(&event.body)) {
    const auto found = coordinators_.find(reached->group);
    if (found != coordinators_.end()) {
      FeedCoordinator(now, found->second,
                      group::reach_answer_arrived{event.sender, *reached});
    }
  }
}

void control_duty::On(time_point now, const config::configuration_ptr& event) {
  configuration_ = event;
  std::erase_if(reports_, [&](const auto& item) {
    return std::none_of(
        event->pools.begin(), event->pools.end(),
        [&](const auto& pool) { return pool.second.group == item.first; });
  });
  currency_.OnApplied(event->version);
  FeedReach(now, group::configuration_changed{event});
  FeedMembership(now, fleet::became_ready{});
  PlaceCoordinators(now);
  UpdateCurrency(now);
  PublishStatus();
}

void control_duty::On(time_point now, const store_answered& event) {
  currency_.OnStoreAnswer(event.at, event.version);
  UpdateCurrency(now);
}

void control_duty::On(time_point now, const vm_list_read& event) {
  FeedMembership(now, fleet::seeds_changed{event.vms});
}

void control_duty::On(time_point now, const switchover_request& event) {
  const auto found = coordinators_.find(event.group);
  if (found == coordinators_.end()) {
    Log(log_level::kWarning, log_part::kControl,
        "a switchover of group {} was asked here, but another VM coordinates "
        "it.",
        event.group);
    return;
  }
  FeedCoordinator(now, found->second,
                  group::switchover_requested{event.target});
}

void control_duty::On(time_point now, const leave_requested& /*event*/) {
  leaving_ = true;
  FeedMembership(now, fleet::leave_started{});
  PublishStatus();
}

void control_duty::On(time_point now, const database::driver_event& event) {
  const uint64_t range = RangeOf(event);
  if (range == 0) {
    FeedReach(now, event);
    return;
  }
  for (auto& [group, coordinated] : coordinators_) {
    if (coordinated.range == range) {
      FeedCoordinator(now, coordinated, event);
      return;
    }
  }
}

void control_duty::OnReport(time_point now,
                            const std::string& sender,
                            const wire::group_report& report) {
  for (const wire::member_report& member : report.members) {
    reports_[report.group][member.member] = member;
  }
  const auto found = coordinators_.find(report.group);
  if (found != coordinators_.end()) {
    FeedCoordinator(now, found->second, group::report_arrived{sender, report});
  }
}

void control_duty::FeedMembership(time_point now, const fleet::event& event) {
  for (fleet::action& action : membership_.Step(now, event)) {
    if (auto* const send = std::get_if<fleet::send_message>(&action)) {
      outputs_.send(send->vm, send->address, std::move(send->body));
    } else if (auto* const view = std::get_if<fleet::view_changed>(&action)) {
      OnView(now, view->view);
    } else if (auto* const heard = std::get_if<fleet::vm_heard>(&action)) {
      currency_.OnVmHeard(now, *heard);
    }
  }
}

void control_duty::FeedCoordinator(time_point now,
                                   coordinated_group& coordinated,
                                   const group::event& event) {
  for (group::action& action : coordinated.machine.Step(now, event)) {
    if (auto* const command = std::get_if<database::command>(&action)) {
      outputs_.command_database(std::move(*command));
    } else if (auto* const reach =
                   std::get_if<group::send_reach_request>(&action)) {
      SendTo(reach->vm, std::move(reach->request));
    } else if (auto* const interest =
                   std::get_if<group::send_interest>(&action)) {
      SendTo(interest->vm, std::move(interest->interest));
    } else if (auto* const notice = std::get_if<group::notice>(&action)) {
      outputs_.on_notice(*notice);
    }
  }
}

void control_duty::FeedReach(time_point now, const group::reach_event& event) {
  for (group::reach_action& action : reach_.Step(now, event)) {
    if (auto* const command = std::get_if<database::command>(&action)) {
      outputs_.command_database(std::move(*command));
    } else if (auto* const answer =
                   std::get_if<group::send_reach_answer>(&action)) {
      SendTo(answer->vm, std::move(answer->answer));
    }
  }
}

void control_duty::OnView(time_point now, fleet::fleet_view_ptr view) {
  view_ = std::move(view);
  currency_.OnView(view_);
  outputs_.publish_view(view_);
  PlaceCoordinators(now);
}

void control_duty::PlaceCoordinators(time_point now) {
  if (!configuration_ || !view_) {
    return;
  }
  std::map<std::string, const config::pool_row*> groups;
  for (const auto& [name, pool] : configuration_->pools) {
    groups[pool.group] = &pool;
  }
  for (const auto& [name, pool] : groups) {
    if (IsPlacedHere(name) && !coordinators_.contains(name)) {
      const uint64_t range = ++last_range_;
      coordinators_.emplace(
          name, coordinated_group{
                    group::coordinator({.group = name,
                                        .run = options_.seed,
                                        .first_connection = FirstOfRange(range),
                                        .timing = {}}),
                    range});
    }
  }
  for (auto next = coordinators_.begin(); next != coordinators_.end();) {
    auto& [name, coordinated] = *next;
    const auto found = groups.find(name);
    if (found != groups.end()) {
      FeedCoordinator(now, coordinated, group::pool_changed{*found->second});
    }
    FeedCoordinator(now, coordinated, group::fleet_changed{view_});
    // A coordinator without the role has told of an abandoned failover and
    // closed its connections in the step above.
    const bool keep = found != groups.end() && IsPlacedHere(name);
    next = keep ? std::next(next) : coordinators_.erase(next);
  }
  const std::lock_guard lock(status_mutex_);
  coordinated_.clear();
  for (const auto& [name, coordinated] : coordinators_) {
    coordinated_.insert(name);
  }
}

bool control_duty::IsPlacedHere(const std::string& group) const {
  return fleet::PlaceRole(*view_, fleet::CoordinatorRole(group), {}) ==
         view_->self;
}

void control_duty::UpdateCurrency(time_point now) {
  const bool current = currency_.IsCurrent(now);
  if (current != current_) {
    current_ = current;
    if (!current) {
      Log(log_level::kWarning, log_part::kControl,
          "no path shows that configuration {} is current; keyed routes are "
          "refused.",
          configuration_ ? configuration_->version : 0);
    }
    outputs_.publish_currency(current);
  }
  FeedMembership(now, fleet::freshness_changed{
                          configuration_ ? configuration_->version : 0,
                          currency_.Freshness(now)});
}

void control_duty::SendTo(const std::string& vm, wire::message_body body) {
  const wire::vm_record* const record = view_ ? view_->Find(vm) : nullptr;
  if (record != nullptr) {
    outputs_.send(vm, record->peer_address, std::move(body));
  }
}

void control_duty::PublishStatus() {
  using json = nlohmann::ordered_json;
  const wire::vm_record& self = membership_.self();
  json groups = json::array();
  for (const auto& [group, members] : reports_) {
    json rows = json::array();
    std::string primary;
    int64_t term = 0;
    for (const auto& [name, report] : members) {
      if (report.role == wire::member_role::kPrimary && report.term > term) {
        primary = name;
        term = report.term;
      }
      rows.push_back({{"member", name},
                      {"role", wire::MemberRoleName(report.role)},
                      {"position", report.position},
                      {"age_ms", report.age_ms},
                      {"reachable", report.reachable}});
    }
    groups.push_back({{"group", group},
                      {"primary", primary},
                      {"term", term},
                      {"coordinated_here", coordinators_.contains(group)},
                      {"members", std::move(rows)}});
  }
  json vms = json::array();
  if (view_) {
    for (const wire::vm_record& vm : view_->vms) {
      vms.push_back(
          {{"name", vm.name}, {"state", wire::VmStateName(vm.state)}});
    }
  }
  const json body = {
      {"name", self.name},
      {"state", wire::VmStateName(self.state)},
      {"configuration_version", configuration_ ? configuration_->version : 0},
      {"current", current_},
      {"http_address", self.http_address},
      {"availability_zone", self.availability_zone},
      {"region", self.region},
      {"vms", std::move(vms)},
      {"groups", std::move(groups)}};
  const std::lock_guard lock(status_mutex_);
  status_json_ = body.dump() + "\n";
  ready_ = configuration_ != nullptr && !leaving_;
}

}  // namespace tarragondale::runtime
