// Keeps the statements to cold members within this VM's share.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {

using step = member_statement::step;

double session_broker::implementation::ColdRate(const member& of) const {
  if (now_ >= of.record.cold_until || !configuration_) {
    return 0;
  }
  const auto limits = configuration_->groups.find(of.record.group);
  return limits == configuration_->groups.end() ? 0 : limits->second.cold_rate;
}

// Without a lease on the group's primary, this VM may have lost touch with the
// others and may not know how many send to the member now.
bool session_broker::implementation::HasAllowance(const member& to) {
  return !IsCold(to) ||
         (ValidLease(to.record.group) != nullptr &&
          cold_.Admits(to.record.id, to.record.group, ColdRate(to),
                       to.record.cold_until, now_));
}

bool session_broker::implementation::IsAllowanceTooLate(const session& of,
                                                        const member& to) {
  if (!IsCold(to)) {
    return false;
  }
  const active_statement& queued = *of.current;
  const auto next = cold_.NextAt(to.record.id, to.record.group, ColdRate(to),
                                 to.record.cold_until, now_);
  const time_point latest =
      queued.arrived +
      std::chrono::duration_cast<duration>(queued.settings.statement_timeout *
                                           options_.queue_timeout_fraction);
  return std::min(next.value_or(to.record.cold_until), to.record.cold_until) >
         latest;
}

bool session_broker::implementation::TryCold(session& of,
                                             const candidate& chosen) {
  member& to = *chosen.to;
  if (!HasAllowance(to)) {
    of.current->last_reason = fmt::format(
        "member {} has just started and gets no more statements now",
        to.record.id);
    return false;
  }
  if (link* const on = pool_.FindIdle(to, of.organisation, of)) {
    if (IsReadyOn(of, *on)) {
      AssignLink(of, *on, chosen);
      return true;
    }
    return false;
  }
  // A connection is work for the member too: one is opened at a time, and none
  // while another of the organisation is about to become idle.
  const bool pending =
      std::any_of(to.links.begin(), to.links.end(), [&](link_id id) {
        const link& each = pool_.links().at(id);
        return !each.open ||
               (each.owner == 0 && each.organisation == of.organisation);
      });
  if (!pending && of.current->opening_link == 0) {
    OpenLinkFor(of, to);
    of.current->opening_link = 0;  // Another member may become available first.
  }
  return false;
}

bool session_broker::implementation::IsReadyOn(session& of, link& on) {
  const member& to = *pool_.Find(on.member);
  if (!IsCold(to)) {
    return true;
  }
  if (!HasAllowance(to)) {
    of.current->last_reason = fmt::format(
        "member {} has just started and gets no more statements now",
        to.record.id);
    return false;
  }
  const bool begins = of.open && of.open->link == 0;
  const bool execute =
      of.current->statement.kind == statement_kind::kExecute && !begins;
  const prepared_statement* const needed =
      execute ? &of.prepared.at(of.current->statement.name) : nullptr;
  link synchronised = on;
  const std::vector<member_statement> before = Synchronise(
      synchronised, of, needed, on.begun ? SIZE_MAX : options_.max_prepared);
  if (before.empty()) {
    return true;
  }
  const member_statement& first = before.front();
  if (first.what == step::kReset) {
    on.values.clear();
    on.prepared.clear();
  } else if (first.what == step::kSet) {
    on.values[first.name] = first.argument;
  } else {
    on.prepared.insert(first.name);
  }
  Send(on, {first});
  return false;
}

void session_broker::implementation::RefuseCold(session& of, const member& to) {
  ++metrics_.cold_refused;
  const bool transaction = of.open && of.open->link != 0;
  FailStatement(
      of,
      transaction ? result_code::kTransactionAborted
                  : result_code::kDeadlineBeforeStart,
      fmt::format("it has not run; member {} has just started, and its "
                  "allowance of {} statements/s over all VMs comes too late; "
                  "retry after {} ms",
                  to.record.id, ColdRate(to), ToMs(options_.member_backoff)));
}

bool session_broker::implementation::RollBack(link& on) {
  const member& by = *pool_.Find(on.member);
  if (!HasAllowance(by) ||
      evacuations_.IsPastLimit(by.record.availability_zone, now_)) {
    // The member rolls back when the connection ends.
    CloseLink(on.id);
    dispatch_needed_ = true;
    return false;
  }
  on.begun = false;
  Send(on, {{.what = step::kRollback}});
  return true;
}

void session_broker::implementation::CountColdStatements(const link& on,
                                                         size_t statements) {
  const member& to = *pool_.Find(on.member);
  if (!IsCold(to)) {
    return;
  }
  metrics_.sent_to_cold += statements;
  for (size_t i = 0; i < statements; ++i) {
    cold_.Spend(to.record.id, to.record.group, ColdRate(to), now_);
  }
}

}  // namespace tarragondale::interactive
