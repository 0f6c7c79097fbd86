// Handles answers and failures of links to members.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

using step = member_statement::step;

bool IsCallersStatement(step what) {
  return what == step::kRun || what == step::kExecute || what == step::kCommit;
}

// Service times are averaged over about this many answers.
constexpr int kServiceTimeSamples = 8;

result_code CodeFor(member_code code) {
  switch (code) {
    case member_code::kDone:
      return result_code::kOk;
    case member_code::kBusy:
      return result_code::kOverloaded;
    case member_code::kLagging:
      return result_code::kNoFreshReplica;
    case member_code::kReadOnly:
      return result_code::kNoPrimary;
    case member_code::kWrongMember:
    case member_code::kConnectionCapReached:
      return result_code::kDatabaseUnavailable;
    case member_code::kUnknownStatement:
      return result_code::kPreparedStatementUnknown;
    case member_code::kFailed:
    case member_code::kOther:
      return result_code::kStatementFailed;
    case member_code::kTimeout:
      return result_code::kUnknownTimeout;
  }
  return result_code::kInternal;
}

}  // namespace

void session_broker::implementation::On(const link_opened& event) {
  link* const opened = pool_.FindLink(event.link);
  if (opened == nullptr) {
    actions_.push_back(close_link{event.link});
    return;
  }
  opened->open = true;
  opened->opened_at = now_;
  opened->last_used = now_;
  member* const of = pool_.Find(opened->member);
  pool_.OnAnswer(*of, now_);
  if (opened->check) {
    const check& pending = checks_.at(opened->member);
    member_statement status{.what = step::kStatus};
    if (pending.demote_term) {
      status = {.what = step::kDemote,
                .argument = std::to_string(*pending.demote_term)};
    }
    return Send(*opened, {std::move(status)});
  }
  dispatch_needed_ = true;
}

void session_broker::implementation::On(const link_refused& event) {
  link* const refused = pool_.FindLink(event.link);
  if (refused == nullptr) {
    return;
  }
  member* const of = pool_.Find(refused->member);
  // A refusal counts as an answer of the member, whatever its code, since it
  // shows that something responds at the address.
  pool_.OnAnswer(*of, now_);
  of->connection_cap_retry_at = now_ + options_.connection_cap_backoff;
  Log(log_level::kInfo,
      "member {} refused a connection with {}; this VM has {} open",
      of->record.id, MemberCodeName(event.code), of->links.size());
  ++metrics_.links_failed;
  FailLink(event.link, "the member refused the connection");
}

void session_broker::implementation::On(const link_lost& event) {
  const link* const lost = pool_.FindLink(event.link);
  if (lost == nullptr) {
    return;
  }
  ++metrics_.links_failed;
  member* const of = pool_.Find(lost->member);
  Log(log_level::kInfo, "connection {} to member {} is lost: {}", event.link,
      of->record.id, event.reason);
  const bool was_check = lost->check;
  if (!lost->open) {
    pool_.OnFailure(*of, now_);
  }
  FailLink(event.link, event.reason);
  if (event.connected && !was_check) {
    // Checks whether the member failed or only this connection.
    StartCheck(*of, std::nullopt);
  }
}

