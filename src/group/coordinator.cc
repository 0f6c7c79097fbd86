// Takes the coordinator's events and keeps its role.
#include <algorithm>
#include <array>
#include <utility>

#include "src/group/coordinator_implementation.h"

namespace tarragondale::group {

coordinator::implementation::implementation(coordinator_options options)
    : options_(std::move(options)),
      knowledge_(options_.timing),
      calls_(options_.first_connection) {}

std::vector<action> coordinator::implementation::Step(time_point now,
                                                      const event& happened) {
  NoticePause(now);
  last_step_ = now;
  std::visit([&](const auto& value) { Handle(now, value); }, happened);
  for (const call_result& ended : calls_.Expire(now, commands_)) {
    TakeResult(now, ended);
  }
  if (has_role_) {
    Advance(now);
  }
  for (database::command& command : commands_) {
    actions_.emplace_back(std::move(command));
  }
  commands_.clear();
  due_ = NextDeadline();
  return std::exchange(actions_, {});
}

std::optional<time_point> coordinator::implementation::NextDeadline() const {
  if (!has_role_) {
    return std::nullopt;
  }
  const time_point next =
      last_step_ + (attempt_ ? timing().active_tick : timing().watch_tick);
  return std::min(next, calls_.NextDeadline().value_or(next));
}

coordinator_status coordinator::implementation::Status() const {
  coordinator_status status;
  status.has_role = has_role_;
  status.state =
      attempt_ ? attempt_->chart.StateName() : chart::failover::kStates.front();
  if (const member_state* const serving = knowledge_.Serving()) {
    status.primary = serving->row.name;
    status.term = serving->report.term;
  }
  return status;
}

void coordinator::implementation::NoticePause(time_point now) {
  if (!due_ || now - *due_ < timing().pause_limit) {
    return;
  }
  // Reports wait in queues while the VM is paused.
  knowledge_.ForgiveSilence(now);
  no_primary_since_.reset();
  unhealed_since_.reset();
  if (attempt_ && attempt_->chart.state() == failover_state::kConfirming) {
    End(now, failover_event::kReached, notice_kind::kSuspicionCleared,
        "this VM was paused");
  }
}

void coordinator::implementation::Handle(time_point now,
                                         const report_arrived& arrived) {
  if (arrived.report.group != options_.group || !has_role_) {
    return;
  }
  for (const wire::member_report& report : arrived.report.members) {
    if (!report.reachable) {
      knowledge_.MarkLost(report.member);
      continue;
    }
    knowledge_.Learn(now, report, "");
    if (report.role != wire::member_role::kPrimary) {
      continue;
    }
    cleared_streak_ = 0;
    const member_state* const serving = knowledge_.Serving();
    if (attempt_ && attempt_->chart.state() == failover_state::kConfirming &&
        serving != nullptr && serving->row.name == report.member) {
      End(now, failover_event::kReached, notice_kind::kSuspicionCleared,
          "its gateway reaches it");
    }
  }
}

void coordinator::implementation::Handle(time_point now,
                                         const reach_answer_arrived& arrived) {
  const wire::member_report& report = arrived.answer.report;
  if (!attempt_ || arrived.answer.group != options_.group) {
    return;
  }
  const auto target = attempt_->targets.find(report.member);
  if (target == attempt_->targets.end() ||
      !target->second.IsAnswer(arrived.answer.sequence, arrived.sender)) {
    return;
  }
  // A member that answers but does not serve is no primary.
  const bool serves = report.reachable &&
                      report.role == wire::member_role::kPrimary &&
                      report.promised_term <= report.term;
  target->second.Add(arrived.sender, serves);
  if (report.reachable) {
    knowledge_.Learn(now, report, "");
  }
}

void coordinator::implementation::Handle(time_point now,
                                         const pool_changed& change) {
  if (change.pool.group != options_.group) {
    return;
  }
  pool_ = change.pool;
  knowledge_.SetPool(pool_);
  UpdateRole(now);
}

void coordinator::implementation::Handle(time_point now,
                                         const fleet_changed& change) {
  view_ = change.view;
  UpdateRole(now);
}

void coordinator::implementation::UpdateRole(time_point now) {
  const auto owner =
      view_
          ? fleet::PlaceRole(*view_, fleet::CoordinatorRole(options_.group), {})
          : std::nullopt;
  const bool has_role =
      owner && *owner == view_->self && !pool_.members.empty();
  if (has_role == has_role_) {
    return;
  }
  if (!has_role && attempt_) {
    End(now, failover_event::kRoleLost, notice_kind::kAbandoned,
        "the coordinator role moved to another VM");
  }
  has_role_ = has_role;
  CloseCalls();
  requested_.reset();
  no_primary_since_.reset();
  unhealed_since_.reset();
  knowledge_.Forget();
  next_interest_ = now;
}

void coordinator::implementation::Handle(time_point /*now*/,
                                         const switchover_requested& request) {
  if (!has_role_) {
    ++counters_.refused;
    Notify(notice_kind::kRefused, request.target, 0,
           "this VM does not coordinate the group");
    return;
  }
  requested_ = request;
}

void coordinator::implementation::Handle(
    time_point now,
    const database::driver_event& happened) {
  if (const auto ended = calls_.Handle(happened, commands_)) {
    TakeResult(now, *ended);
  }
}

void coordinator::implementation::Handle(time_point /*now*/,
                                         const tick& /*unused*/) {}

void coordinator::implementation::TakeResult(time_point now,
                                             const call_result& ended) {
  if (ended.report) {
    knowledge_.Learn(now, *ended.report, ended.promised_coordinator);
  }
  if (!attempt_) {
    return;
  }
  if (!ended.Succeeded()) {
    attempt_->repeat_at[ended.member] = now + timing().call_repeat;
  }
  switch (attempt_->chart.state()) {
    case failover_state::kConfirming:
      return TakeConfirmResult(now, ended);
    case failover_state::kFencing:
      return TakeFenceResult(now, ended);
    case failover_state::kPromoting:
      return TakePromoteResult(now, ended);
    case failover_state::kFollowing:
      return TakeFollowResult(now, ended);
    default:
      return;
  }
}

void coordinator::implementation::Advance(time_point now) {
  using stage = void (implementation::*)(time_point);
  // By the number of the chart's state; final states end the attempt.
  static constexpr std::array<stage, 5> kStages = {
      &implementation::Watch, &implementation::Confirm, &implementation::Fence,
      &implementation::Promote, &implementation::Follow};
  const auto state = attempt_ ? attempt_->chart.state() : failover_state{};
  (this->*kStages[static_cast<size_t>(state)])(now);
}

void coordinator::implementation::Call(time_point now,
                                       call_kind kind,
                                       const member_state& member,
                                       wire::statement statement) {
  calls_.Start(
      now + timing().call_limit, kind,
      {options_.group, member.row.name, member.row.address, pool_.database},
      std::move(statement), commands_);
}

void coordinator::implementation::CloseCalls() {
  calls_.CloseAll(commands_);
}

void coordinator::implementation::Notify(notice_kind kind,
                                         const std::string& member,
                                         int64_t term,
                                         const std::string& reason) {
  actions_.emplace_back(notice{kind, options_.group, member, term, reason});
}

duration coordinator::implementation::Jitter(duration range) const {
  // FNV-1a of the VM's name and the attempt, so that VMs differ each time.
  constexpr uint64_t kOffset = 0xCBF29CE484222325ULL;
  constexpr uint64_t kPrime = 0x100000001B3ULL;
  uint64_t hash = kOffset ^ attempts_;
  for (const char letter : view_ ? view_->self : std::string()) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
  }
  // The low bits of FNV-1a depend on the low bits of the input only.
  constexpr int kShift = 32;
  return duration(static_cast<int64_t>(
      (hash >> kShift) % static_cast<uint64_t>(range.count() + 1)));
}

coordinator::coordinator(coordinator_options options)
    : implementation_(std::make_unique<implementation>(std::move(options))) {}
coordinator::coordinator(coordinator&&) noexcept = default;
coordinator& coordinator::operator=(coordinator&&) noexcept = default;
coordinator::~coordinator() = default;

std::vector<action> coordinator::Step(time_point now, const event& happened) {
  return implementation_->Step(now, happened);
}

std::optional<time_point> coordinator::NextDeadline() const {
  return implementation_->NextDeadline();
}

coordinator_status coordinator::Status() const {
  return implementation_->Status();
}

const coordinator_counters& coordinator::counters() const {
  return implementation_->counters();
}

}  // namespace tarragondale::group
