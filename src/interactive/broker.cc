// Events of the session broker, except those of links.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

constexpr duration kSweepInterval = milliseconds(20);
constexpr duration kIdleSweepInterval = milliseconds(200);
constexpr duration kSlowSweepInterval = milliseconds(250);

}  // namespace

session_broker::session_broker(broker_options options)
    : implementation_(std::make_unique<implementation>(std::move(options))) {}

session_broker::~session_broker() = default;

std::vector<action> session_broker::Step(time_point now, const event& input) {
  return implementation_->Step(now, input);
}

std::optional<time_point> session_broker::NextDeadline() const {
  return implementation_->NextDeadline();
}

member_health session_broker::HealthOf(std::string_view member) const {
  return implementation_->HealthOf(member);
}

std::map<std::string, observed_position, std::less<>>
session_broker::Positions() const {
  return implementation_->Positions();
}

std::map<std::string, organisation_usage, std::less<>> session_broker::Usage(
    time_point now) const {
  return implementation_->Usage(now);
}

std::vector<member_capacity_estimate> session_broker::Capacities(
    time_point now) const {
  return implementation_->Capacities(now);
}

size_t session_broker::CountPrimaryWork(std::string_view group,
                                        int64_t epoch) const {
  return implementation_->CountPrimaryWork(group, epoch);
}

std::vector<action> session_broker::StopPrimaryWork(time_point now,
                                                    std::string_view group,
                                                    int64_t epoch) {
  return implementation_->StopPrimaryWork(now, group, epoch);
}

std::map<std::string, zone_evacuation, std::less<>>
session_broker::Evacuations() const {
  return implementation_->Evacuations();
}

const broker_metrics& session_broker::metrics() const {
  return implementation_->metrics();
}

size_t session_broker::sessions() const {
  return implementation_->sessions();
}

std::vector<action> session_broker::implementation::Step(time_point now,
                                                         const event& input) {
  now_ = std::max(now_, now);
  actions_.clear();
  EnforceEvacuationLimits();
  std::visit([this](const auto& each) { On(each); }, input);
  if (dispatch_needed_) {
    DispatchWaiting();
  }
  return std::move(actions_);
}

std::optional<time_point> session_broker::implementation::NextDeadline() const {
  const time_point sweep = std::min(next_sweep_, next_slow_sweep_);
  return std::min(sweep, evacuations_.NextLimit().value_or(sweep));
}

member_health session_broker::implementation::HealthOf(
    std::string_view id) const {
  const member* const found = pool_.Find(id);
  return found == nullptr ? member_health{} : found->health;
}

std::map<std::string, observed_position, std::less<>>
session_broker::implementation::Positions() const {
  std::map<std::string, observed_position, std::less<>> newest;
  for (const auto& [group, history] : positions_) {
    if (const auto last = history.newest()) {
      newest.emplace(group, *last);
    }
  }
  return newest;
}

std::map<std::string, organisation_usage, std::less<>>
session_broker::implementation::Usage(time_point now) const {
  std::map<std::string, organisation_usage, std::less<>> usage;
  for (const auto& [name, rate] : rates_) {
    usage[name] = {rate.admitted(), rate.DemandPerSecond(now)};
  }
  return usage;
}

// --- Callers ---

void session_broker::implementation::On(const caller_opened& event) {
  if (!configuration_ && queued_sessions_.size() < options_.max_sessions) {
    // Processed once the first configuration arrives, shortly after the start.
    queued_sessions_.push_back(event);
    return;
  }
  ++metrics_.sessions;
  session opened;
  opened.id = event.session;
  opened.database = event.database;
  opened.key = event.key;
  const auto refuse = [&](result_code code, std::string reason) {
    ++metrics_.failures[code];
    Log(log_level::kInfo, "session {} to database {:?} refused with {}: {}",
        event.session, event.database, InfoOf(code).name, reason);
    actions_.push_back(answer_caller{.session = event.session,
                                     .code = code,
                                     .reason = std::move(reason),
                                     .close = true});
  };
  if (!configuration_) {
    return refuse(result_code::kOverloaded, "no configuration is loaded yet");
  }
  if (draining_since_ && now_ - *draining_since_ > options_.drain_notice) {
    return refuse(result_code::kDraining, "this VM is shutting down");
  }
  if (sessions_.size() >= options_.max_sessions) {
    return refuse(result_code::kTooManyConnections,
                  "this VM has no room for another session");
  }
  const route* const found = RouteOf(opened);
  if (found == nullptr) {
    return refuse(
        result_code::kRouteUnknown,
        fmt::format("no route serves this database in configuration version {}",
                    configuration_->version));
  }
  if (!found->open) {
    const auto owner = configuration_->organisations_by_key.find(event.key);
    if (owner == configuration_->organisations_by_key.end()) {
      return refuse(
          result_code::kKeyInvalid,
          fmt::format("the key is unknown in configuration version {}",
                      configuration_->version));
    }
    opened.organisation = owner->second;
  }
  sessions_.emplace(event.session, std::move(opened));
  actions_.push_back(accept_caller{event.session});
}

