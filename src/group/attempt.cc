// Carries out one change of primary: confirm, fence, promote, follow.
#include <algorithm>
#include <utility>

#include "src/group/coordinator_implementation.h"
#include "src/group/guards.h"

namespace tarragondale::group {

void coordinator::implementation::Fire(time_point now,
                                       failover_event happened) {
  if (!attempt_->chart.Fire(happened)) {
    Log(log_level::kError, log_part::kControl,
        "failover of group {} has no transition for this event in state {}",
        options_.group, attempt_->chart.StateName());
    return;
  }
  attempt_->stage_started = now;
  attempt_->repeat_at.clear();
}

void coordinator::implementation::End(time_point now,
                                      failover_event happened,
                                      notice_kind kind,
                                      const std::string& reason) {
  Fire(now, happened);
  CloseCalls();
  const std::string& member =
      attempt_->chosen.empty() ? attempt_->old_primary : attempt_->chosen;
  Notify(kind, member, attempt_->term, reason);
  attempt_.reset();
  no_primary_since_.reset();
  BackOff(now, kind);
}

void coordinator::implementation::BackOff(time_point now, notice_kind kind) {
  constexpr int kMaxDoublings = 4;
  switch (kind) {
    case notice_kind::kCompleted:
      ++counters_.completed;
      refused_streak_ = 0;
      return;
    case notice_kind::kAbandoned:
      ++counters_.abandoned;
      return;
    case notice_kind::kSuspicionCleared: {
      ++counters_.cleared;
      const int doublings = std::min(cleared_streak_++, kMaxDoublings);
      no_suspicion_before_ =
          now + std::min(timing().shortest_silence * (1 << doublings),
                         timing().longest_silence);
      return;
    }
    default:
      break;
  }
  ++(kind == notice_kind::kOvertaken ? counters_.overtaken
                                     : counters_.no_majority);
  const int doublings = std::min(refused_streak_++, kMaxDoublings - 1);
  const duration base = timing().back_off * (1 << doublings);
  no_start_before_ = now + base + Jitter(base);
}

void coordinator::implementation::CallPending(time_point now,
                                              call_kind kind,
                                              const member_state& member) {
  const auto repeat = attempt_->repeat_at.find(member.row.name);
  if (calls_.Pending(options_.group, member.row.name) ||
      (repeat != attempt_->repeat_at.end() && now < repeat->second)) {
    return;
  }
  const auto make_statement = [&]() -> wire::statement {
    switch (kind) {
      case call_kind::kFence:
        return FenceStatement(attempt_->term, attempt_->coordinator);
      case call_kind::kPromote:
        return PromoteStatement(attempt_->term, attempt_->coordinator);
      case call_kind::kFollow:
        return FollowStatement(attempt_->term, attempt_->coordinator,
                               knowledge_.Find(attempt_->chosen)->row.address);
      default:
        return StatusStatement();
    }
  };
  Call(now, kind, member, make_statement());
}

void coordinator::implementation::TakeConfirmResult(time_point now,
                                                    const call_result& ended) {
  const auto target = attempt_->targets.find(ended.member);
  if (ended.report) {
    attempt_->answered.insert(ended.member);
  }
  if (target == attempt_->targets.end()) {
    return;
  }
  const wire::member_report report =
      ended.report.value_or(wire::member_report());
  if (report.reachable) {
    target->second.Add(view_->self,
                       report.role == wire::member_role::kPrimary &&
                           report.promised_term <= report.term);
    return;
  }
  // A quick refusal is tried again once; silence took the whole limit.
  constexpr int kFailures = 2;
  if (++attempt_->failures[ended.member] >= kFailures ||
      now - attempt_->stage_started >= timing().call_limit) {
    target->second.Add(view_->self, false);
  }
}

void coordinator::implementation::AskVantagePoints(time_point now,
                                                   const std::string& member,
                                                   vote_box& votes) {
  for (const std::string& vm :
       votes.ChooseToAsk(now, timing().vantage_limit, *view_)) {
    votes.Asked(++sequence_, vm);
    actions_.emplace_back(
        send_reach_request{vm, {sequence_, options_.group, member}});
  }
}

void coordinator::implementation::Confirm(time_point now) {
  const member_state* const serving = knowledge_.Serving();
  if (serving != nullptr && serving->heard > attempt_->started &&
      !serving->lost && !attempt_->targets.contains(serving->row.name)) {
    End(now, failover_event::kReached, notice_kind::kSuspicionCleared,
        "member " + serving->row.name + " serves as primary");
    return;
  }
  bool confirmed = true;
  for (auto& [member, votes] : attempt_->targets) {
    AskVantagePoints(now, member, votes);
    const vote_box::verdict verdict = votes.Decide(*view_);
    if (verdict == vote_box::verdict::kReached) {
      End(now, failover_event::kReached, notice_kind::kSuspicionCleared,
          "fresh connections reach member " + member);
      return;
    }
    confirmed = confirmed && verdict == vote_box::verdict::kUnreachable;
  }
  for (const member_state& member : knowledge_.members()) {
    const auto target = attempt_->targets.find(member.row.name);
    const bool voted =
        target != attempt_->targets.end() && target->second.Has(view_->self);
    if (!attempt_->answered.contains(member.row.name) && !voted) {
      CallPending(now, call_kind::kStatus, member);
    }
  }
  const bool majority =
      attempt_->answered.size() >= Majority(knowledge_.members().size());
  if (confirmed && majority) {
    Fire(now, failover_event::kConfirmed);
    BeginFencing(now);
  } else if (now - attempt_->stage_started >= timing().confirm_limit) {
    if (confirmed) {
      End(now, failover_event::kTimedOut, notice_kind::kNoMajority,
          "fewer than a majority of the members can be reached");
    } else {
      End(now, failover_event::kReached, notice_kind::kSuspicionCleared,
          "too few vantage points confirm it");
    }
  }
}

void coordinator::implementation::BeginFencing(time_point now) {
  CloseCalls();
  ++attempts_;
  attempt_->term = NextTerm(knowledge_.HighestTerm(), highest_used_term_);
  highest_used_term_ = attempt_->term;
  attempt_->coordinator = view_->self + "/" + std::to_string(options_.run) +
                          "/" + std::to_string(attempts_);
  attempt_->fenced.clear();
  attempt_->majority_at.reset();
  attempt_->chosen.clear();
  attempt_->stage_started = now;
  attempt_->repeat_at.clear();
  if (attempt_->lost_candidates == 0) {
    ++counters_.started;
    Notify(notice_kind::kStarted, attempt_->old_primary, attempt_->term,
           attempt_->reason);
  }
}

void coordinator::implementation::Fence(time_point now) {
  if (attempt_->catching_up) {
    CatchUp(now);
  }
  for (const member_state& member : knowledge_.members()) {
    const bool wait =
        attempt_->catching_up && member.row.name != attempt_->old_primary;
    if (!wait && !attempt_->fenced.contains(member.row.name)) {
      CallPending(now, call_kind::kFence, member);
    }
  }
  const size_t members = knowledge_.members().size();
  const size_t promised = Promises();
  if (!attempt_->catching_up && HasFenceMajority(promised, members)) {
    if (!attempt_->majority_at) {
      attempt_->majority_at = now;
    }
    if (attempt_->fenced.size() == members ||
        now - *attempt_->majority_at >= timing().fence_grace) {
      BeginPromoting(now);
      return;
    }
  }
  if (now - attempt_->stage_started >= timing().fence_limit) {
    End(now, failover_event::kTimedOut, notice_kind::kNoMajority,
        "fewer than a majority of the members promised the term");
  }
}

void coordinator::implementation::CatchUp(time_point now) {
  const member_state* const target = knowledge_.Find(attempt_->wanted);
  const auto fenced = attempt_->fenced.find(attempt_->old_primary);
  if (target == nullptr || now >= attempt_->catch_up_until) {
    attempt_->catching_up = false;
    return;
  }
  if (fenced == attempt_->fenced.end()) {
    return;
  }
  const log_position last{fenced->second.last_term, fenced->second.position};
  const log_position held{target->report.last_term, target->report.position};
  if (held >= last) {
    attempt_->catching_up = false;
    return;
  }
  CallPending(now, call_kind::kStatus, *target);
}

void coordinator::implementation::TakeFenceResult(time_point now,
                                                  const call_result& ended) {
  if (ended.kind != call_kind::kFence) {
    return;
  }
  if (IsPromise(ended, attempt_->term)) {
    attempt_->fenced[ended.member] =
        ended.report.value_or(knowledge_.Find(ended.member)->report);
  } else if (ended.sqlstate == database::kStalePromise) {
    End(now, failover_event::kOvertaken, notice_kind::kOvertaken,
        "member " + ended.member + " holds a higher promise");
  }
}

size_t coordinator::implementation::Promises() const {
  return attempt_->fenced.size() -
         (attempt_->fenced.contains(attempt_->excluded) ? 1 : 0);
}

int coordinator::implementation::Preference(
    const config::member_row& row) const {
  const member_state* old = nullptr;
  size_t in_region = 0;
  for (const member_state& member : knowledge_.members()) {
    in_region += member.row.region == row.region ? 1 : 0;
    if (member.row.name == attempt_->old_primary) {
      old = &member;
    }
  }
  // A primary in the region of most members acknowledges without the slow
  // link; then, callers of the old primary's zone are near.
  const bool home = in_region >= Majority(knowledge_.members().size());
  const bool same_zone =
      old != nullptr && old->row.availability_zone == row.availability_zone;
  return (home ? 0 : 2) + (same_zone ? 0 : 1);
}

void coordinator::implementation::BeginPromoting(time_point now) {
  CloseCalls();
  std::vector<candidate> candidates;
  for (const member_state& member : knowledge_.members()) {
    const auto fenced = attempt_->fenced.find(member.row.name);
    if (fenced == attempt_->fenced.end() ||
        member.row.name == attempt_->excluded) {
      continue;
    }
    candidates.push_back({member.row.name,
                          {fenced->second.last_term, fenced->second.position},
                          member.row.leaving,
                          Preference(member.row)});
  }
  attempt_->chosen =
      candidates[ChooseCandidate(candidates, attempt_->wanted)].name;
  Fire(now, failover_event::kFenced);
  Promote(now);
}

void coordinator::implementation::Promote(time_point now) {
  const member_state* const chosen = knowledge_.Find(attempt_->chosen);
  if (chosen == nullptr ||
      now - attempt_->stage_started >= timing().promote_limit) {
    LoseCandidate(now);
    return;
  }
  CallPending(now, call_kind::kPromote, *chosen);
}

void coordinator::implementation::LoseCandidate(time_point now) {
  // Each loss costs `promote_limit`; the bound keeps the attempt below 9 s.
  constexpr int kLostCandidates = 3;
  if (++attempt_->lost_candidates >= kLostCandidates) {
    End(now, failover_event::kTimedOut, notice_kind::kNoMajority,
        "no chosen member could be promoted");
    return;
  }
  Fire(now, failover_event::kCandidateLost);
  BeginFencing(now);
}

void coordinator::implementation::TakePromoteResult(time_point now,
                                                    const call_result& ended) {
  if (ended.kind != call_kind::kPromote || ended.member != attempt_->chosen) {
    return;
  }
  if (ended.Succeeded()) {
    wire::member_report report = attempt_->fenced[ended.member];
    report.role = wire::member_role::kPrimary;
    report.term = attempt_->term;
    report.promised_term = attempt_->term;
    report.age_ms = 0;
    knowledge_.Learn(now, report, attempt_->coordinator);
    ++counters_.promoted;
    Notify(notice_kind::kPromoted, attempt_->chosen, attempt_->term,
           attempt_->reason);
    Fire(now, failover_event::kPromoted);
    // Others may not have promised in time; a follow call raises the promise.
    CloseCalls();
  } else if (ended.sqlstate == database::kPromiseMismatch ||
             ended.sqlstate == database::kStalePromise) {
    End(now, failover_event::kOvertaken, notice_kind::kOvertaken,
        "member " + ended.member + " holds a higher promise");
  }
}

void coordinator::implementation::Follow(time_point now) {
  for (const member_state& member : knowledge_.members()) {
    if (member.row.name != attempt_->chosen &&
        !attempt_->following.contains(member.row.name)) {
      CallPending(now, call_kind::kFollow, member);
    }
  }
  const bool all =
      attempt_->following.size() + 1 >= knowledge_.members().size();
  if (all || now - attempt_->stage_started >= timing().follow_limit) {
    const size_t rest =
        knowledge_.members().size() - 1 - attempt_->following.size();
    End(now, failover_event::kFollowed, notice_kind::kCompleted,
        all ? "all members follow"
            : std::to_string(rest) + " members do not answer");
  }
}

void coordinator::implementation::TakeFollowResult(time_point now,
                                                   const call_result& ended) {
  if (ended.kind != call_kind::kFollow) {
    return;
  }
  if (ended.Succeeded()) {
    attempt_->following.insert(ended.member);
  } else if (ended.sqlstate == database::kStalePromise) {
    End(now, failover_event::kOvertaken, notice_kind::kOvertaken,
        "member " + ended.member + " holds a higher promise");
  }
}

}  // namespace tarragondale::group
