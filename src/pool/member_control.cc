// Control connection of a member gateway: status and replication polls, the
// check of silent connections, and reports.
#include <algorithm>

#include "src/pool/member_gateway.h"

namespace tarragondale::pool {
namespace {

constexpr char kStatusSql[] = "SELECT * FROM tarragondale_status()";
constexpr char kReplicationSql[] = "SELECT * FROM tarragondale_replication()";

bool HasInFlight(const connection& target, control_query wanted) {
  return std::any_of(
      target.in_flight.begin(), target.in_flight.end(),
      [wanted](const sent_query& query) { return query.control == wanted; });
}

}  // namespace

connection* member_gateway::FindUse(connection_use use) {
  for (auto& [id, target] : connections_.all()) {
    if (target.use == use) {
      return &target;
    }
  }
  return nullptr;
}

// When a connection counts as silent; none if nothing is in flight on it.
std::optional<time_point> member_gateway::SilentAt(
    const connection& target) const {
  if (!target.open) {
    return target.since + monitor_.Limit();
  }
  if (target.in_flight.empty()) {
    return std::nullopt;
  }
  return target.WaitingSince() + (target.in_flight.front().may_run_long
                                      ? statement_limit_.Limit()
                                      : monitor_.Limit());
}

bool member_gateway::IsSilent(time_point now, const connection& target) const {
  const auto silent_at = SilentAt(target);
  return silent_at && *silent_at <= now;
}

void member_gateway::DriveControl(time_point now) {
  connection* control = FindUse(connection_use::kControl);
  if (control != nullptr && !control->open && IsSilent(now, *control)) {
    connections_.Close(control->id);
    OnFreshFailed(now);
    control = nullptr;
  }
  if (control == nullptr) {
    const bool checking = FindUse(connection_use::kCheck) != nullptr;
    if (!checking && now >= connections_.retry_at()) {
      connections_.Open(now, connection_use::kControl, Budget());
    }
  } else if (control->open) {
    if (now >= monitor_.next_poll() &&
        !HasInFlight(*control, control_query::kStatus)) {
      ++context_.metrics.status_polls;
      monitor_.PollSent(now);
      connections_.Send(now, *control, {kStatusSql, {}}, false,
                        control_query::kStatus);
    }
    const auto evidence_poll = evidence_.NextPoll();
    if (evidence_poll && *evidence_poll <= now) {
      ++context_.metrics.evidence_polls;
      evidence_.PollSent();
      connections_.Send(now, *control, {kReplicationSql, {}}, false,
                        control_query::kReplication);
    }
  }
  if (!monitor_.reachable() && monitor_.known() &&
      now >= monitor_.next_report()) {
    SendReports(now);
  }
}

void member_gateway::OnControlAnswer(time_point now,
                                     connection& source,
                                     const sent_query& query,
                                     const database::query_finished& answer) {
  if (query.control == control_query::kReplication) {
    OnReplication(now, answer);
    return;
  }
  const auto report = database::ParseStatus(answer.result);
  if (!answer.sqlstate.empty() || !report) {
    const database::connection_id id = source.id;
    Lose(now, id, true);
    OnFreshFailed(now);
    return;
  }
  if (report->term != table_term_) {
    table_term_ = report->term;
    table_exists_ = false;  // A failover may have lost its creation.
  }
  monitor_.OnStatus(now, query.sent, *report);
  if (source.use == connection_use::kCheck) {
    OnFreshWorks(now, source);
  }
  SendReports(now);
}

void member_gateway::OnReplication(time_point now,
                                   const database::query_finished& answer) {
  const auto rows = database::ParseReplication(answer.result);
  if (!answer.sqlstate.empty() || !rows) {
    evidence_.PollLost(now);
    monitor_.PollNow(now);
    return;
  }
  for (auto& [waiter, state] :
       evidence_.PollAnswered(now, *rows, member_names_, member_.name)) {
    if (state == evidence_state::kHeld) {
      TouchTransaction(now, waiter.pending->request);
      Answer(waiter.pending, std::move(waiter.result));
    } else {
      FailEvidence(now, waiter.pending, state);
    }
  }
}

// A fresh connection works: silent ones are broken and are replaced.
void member_gateway::OnFreshWorks(time_point now, connection& fresh) {
  std::vector<database::connection_id> silent;
  bool control_works = false;
  for (const auto& [id, target] : connections_.all()) {
    const bool is_silent = id != fresh.id && IsSilent(now, target);
    if (is_silent) {
      silent.push_back(id);
    }
    control_works =
        control_works || (target.use == connection_use::kControl && !is_silent);
  }
  if (!control_works) {
    fresh.use = connection_use::kControl;
  } else if (connections_.Count(connection_use::kWork) < WorkLimit()) {
    fresh.use = connection_use::kWork;
    fresh.since = now;
  } else {
    connections_.Close(fresh.id);
  }
  CloseSilent(now, silent);
}

void member_gateway::CloseSilent(
    time_point now,
    const std::vector<database::connection_id>& silent) {
  for (const database::connection_id id : silent) {
    const connection* const target = connections_.Find(id);
    if (!target->in_flight.empty() && target->in_flight.front().may_run_long) {
      // The limit rises, so that a statement that is slow and not stuck gets
      // through at a later attempt.
      statement_limit_.Add(statement_limit_.Limit());
    }
    ++context_.metrics.connections_silent;
    Lose(now, id, true);
  }
}

// A fresh connection failed. If the control connection does not answer
// either, the member can't be reached.
void member_gateway::OnFreshFailed(time_point now) {
  connections_.NoteFailure(now);
  check_after_ = connections_.retry_at();
  const connection* const control = FindUse(connection_use::kControl);
  if (control != nullptr && control->open && !IsSilent(now, *control)) {
    return;
  }
  const bool changed = monitor_.OnUnreachable(now);
  std::vector<database::connection_id> silent;
  for (const auto& [id, target] : connections_.all()) {
    if (target.open && IsSilent(now, target)) {
      silent.push_back(id);
    }
  }
  CloseSilent(now, silent);
  if (changed) {
    RefuseQueued(result_code::kDatabaseUnavailable,
                 "the member can't be reached");
    SendReports(now);
  }
}

void member_gateway::CheckSilence(time_point now) {
  std::vector<database::connection_id> silent;
  std::vector<database::connection_id> unopened;
  for (const auto& [id, target] : connections_.all()) {
    if (IsSilent(now, target) && target.use != connection_use::kCheck) {
      if (target.open) {
        silent.push_back(id);
      } else if (target.use == connection_use::kWork) {
        unopened.push_back(id);
      }
    }
  }
  for (const database::connection_id id : unopened) {
    connections_.Close(id);
    connections_.NoteFailure(now);
  }
  if (connection* const check = FindUse(connection_use::kCheck)) {
    if (check->open && check->in_flight.empty()) {
      connections_.Send(now, *check, {kStatusSql, {}}, false,
                        control_query::kStatus);
    } else if (IsSilent(now, *check)) {
      connections_.Close(check->id);
      OnFreshFailed(now);
    }
    return;
  }
  if (silent.empty() || now < check_after_) {
    return;
  }
  if (connections_.Open(now, connection_use::kCheck, Budget()) == nullptr) {
    // A budget without room for a check: make room instead.
    CloseSilent(now, silent);
  }
}

void member_gateway::OnInterest(time_point now, const std::string& vm) {
  monitor_.AddInterest(now, vm);
  // While a poll is overdue, the last status proves nothing: a coordinator
  // would take the report for a sign of life and end its suspicion. The answer
  // to the poll, or its failure, sends the next report.
  if (monitor_.known() && serving() && !monitor_.Overdue(now)) {
    SendReport(now, vm);
  }
}

void member_gateway::SendReports(time_point now) {
  monitor_.ReportSent(now);
  if (!serving()) {
    return;
  }
  for (const std::string& vm : monitor_.Interested(now)) {
    SendReport(now, vm);
  }
}

void member_gateway::SendReport(time_point now, const std::string& vm) {
  ++context_.metrics.reports;
  context_.actions.emplace_back(
      send_report{vm,
                  {pool_.group,
                   {monitor_.Report(now, member_.name, QueueLength(),
                                    service_time_.Mean())}}});
}

std::optional<time_point> member_gateway::NextControlDeadline() const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  const connection* control = nullptr;
  const connection* check = nullptr;
  for (const auto& [id, target] : connections_.all()) {
    if (target.use == connection_use::kControl) {
      control = &target;
    } else if (target.use == connection_use::kCheck) {
      check = &target;
    }
  }
  for (const auto& [id, target] : connections_.all()) {
    const auto silent_at = SilentAt(target);
    if (!silent_at) {
      continue;
    }
    if (!target.open || target.use == connection_use::kCheck) {
      consider(*silent_at);
    } else if (check == nullptr) {
      consider(std::max(*silent_at, check_after_));
    }
  }
  if (control == nullptr) {
    if (check == nullptr && Budget() > 0) {
      consider(connections_.retry_at());
    }
  } else if (control->open) {
    if (!HasInFlight(*control, control_query::kStatus)) {
      consider(monitor_.next_poll());
    }
    if (const auto evidence_poll = evidence_.NextPoll()) {
      consider(*evidence_poll);
    }
  }
  if (!monitor_.reachable() && monitor_.known()) {
    consider(monitor_.next_report());
  }
  return next;
}

}  // namespace tarragondale::pool