void session_broker::implementation::On(const link_answered& event) {
  link* const on = pool_.FindLink(event.link);
  if (on == nullptr || on->awaited.empty()) {
    return;
  }
  const awaited_answer awaited = on->awaited.front();
  on->awaited.pop_front();
  on->last_used = now_;
  member* const of = pool_.Find(on->member);
  pool_.OnAnswer(*of, now_);
  if (event.answer.position) {
    of->applied = event.answer.position;
  }
  if (on->check) {
    const std::string id = on->member;
    CloseLink(on->id);
    return FinishCheck(id, event.answer.status);
  }
  ObservePosition(*on, awaited, event.answer);
  const auto owner = sessions_.find(on->owner);
  if (owner == sessions_.end()) {
    if (event.answer.code != member_code::kDone &&
        !IsCallersStatement(awaited.what)) {
      return CloseLink(on->id);  // The link's session state is unknown.
    }
    if (!on->awaited.empty()) {
      return;
    }
    if (event.answer.state != transaction_state::kIdle) {
      // The transaction is still open, for example after a failed commit.
      return CloseLink(on->id);
    }
    return ReleaseLink(*on);
  }
  if (awaited.what == step::kBegin || awaited.what == step::kBeginReadOnly) {
    return OnBeginAnswer(owner->second, *on, event.answer);
  }
  if (IsCallersStatement(awaited.what)) {
    const auto took = std::chrono::duration_cast<duration>(now_ - awaited.sent);
    of->service_time += (took - of->service_time) / kServiceTimeSamples;
    LearnResponse(owner->second, *on, awaited, event.answer.code);
    return OnStatementAnswer(owner->second, *on, awaited, event.answer);
  }
  if (event.answer.code != member_code::kDone) {
    FailLink(on->id, "the session state could not be set on the connection");
  }
}

void session_broker::implementation::OnBeginAnswer(
    session& of,
    link& on,
    const member_answer& answer) {
  if (answer.code == member_code::kDone) {
    on.begun = true;
    of.open->link = on.id;
    if (of.current->as_primary && !OnLeasedPrimary(of, on)) {
      return FailLink(on.id, "this VM's lease to use the primary ended");
    }
    if (FailMisplacedTransaction(of, on)) {
      return;
    }
    if (IsCold(*pool_.Find(on.member))) {
      // The statement waits for an allowance of its own.
      of.current->link = 0;
      Enqueue(of);
      dispatch_needed_ = true;
      return;
    }
    return SendStatement(of, on, std::nullopt);
  }
  of.current->link = 0;
  ReleaseLink(on);
  OnStatementError(of, on, answer);
}

void session_broker::implementation::OnStatementAnswer(
    session& of,
    link& on,
    const awaited_answer& awaited,
    member_answer answer) {
  if (answer.code != member_code::kDone) {
    if (!of.open) {
      of.current->link = 0;
      ReleaseLink(on);
    }
    return OnStatementError(of, on, answer);
  }
  const bool by_primary = IsPrimary(*pool_.Find(on.member));
  const bool needs_lease = of.current->primary_only || of.current->as_primary;
  if (needs_lease && !OnLeasedPrimary(of, on)) {
    // The primary may have been replaced before it answered.
    return FailLink(on.id, "this VM's lease to use the primary ended");
  }
  pool_.Find(on.member)->limit.OnDone(now_);
  ++(by_primary ? metrics_.done_by_primary : metrics_.done_by_replica);
  if (of.current->writes && answer.position &&
      (!of.open || awaited.what == step::kCommit)) {
    of.written = std::max(of.written, *answer.position);
  }
  if (awaited.what == step::kCommit) {
    on.begun = false;
    of.open.reset();
  }
  if (of.open) {
    of.open->last_used = now_;
  } else {
    ReleaseLink(on);
  }
  of.current.reset();
  active_.erase(of.id);
  Answer(of, result_code::kOk, "", &answer);
  StartNext(of);
}

