// Timeouts, idle limits and the drain of the session broker.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

using step = member_statement::step;

// For this long after the start of a check of an unresponsive member,
// statements cause neither another check of the member nor a new connection to
// it. An answer of the member ends this time early; a failed connection attempt
// replaces what is left of it by `member_backoff`.
constexpr duration kMinCheckInterval = milliseconds(400);

duration FractionOfTimeout(const route& settings, double fraction) {
  return std::chrono::duration_cast<duration>(settings.statement_timeout *
                                              fraction);
}

}  // namespace

// Fails or resends statements that wait or run too long, and checks members
// that do not respond. The other waiting statements are dispatched again.
void session_broker::implementation::SweepStatements() {
  const std::vector<session_id> running(active_.begin(), active_.end());
  for (const session_id id : running) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end() || !found->second.current) {
      continue;
    }
    session& of = found->second;
    if (now_ >= of.current->deadline) {
      TimeOutStatement(of);
    } else if (of.current->link == 0) {
      if (now_ >= of.current->arrived +
                      FractionOfTimeout(of.current->settings,
                                        options_.queue_timeout_fraction)) {
        TimeOutStatement(of);
      } else {
        dispatch_needed_ = true;
      }
    } else if (!ResendSlowRead(of)) {
      member* const by = pool_.Find(pool_.FindLink(of.current->link)->member);
      const bool silent =
          now_ - of.current->sent > options_.unresponsive_check_delay &&
          (!by->health.last_answer ||
           *by->health.last_answer < of.current->sent) &&
          now_ >= by->retry_at;
      if (silent && !checks_.contains(by->record.id)) {
        by->retry_at = now_ + kMinCheckInterval;
        StartCheck(*by, std::nullopt);
      }
    }
  }
}

// Fails the current statement because it has waited or run for too long.
void session_broker::implementation::TimeOutStatement(session& of) {
  active_statement& late = *of.current;
  if (late.link == 0) {
    const bool transaction = of.open && of.open->link != 0;
    return FailStatement(
        of,
        transaction ? result_code::kTransactionAborted
                    : result_code::kDeadlineBeforeStart,
        fmt::format("it has not run; {}; retry after {} ms",
                    late.last_reason.empty() ? "no connection became free"
                                             : late.last_reason,
                    ToMs(options_.member_backoff)));
  }
  LearnUnanswered(of);
  // The answer may still arrive on the link, so the link cannot be reused.
  const link_id on = late.link;
  const bool begun = pool_.FindLink(on)->begun;
  const bool commit = late.statement.kind == statement_kind::kCommit;
  const bool unknown = late.writes && (!of.open || (begun && commit));
  const result_code code = of.open && !unknown
                               ? result_code::kTransactionAborted
                               : result_code::kUnknownTimeout;
  if (of.open) {
    of.open->link = 0;
  }
  pool_.FindLink(on)->owner = 0;
  CloseLink(on);
  FailStatement(of, code, "the statement's time limit was exceeded");
}

// Closes the link of a slow read outside a transaction and resends the read,
// since the answer may be lost or the connection dead. A replica that did not
// answer is not chosen again. Returns false if the statement is not such a
// read, has no attempt left or has not run long enough.
bool session_broker::implementation::ResendSlowRead(session& of) {
  active_statement& late = *of.current;
  const bool may_repeat = !of.open && !late.writes;
  if (!may_repeat ||
      now_ - late.sent <
          FractionOfTimeout(late.settings, options_.resend_timeout_fraction) ||
      late.attempts >= options_.max_attempts) {
    return false;
  }
  LearnUnanswered(of);
  FailLink(late.link, "no answer arrived in time");
  return true;
}

// Rolls back transactions that have been idle for longer than
// `transaction_idle_limit`.
void session_broker::implementation::SweepSessions() {
  if (!configuration_) {
    return;
  }
  for (auto& [id, of] : sessions_) {
    if (of.open && !of.open->failed && !of.current &&
        now_ - of.open->last_used > configuration_->transaction_idle_limit) {
      Log(log_level::kInfo,
          "transaction of session {} is rolled back: idle for {} ms", id,
          ToMs(now_ - of.open->last_used));
      FailTransaction(of);
    }
  }
}

// Closes idle links that have been unused for too long, hold large session
// values of an earlier session, exceed the quota, or
// lead to a draining or unlisted member other than the primary. Ends status
// checks that take too long, and closes links without an owner on which an
// answer is overdue. Starts status checks of failing members.
void session_broker::implementation::SweepLinks() {
  std::vector<link_id> unused;
  std::vector<link_id> late;
  for (const auto& [id, each] : pool_.links()) {
    const member& of = *pool_.Find(each.member);
    const bool unavailable = !of.listed || of.record.draining;
    const bool expired =
        each.idle() && (now_ - each.last_used > options_.idle_link_timeout ||
                        each.value_bytes() > options_.max_idle_value_bytes ||
                        (unavailable && !IsPrimary(of)));
    const bool check_is_late =
        each.check && now_ - each.opened_at > options_.check_timeout;
    const bool orphan_is_late =
        each.owner == 0 && !each.awaited.empty() &&
        now_ - each.awaited.front().sent > options_.connect_timeout * 2;
    if (expired) {
      unused.push_back(id);
    } else if (check_is_late || orphan_is_late) {
      late.push_back(id);
    }
  }
  for (const link_id id : unused) {
    CloseLink(id);
  }
  for (const link_id id : late) {
    FailLink(id, "no answer arrived in time");
  }
  if (!configuration_) {
    return;
  }
  for (auto& [id, of] : pool_.members()) {
    if (of.health.failing_since && of.listed && now_ >= of.retry_at) {
      StartCheck(of, std::nullopt);
    }
    // The quota shrinks, for example, when the fleet or the primary changes.
    // Each sweep closes at most one excess link per member.
    if (of.links.size() <= LinkQuotaOf(of)) {
      continue;
    }
    // `FindReplaceable` skips links of the given organisation. No organisation
    // is named "\n", so it considers all idle links.
    if (const link* const idle = pool_.FindReplaceable(of, "\n")) {
      CloseLink(idle->id);
    }
  }
}

// Rolls back idle transactions and closes sessions at the times that
// `broker_options` sets for a drain. Emits `drained` once no session is left
// and `drain_notice` has passed.
void session_broker::implementation::SweepDrain() {
  const duration since =
      std::chrono::duration_cast<duration>(now_ - *draining_since_);
  std::vector<session_id> ends;
  for (auto& [id, of] : sessions_) {
    const bool idle = !of.current && !of.paced && of.pending.empty();
    if (of.open && !of.open->failed && idle &&
        since > options_.drain_transactions) {
      FailTransaction(of);
    }
    if ((idle && !of.open && since > options_.drain_notice) ||
        since > options_.drain_limit) {
      ends.push_back(id);
    }
  }
  for (const session_id id : ends) {
    actions_.push_back(close_caller{id});
    EndSession(id);
  }
  if (sessions_.empty() && since > options_.drain_notice && !drained_) {
    drained_ = true;
    actions_.push_back(drained{});
  }
}

}  // namespace tarragondale::interactive
