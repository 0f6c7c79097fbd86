// Decides when a change of primary starts, and tells members that come back to
// follow the primary.
#include <algorithm>

#include "src/group/coordinator_implementation.h"
#include "src/group/guards.h"

namespace tarragondale::group {

void coordinator::implementation::Watch(time_point now) {
  SendInterest(now);
  AskQuietMembers(now);
  const member_state* const serving = knowledge_.Serving();
  if (serving == nullptr) {
    StartIfNoPrimary(now);
    return;
  }
  no_primary_since_.reset();
  if (StartIfSilent(now, *serving) || serving->lost ||
      !knowledge_.Fresh(*serving, now)) {
    return;
  }
  FollowLate(now, *serving);
  if (now < no_start_before_) {
    return;
  }
  [[maybe_unused]] const bool started =
      StartIfRequested(now, *serving) || StartIfLeaving(now, *serving) ||
      StartIfStalled(now, *serving) || StartIfUnhealed(now, *serving);
}

void coordinator::implementation::SendInterest(time_point now) {
  if (now < next_interest_) {
    return;
  }
  next_interest_ = now + timing().interest_interval;
  std::set<std::string> gateways;
  for (const member_state& member : knowledge_.members()) {
    const auto gateway = fleet::PlaceRole(
        *view_, fleet::GatewayRole(options_.group, member.row.name),
        {member.row.availability_zone, member.row.region});
    if (gateway) {
      gateways.insert(*gateway);
    }
  }
  for (const std::string& vm : gateways) {
    actions_.emplace_back(send_interest{vm, {{options_.group}}});
  }
}

void coordinator::implementation::AskQuietMembers(time_point now) {
  // Without a primary there is no reason to wait for reports.
  const duration age = knowledge_.Serving() == nullptr
                           ? timing().no_primary_wait
                           : timing().status_age;
  for (member_state& member : knowledge_.members()) {
    const bool asked_lately =
        member.asked != time_point() && now - member.asked < age;
    const bool heard_lately = member.known && now - member.heard < age;
    if (asked_lately || heard_lately ||
        calls_.Pending(options_.group, member.row.name)) {
      continue;
    }
    member.asked = now;
    Call(now, call_kind::kStatus, member, StatusStatement());
  }
}

bool coordinator::implementation::MustFollow(
    time_point now,
    const member_state& member,
    const member_state& serving) const {
  if (&member == &serving || !knowledge_.Fresh(member, now) ||
      member.report.promised_term > serving.report.term) {
    return false;
  }
  const bool behind = member.report.term < serving.report.term;
  const bool paused = member.followed != time_point() &&
                      now - member.followed < timing().follow_pause;
  return !paused && (behind || knowledge_.Stalled(member, now));
}

void coordinator::implementation::FollowLate(time_point now,
                                             const member_state& serving) {
  const std::string coordinator = knowledge_.CoordinatorOf(serving.report.term);
  for (member_state& member : knowledge_.members()) {
    if (!MustFollow(now, member, serving) ||
        calls_.Pending(options_.group, member.row.name)) {
      continue;
    }
    // Only the primary's own status names the coordinator of its term.
    if (coordinator.empty()) {
      if (!calls_.Pending(options_.group, serving.row.name)) {
        Call(now, call_kind::kStatus, serving, StatusStatement());
      }
      return;
    }
    member.followed = now;
    Call(
        now, call_kind::kFollow, member,
        FollowStatement(serving.report.term, coordinator, serving.row.address));
  }
}

bool coordinator::implementation::StartIfNoPrimary(time_point now) {
  const size_t above = knowledge_.PromisedAboveAllTerms();
  const duration wait =
      above > 0 ? timing().no_primary_wait : timing().first_status_wait;
  if (!no_primary_since_) {
    no_primary_since_ = now;
  }
  if (now - *no_primary_since_ < wait + Jitter(wait) ||
      now < no_start_before_) {
    return false;
  }
  std::vector<std::string> missing;
  for (const member_state& member : knowledge_.members()) {
    if (!knowledge_.Fresh(member, now) || member.lost) {
      missing.push_back(member.row.name);
    }
  }
  if (knowledge_.members().size() - missing.size() <
      Majority(knowledge_.members().size())) {
    return false;
  }
  // A majority with a promise above all terms accepts no log, so whether the
  // missing members can be reached makes no difference.
  if (above >= Majority(knowledge_.members().size())) {
    Suspect(now, "", {}, "an earlier failover did not finish");
  } else {
    Suspect(now, "", missing, "no member serves as primary");
  }
  return true;
}

bool coordinator::implementation::StartIfSilent(time_point now,
                                                const member_state& serving) {
  const auto silence =
      std::chrono::duration_cast<duration>(now - serving.heard);
  const bool silent = silence > knowledge_.SilenceTimeout();
  if ((!silent && !serving.lost) || now < no_suspicion_before_ ||
      now < no_start_before_) {
    return false;
  }
  Suspect(now, serving.row.name, {serving.row.name},
          serving.lost
              ? "its gateway does not reach it"
              : "no report for " + std::to_string(ToMs(silence)) + " ms");
  return true;
}

bool coordinator::implementation::MayBeTarget(
    time_point now,
    const member_state& member) const {
  return knowledge_.Fresh(member, now) && !member.lost &&
         member.report.role == wire::member_role::kReplica &&
         member.report.age_ms >= 0 &&
         member.report.age_ms <= ToMs(timing().target_age);
}

std::string coordinator::implementation::ChooseTarget(
    time_point now,
    const member_state& serving) const {
  const member_state* best = nullptr;
  const auto held = [](const member_state& member) {
    return log_position{member.report.last_term, member.report.position};
  };
  for (const member_state& member : knowledge_.members()) {
    if (&member != &serving && !member.row.leaving &&
        MayBeTarget(now, member) &&
        (best == nullptr || held(member) > held(*best))) {
      best = &member;
    }
  }
  return best == nullptr ? std::string() : best->row.name;
}

bool coordinator::implementation::StartIfRequested(
    time_point now,
    const member_state& serving) {
  if (!requested_) {
    return false;
  }
  std::string target = requested_->target;
  requested_.reset();
  const member_state* const wanted = knowledge_.Find(target);
  std::string problem;
  if (!target.empty() && wanted == nullptr) {
    problem = "the group has no member of this name";
  } else if (wanted == &serving) {
    problem = "the member is the primary already";
  } else if (wanted == nullptr || !MayBeTarget(now, *wanted)) {
    target = ChooseTarget(now, serving);
    problem = target.empty() ? "no replica is close enough to the primary" : "";
  }
  if (!problem.empty()) {
    ++counters_.refused;
    Notify(notice_kind::kRefused, target, serving.report.term, problem);
    return false;
  }
  StartPlanned(now, serving, target, "requested by an operator");
  return true;
}

bool coordinator::implementation::StartIfLeaving(time_point now,
                                                 const member_state& serving) {
  if (!serving.row.leaving || now < next_leaving_) {
    return false;
  }
  next_leaving_ = now + timing().switchover_pause;
  const std::string target = ChooseTarget(now, serving);
  if (target.empty()) {
    return false;
  }
  StartPlanned(now, serving, target, "the primary is leaving");
  return true;
}

bool coordinator::implementation::StartIfStalled(time_point now,
                                                 const member_state& serving) {
  const auto& members = knowledge_.members();
  const auto stalled = static_cast<size_t>(std::count_if(
      members.begin(), members.end(),
      [&](const auto& member) { return knowledge_.Stalled(member, now); }));
  // The replicas alone must be able to acknowledge writes of a new primary.
  if (stalled < Majority(members.size()) || now < next_stall_) {
    return false;
  }
  const bool lately = now - next_stall_ < timing().stall_pause_most;
  stall_pause_ = lately && stall_pause_ > duration(0)
                     ? std::min(stall_pause_ * 2, timing().stall_pause_most)
                     : timing().stall_pause;
  next_stall_ = now + stall_pause_;
  const std::string old_primary = serving.row.name;
  StartPlanned(now, serving, "", "the replicas receive nothing from it");
  attempt_->catching_up = false;
  attempt_->excluded = old_primary;
  attempt_->planned = false;
  --counters_.planned;
  return true;
}

bool coordinator::implementation::StartIfUnhealed(time_point now,
                                                  const member_state& serving) {
  size_t above = 0;      // Members that can't follow.
  size_t accepting = 0;  // Members that can acknowledge writes.
  for (const member_state& member : knowledge_.members()) {
    if (knowledge_.Fresh(member, now)) {
      ++(member.report.promised_term > serving.report.term ? above : accepting);
    }
  }
  if (above == 0) {
    unhealed_since_.reset();
    return false;
  }
  // Without a majority that accepts its log the primary can't acknowledge
  // writes, so this is as urgent as a missing primary.
  const duration wait = accepting < Majority(knowledge_.members().size())
                            ? timing().no_primary_wait
                            : timing().heal_wait;
  if (!unhealed_since_) {
    unhealed_since_ = now;
  }
  if (now - *unhealed_since_ < wait + Jitter(wait)) {
    return false;
  }
  unhealed_since_.reset();
  StartPlanned(now, serving, serving.row.name,
               "a replica holds a higher promise and can't follow");
  attempt_->catching_up = false;
  return true;
}

void coordinator::implementation::Suspect(
    time_point now,
    const std::string& primary,
    const std::vector<std::string>& targets,
    const std::string& reason) {
  CloseCalls();
  attempt_.emplace();
  attempt_->reason = reason;
  attempt_->old_primary = primary;
  attempt_->started = now;
  for (const std::string& target : targets) {
    attempt_->targets[target];
  }
  ++counters_.suspected;
  Notify(notice_kind::kSuspected, primary, knowledge_.HighestTerm(), reason);
  Fire(now, failover_event::kSuspected);
  Confirm(now);
}

void coordinator::implementation::StartPlanned(time_point now,
                                               const member_state& serving,
                                               const std::string& target,
                                               const std::string& reason) {
  CloseCalls();
  attempt_.emplace();
  attempt_->reason = reason;
  attempt_->old_primary = serving.row.name;
  attempt_->wanted = target;
  attempt_->planned = true;
  attempt_->started = now;
  attempt_->catching_up = true;
  attempt_->catch_up_until = now + timing().catch_up_limit;
  ++counters_.planned;
  Fire(now, failover_event::kStart);
  BeginFencing(now);
}

}  // namespace tarragondale::group