// Handles a member's error answer to a statement. The caller of this function
// has already released the link, unless a transaction is open on it.
void session_broker::implementation::OnStatementError(
    session& of,
    link& on,
    const member_answer& answer) {
  active_statement& failed = *of.current;
  member* const by = pool_.Find(on.member);
  const bool in_transaction = of.open && of.open->link != 0;
  failed.last_reason = fmt::format("member {} answered {}", by->record.id,
                                   MemberCodeName(answer.code));
  switch (answer.code) {
    case member_code::kBusy:
      // The concurrency limit paces retries, so this is not counted as an
      // attempt.
      by->limit.OnBusy(pool_.Running(*by), now_);
      failed.attempts = std::max(0, failed.attempts - 1);
      if (RetryLater(of, failed.last_reason, options_.busy_backoff)) {
        return;
      }
      break;
    case member_code::kLagging:
      ++metrics_.lagging;
      by->lagging_at = now_;
      if (!in_transaction) {
        failed.excluded.push_back(by->record.id);
        if (RetryLater(of, failed.last_reason, duration(0))) {
          return;
        }
      }
      break;
    case member_code::kReadOnly:
      // The member is no longer primary. The next attempt may find the new one.
      if (!in_transaction &&
          RetryLater(of, failed.last_reason, options_.busy_backoff)) {
        return;
      }
      break;
    case member_code::kUnknownStatement:
      on.prepared.clear();
      if (!in_transaction &&
          RetryLater(of, failed.last_reason, options_.busy_backoff)) {
        return;
      }
      break;
    case member_code::kFailed:
    case member_code::kTimeout:
      if (!in_transaction && !failed.writes) {
        failed.excluded.push_back(by->record.id);
        if (RetryLater(of, failed.last_reason, duration(0))) {
          return;
        }
      }
      break;
    case member_code::kDone:
    case member_code::kWrongMember:
    case member_code::kConnectionCapReached:
    case member_code::kOther:
      break;
  }
  FailStatement(of, CodeFor(answer.code), failed.last_reason);
}

// Schedules another attempt of the current statement. The caller must ensure
// that the statement has not run or does not change data. Returns false if no
// attempt or time is left.
bool session_broker::implementation::RetryLater(session& of,
                                                std::string reason,
                                                duration pause) {
  active_statement& again = *of.current;
  if (again.attempts >= options_.max_attempts || now_ >= again.deadline) {
    return false;
  }
  ++metrics_.retries;
  again.link = 0;
  again.last_reason = std::move(reason);
  again.not_before = now_ + pause;
  Enqueue(of);
  dispatch_needed_ = true;
  return true;
}

// Records the log position in an answer of the primary if this VM's lease on it
// is valid. The position covers all commits acknowledged before the statement
// was sent. Answers within a transaction, except to its begin, are ignored,
// since they may carry the position at its begin.
void session_broker::implementation::ObservePosition(
    const link& on,
    const awaited_answer& awaited,
    const member_answer& answer) {
  const member& of = *pool_.Find(on.member);
  const primary_lease* const lease = ValidLease(of.record.group);
  const bool outside_transaction = answer.state == transaction_state::kIdle ||
                                   awaited.what == step::kBegin ||
                                   awaited.what == step::kBeginReadOnly;
  if (!answer.position || lease == nullptr || lease->member != on.member ||
      !outside_transaction) {
    return;
  }
  AddPosition(of.record.group, {*answer.position, awaited.sent});
}

void session_broker::implementation::AddPosition(
    const std::string& group,
    const observed_position& observation) {
  positions_.try_emplace(group, position_history(options_.position_retention))
      .first->second.Add(observation);
}

bool session_broker::implementation::OnLeasedPrimary(const session& of,
                                                     const link& on) const {
  const primary_lease* const lease = ValidLease(of.current->settings.group);
  return lease != nullptr && lease->member == on.member;
}

void session_broker::implementation::ReleaseLink(link& of) {
  of.owner = 0;
  of.begun = false;
  of.last_used = now_;
  pool_.Touch(of);
  dispatch_needed_ = true;
}

void session_broker::implementation::CloseLink(link_id id) {
  actions_.push_back(close_link{id});
  pool_.RemoveLink(id);
}