void session_broker::implementation::On(const session_hosted& event) {
  if (!configuration_) {
    actions_.push_back(close_caller{event.session});
    return;
  }
  ++metrics_.sessions;
  session& hosted = sessions_[event.session];
  hosted.id = event.session;
  hosted.database = event.database;
  hosted.organisation = event.organisation;
  hosted.hosted = true;
  for (const wire::named_value& each : event.values) {
    hosted.values[each.name] = each.value;
    hosted.kept_bytes += each.name.size() + each.value.size();
  }
  for (const wire::prepared_shape& each : event.prepared) {
    hosted.prepared[each.name] = {each.writes, each.shape};
    hosted.kept_bytes += each.name.size() + each.shape.size();
  }
  hosted.written = event.written;
  hosted.entry_route_regions = event.route_regions;
  hosted.entry_organisation_regions = event.organisation_regions;
  hosted.may_return_at = now_ + event.may_return_after;
}

void session_broker::implementation::On(const caller_sent& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end() || found->second.closing) {
    return;
  }
  ++metrics_.statements;
  session& of = found->second;
  if (of.pending.size() >= options_.max_pending) {
    of.closing = true;
    actions_.push_back(close_caller{of.id});
    return;
  }
  of.pending.emplace_back(now_, event.statement);
  StartNext(of);
}

void session_broker::implementation::On(const caller_closed& event) {
  std::erase_if(queued_sessions_, [&](const caller_opened& each) {
    return each.session == event.session;
  });
  EndSession(event.session);
}

// --- Configuration ---

void session_broker::implementation::LogChangedRates(
    const configuration_snapshot* before,
    const configuration_snapshot& after) {
  if (before == nullptr) {
    return;
  }
  for (const auto& [name, row] : after.organisations) {
    const auto known = before->organisations.find(name);
    if (known != before->organisations.end() && known->second != row) {
      Log(log_level::kInfo,
          "organisation {}: rate {}/s, burst {}; was {}/s, {}; "
          "configuration version {}",
          name, row.rate, row.burst, known->second.rate, known->second.burst,
          after.version);
    }
  }
}

void session_broker::implementation::On(
    const configuration_snapshot_changed& event) {
  LogChangedRates(configuration_.get(), *event.value);
  configuration_ = event.value;
  std::erase_if(rates_, [&](const auto& each) {
    return !configuration_->organisations.contains(each.first);
  });
  for (const auto& [name, row] : configuration_->organisations) {
    const auto found = rates_.find(name);
    if (found == rates_.end()) {
      rates_.emplace(name, shared_rate_limiter(row.rate, row.burst, vms_, now_,
                                               options_.seed));
    } else {
      found->second.SetLimit(row.rate, row.burst, now_);
    }
  }
  for (const caller_opened& each : std::exchange(queued_sessions_, {})) {
    On(each);
  }
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const members_changed& event) {
  for (const link_id id : pool_.SetDirectory(*event.value, now_)) {
    FailLink(id, "the member was started again");
  }
  ApplyEvacuations(event);
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const primary_leases_changed& event) {
  for (const auto& [group, lease] : event.by_group) {
    primary_lease& known = primary_leases_[group];
    if (known.epoch != lease.epoch || known.member != lease.member) {
      Log(log_level::kInfo,
          "primary of group {} is now {:?}, epoch {}, was {:?}, epoch {}",
          group, lease.member, lease.epoch, known.member, known.epoch);
    }
    known = lease;
  }
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const fleet_changed& event) {
  vms_ = std::max(1, event.vms);
  pool_.SetFleet(event.vms, event.by_zone, event.vms_per_member);
  cold_.SetSenders(event.senders, now_);
  for (auto& [name, rate] : rates_) {
    rate.SetFleet(vms_);
  }
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const position_reported& event) {
  AddPosition(event.group, {event.position, event.covers});
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const usage_reported& event) {
  const auto found = rates_.find(event.organisation);
  if (found != rates_.end()) {
    found->second.OnReport(event.vm, event.operations, event.demand_per_s,
                           event.counted_vms, now_);
  }
}

void session_broker::implementation::On(const vms_heard& event) {
  for (auto& [name, rate] : rates_) {
    rate.OnHeard(event.vm, event.counted_vms, now_);
  }
}

void session_broker::implementation::On(const reports_restarted& event) {
  for (auto& [name, rate] : rates_) {
    rate.OnRestartedReports(event.vm);
  }
}

// --- Members ---

void session_broker::implementation::On(const check_member& event) {
  member* const of = pool_.Find(event.member);
  if (of == nullptr) {
    return FinishCheck(event.member, std::nullopt);
  }
  StartCheck(*of, std::nullopt);
}

void session_broker::implementation::On(const demote_member& event) {
  member* const of = pool_.Find(event.member);
  if (of == nullptr) {
    return FinishCheck(event.member, std::nullopt);
  }
  StartCheck(*of, event.term);
}

// --- Options, shutdown and time ---

void session_broker::implementation::On(const options_changed& event) {
  options_ = event.value;
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const drain_started& /*event*/) {
  if (!draining_since_) {
    draining_since_ = now_;
  }
}

void session_broker::implementation::On(const tick& /*event*/) {
  if (now_ >= next_sweep_) {
    SweepPaced();
    SweepStatements();
    next_sweep_ = now_ + (active_.empty() && paced_.empty() ? kIdleSweepInterval
                                                            : kSweepInterval);
  }
  if (now_ >= next_slow_sweep_) {
    SweepSessions();
    SweepLinks();
    SweepEvacuations();
    if (draining_since_) {
      SweepDrain();
    }
    next_slow_sweep_ = now_ + kSlowSweepInterval;
  }
}

}  // namespace tarragondale::interactive