// Closes a link. A read outside a transaction, or a transaction whose begin is
// unanswered, is retried if an attempt and time are left. A transaction that is
// open on the link fails, and so does a write outside a transaction, since it
// may have taken effect. A status check ends without a status. Statements that
// waited for the link to open continue to wait.
void session_broker::implementation::FailLink(link_id id,
                                              const std::string& reason) {
  const link* const found = pool_.FindLink(id);
  if (found == nullptr) {
    return;
  }
  const link lost = *found;
  CloseLink(id);
  dispatch_needed_ = true;
  if (lost.check) {
    return FinishCheck(lost.member, std::nullopt);
  }
  const auto owner = sessions_.find(lost.owner);
  if (owner != sessions_.end()) {
    return FailLinkOwner(owner->second, lost, reason);
  }
  for (const session_id waiting_id : active_) {
    active_statement& each = *sessions_.at(waiting_id).current;
    if (each.opening_link == id) {
      each.opening_link = 0;
    }
  }
}

void session_broker::implementation::FailLinkOwner(session& of,
                                                   const link& on,
                                                   const std::string& reason) {
  if (of.open && of.open->link == on.id) {
    of.open->link = 0;
    of.open->failed = true;
    if (!of.current) {
      // No statement awaits an answer, so the caller gets the error with its
      // next statement.
      Log(log_level::kInfo, "transaction of session {} is lost: {}", of.id,
          reason);
      return;
    }
    const bool committing =
        of.current->statement.kind == statement_kind::kCommit &&
        of.current->link == on.id && of.current->writes;
    return FailStatement(of,
                         committing ? result_code::kUnknownConnectionLost
                                    : result_code::kTransactionAborted,
                         reason);
  }
  if (!of.current) {
    return;
  }
  // No transaction is open on the link, or its begin is unanswered.
  of.current->link = 0;
  if (!of.current->writes || of.open) {
    of.current->excluded.push_back(on.member);
    if (RetryLater(of, reason, duration(0))) {
      return;
    }
    return FailStatement(of, result_code::kDatabaseUnavailable, reason);
  }
  FailStatement(of, result_code::kUnknownConnectionLost, reason);
}

// --- Status checks ---

void session_broker::implementation::StartCheck(
    member& of,
    std::optional<int64_t> demote_term) {
  if (checks_.contains(of.record.id)) {
    return;
  }
  link& opened = pool_.AddLink(of, "", now_);
  opened.check = true;
  checks_[of.record.id] = {opened.id, demote_term};
  actions_.push_back(open_link{opened.id, of.record.id, of.record.address,
                               of.record.group, "", options_.check_timeout});
}

void session_broker::implementation::FinishCheck(
    const std::string& member,
    std::optional<member_status> status) {
  checks_.erase(member);
  actions_.push_back(member_checked{member, status});
}

// --- Transactions and statements on primaries ---

size_t session_broker::implementation::CountPrimaryWork(std::string_view group,
                                                        int64_t epoch) const {
  const auto lease = primary_leases_.find(group);
  if (lease == primary_leases_.end() || lease->second.epoch >= epoch) {
    return 0;
  }
  const member* const primary = pool_.Find(lease->second.member);
  if (primary == nullptr) {
    return 0;
  }
  return static_cast<size_t>(
      std::count_if(primary->links.begin(), primary->links.end(),
                    [&](link_id id) { return pool_.links().at(id).busy(); }));
}

std::vector<action> session_broker::implementation::StopPrimaryWork(
    time_point now,
    std::string_view group,
    int64_t epoch) {
  now_ = std::max(now_, now);
  actions_.clear();
  EnforceEvacuationLimits();
  const auto lease = primary_leases_.find(group);
  if (lease != primary_leases_.end() && lease->second.epoch < epoch) {
    const std::string former = lease->second.member;
    lease->second.member.clear();
    lease->second.epoch = epoch;
    if (const member* const primary = pool_.Find(former)) {
      const std::set<link_id> all = primary->links;
      for (const link_id id : all) {
        // Statements that follow a failed one may have closed other links.
        const link* const on = pool_.PeekLink(id);
        if (on != nullptr && on->busy()) {
          FailLink(id, "the primary is being replaced");
        }
      }
    }
  }
  if (dispatch_needed_) {
    DispatchWaiting();
  }
  return std::move(actions_);
}

}  // namespace tarragondale::interactive
