// Entry VM side of hosting: forwards sessions to their hosts.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {

using interactive::session_id;
using interactive::statement_kind;
using interactive::transaction_state;

namespace {

constexpr duration kSweepInterval = milliseconds(30);
constexpr uint64_t kAllMayHaveRun = UINT64_MAX;

}  // namespace

// --- Callers ---

bool forwarder::Open(time_point now, const interactive::caller_opened& event) {
  const bool closing =
      draining_since_ && now - *draining_since_ > options_.drain_notice;
  if (!catalogue_ || closing || sessions_.size() >= options_.max_sessions) {
    return false;
  }
  session opened;
  opened.database = event.database;
  opened.key = event.key;
  const interactive::route* const route = RouteOf(opened);
  const std::optional<std::string> organisation = OrganisationOf(opened);
  if (route == nullptr || !organisation) {
    return false;
  }
  opened.organisation = *organisation;
  if (plan_.HostsOf(route->group, opened.organisation).empty()) {
    return false;
  }
  sessions_[event.session] = std::move(opened);
  actions_.emplace_back(interactive::accept_caller{event.session});
  return true;
}

bool forwarder::Send(time_point now, const interactive::caller_sent& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) {
    return false;
  }
  session& of = found->second;
  if (of.waiting.size() >= options_.max_pending) {
    actions_.emplace_back(interactive::close_caller{event.session});
    EndSession(event.session);
    return true;
  }
  pending_statement added;
  added.statement = event.statement;
  added.arrived = now;
  added.writes = MayWrite(of, event.statement);
  of.waiting.push_back(std::move(added));
  active_.insert(event.session);
  next_sweep_ = std::min(next_sweep_, now + kSweepInterval);
  SendWaiting(now, event.session);
  return true;
}

bool forwarder::Close(session_id session) {
  const bool known = sessions_.contains(session);
  EndSession(session);
  return known;
}

const interactive::route* forwarder::RouteOf(const session& of) const {
  const auto found = catalogue_->routes.find(of.database);
  return found == catalogue_->routes.end() ? nullptr : &found->second;
}

// The organisation that the session's next statement runs for: the one that has
// the session's key now. Empty if no organisation has it. On an open route, and
// if the route is gone, which the broker reports, the key does not matter.
std::optional<std::string> forwarder::OrganisationOf(const session& of) const {
  const interactive::route* const route = RouteOf(of);
  if (route == nullptr || route->open) {
    return of.organisation;
  }
  const auto owner = catalogue_->organisations_by_key.find(of.key);
  if (owner == catalogue_->organisations_by_key.end()) {
    return std::nullopt;
  }
  return owner->second;
}

// If the session's key has passed to another organisation, detaches the session
// from its host, which runs it for the former one. This rolls back an open
// transaction. Waits until all statements that were sent are answered.
void forwarder::UpdateOrganisation(session_id id, session& of) {
  const std::optional<std::string> organisation = OrganisationOf(of);
  const bool unanswered =
      !of.waiting.empty() && of.waiting.front().sequence != 0;
  if (!organisation || *organisation == of.organisation || unanswered) {
    return;
  }
  actions_.emplace_back(interactive::log_message{
      log_level::kInfo,
      fmt::format("session {} runs for organisation {} instead of {}: its key "
                  "has passed on; configuration version {}",
                  id, *organisation, of.organisation, catalogue_->version)});
  Detach(id, of);
  of.organisation = *organisation;
}

// Whether the statement may change data and so must not run twice. An unknown
// prepared statement counts as a write, since its PREPARE may still be
// unanswered.
bool forwarder::MayWrite(const session& of,
                         const interactive::caller_statement& statement) const {
  switch (statement.kind) {
    case statement_kind::kWrite:
    case statement_kind::kCommit:
      return true;
    case statement_kind::kExecute: {
      const auto known = of.prepared.find(statement.name);
      return known == of.prepared.end() || known->second.writes;
    }
    default:
      return false;
  }
}

// --- Hosts ---

wire::hosting_id forwarder::IdOf(session_id id, const session& of) const {
  return {incarnation_, id, of.attach_epoch};
}

forwarder::session* forwarder::Find(const wire::hosting_id& id) {
  const auto found = sessions_.find(id.session);
  if (found == sessions_.end() || id.incarnation != incarnation_ ||
      found->second.attach_epoch != id.attach_epoch ||
      found->second.host.empty()) {
    return nullptr;
  }
  return &found->second;
}

void forwarder::Attach(time_point now, session_id id, session& of) {
  choice chosen = ChooseHost(now, of);
  of.host = std::move(chosen.host);
  of.elsewhere = chosen.elsewhere;
  ++of.attach_epoch;
  ++of.attachments;
  of.last_sequence = 0;
  of.last_heard = now;
  wire::hosted_open open{IdOf(id, of), of.database, of.organisation,
                         {},           {},          of.seen};
  for (const auto& [name, value] : of.values) {
    open.values.push_back({name, value});
  }
  for (const auto& [name, shape] : of.prepared) {
    open.prepared.push_back(shape);
  }
  of.host_region = plan_.RegionOf(of.host);
  of.route_regions = RouteRegions(of);
  of.organisation_regions = OrganisationRegions(of);
  if (of.route_regions.empty() && of.organisation_regions.empty()) {
    actions_.emplace_back(send_message{of.host, std::move(open)});
    return;
  }
  actions_.emplace_back(send_message{
      of.host,
      wire::restricted_open{
          std::move(open),
          {of.route_regions.begin(), of.route_regions.end()},
          {of.organisation_regions.begin(), of.organisation_regions.end()}}});
}

// Detaches the session from its host. Unanswered statements then count as not
// sent.
void forwarder::Detach(session_id id, session& of) {
  if (of.host.empty()) {
    return;
  }
  actions_.emplace_back(
      send_message{of.host, wire::hosted_close{IdOf(id, of)}});
  ForgetHost(of);
}

void forwarder::ForgetHost(session& of) {
  of.host.clear();
  for (pending_statement& each : of.waiting) {
    each.sequence = 0;
  }
}

// Whether the session's open transaction is certain to be rolled back when its
// host ends the session: no commit was sent with a sequence number below
// `not_run_from`, so none can have run.
bool forwarder::IsRolledBack(const session& of, uint64_t not_run_from) {
  return of.state == transaction_state::kOpen &&
         std::none_of(of.waiting.begin(), of.waiting.end(),
                      [&](const pending_statement& each) {
                        return each.statement.kind == statement_kind::kCommit &&
                               each.sequence != 0 &&
                               each.sequence < not_run_from;
                      });
}

void forwarder::SendWaiting(time_point now, session_id id) {
  session& of = sessions_.at(id);
  UpdateOrganisation(id, of);
  UpdateRegions(id, of);
  LeaveAvoidedHost(now, id, of);
  while (!of.waiting.empty() && of.host.empty() &&
         of.state != transaction_state::kIdle) {
    if (!AnswerWithoutHost(id, of)) {
      return;
    }
  }
  for (size_t i = 0; i < of.waiting.size(); ++i) {
    if (of.waiting[i].sequence != 0) {
      continue;
    }
    const std::optional<std::string> organisation = OrganisationOf(of);
    if (organisation != of.organisation) {
      // Statements that were sent earlier (`i > 0`) are answered first.
      if (i == 0) {
        Fail(id, result_code::kKeyInvalid,
             fmt::format("the key was withdrawn; configuration version {}",
                         catalogue_->version));
      }
      return;
    }
    if (!KeepsToRegions(of)) {
      return;  // Statements that were sent earlier are answered first.
    }
    if (of.host.empty()) {
      if (now < of.retry_at) {
        return;  // `Sweep` retries.
      }
      Attach(now, id, of);
    }
    pending_statement& next = of.waiting[i];
    next.sequence = ++of.last_sequence;
    next.sent = now;
    const interactive::caller_statement& statement = next.statement;
    actions_.emplace_back(send_message{
        of.host, wire::hosted_statement{
                     IdOf(id, of), next.sequence, statement.id,
                     static_cast<int64_t>(statement.kind), statement.text,
                     statement.name, statement.argument, statement.writes}});
  }
  if (of.waiting.empty()) {
    active_.erase(id);
  }
}

// Handles the first waiting statement of a session that was detached from its
// host during a transaction, which therefore counts as rolled back. Answers a
// rollback as successful. Any other statement fails the session, and the
// function returns false.
bool forwarder::AnswerWithoutHost(session_id id, session& of) {
  if (of.waiting.front().statement.kind != statement_kind::kRollback) {
    Fail(id, result_code::kTransactionAborted,
         "the session was detached from the VM that ran its transaction, "
         "which rolled it back");
    return false;
  }
  of.state = transaction_state::kIdle;
  of.waiting.pop_front();
  actions_.emplace_back(
      interactive::answer_caller{.session = id, .kept_bytes = of.kept_bytes});
  return true;
}

void forwarder::OnSendFailed(time_point now, const send_message& message) {
  const auto schedule_retry = [&](session& of) {
    of.retry_at = now + options_.send_retry;
    if (++of.failed_sends >= options_.send_attempts) {
      of.failed_sends = 0;
      avoided_hosts_[message.vm] = now + options_.host_cooldown;
    }
  };
  const auto* open = std::get_if<wire::hosted_open>(&message.body);
  if (const auto* restricted =
          std::get_if<wire::restricted_open>(&message.body)) {
    open = &restricted->open;
  }
  if (open != nullptr) {
    if (session* const of = Find(open->id)) {
      ForgetHost(*of);
      schedule_retry(*of);
    }
  } else if (const auto* sent =
                 std::get_if<wire::hosted_statement>(&message.body)) {
    session* const of = Find(sent->id);
    // Retried only if no later statement was sent. Otherwise the host detects
    // the gap in the sequence and ends the session.
    if (of != nullptr && sent->sequence == of->last_sequence &&
        !of->waiting.empty() && of->waiting.back().sequence == sent->sequence) {
      of->waiting.back().sequence = 0;
      --of->last_sequence;
      schedule_retry(*of);
    }
  }
}

void forwarder::OnMessage(time_point now,
                          const std::string& vm,
                          const wire::message_body& body) {
  if (const auto* answer = std::get_if<wire::hosted_answer>(&body)) {
    OnAnswer(now, *answer);
  } else if (const auto* ended = std::get_if<wire::hosted_ended>(&body)) {
    OnEnded(now, vm, *ended);
  } else if (const auto* alive = std::get_if<wire::host_alive>(&body)) {
    if (session* const of = Find(alive->id)) {
      of->last_heard = now;
    }
  }
}

void forwarder::OnAnswer(time_point now, const wire::hosted_answer& answer) {
  session* const found = Find(answer.id);
  if (found == nullptr || found->waiting.empty() ||
      found->waiting.front().sequence != answer.sequence || answer.state < 0 ||
      answer.state > static_cast<int64_t>(transaction_state::kFailed)) {
    return;
  }
  session& of = *found;
  const session_id id = answer.id.session;
  of.last_heard = now;
  of.failed_sends = 0;
  of.attachments = 0;
  const pending_statement done = std::move(of.waiting.front());
  of.waiting.pop_front();
  of.state = static_cast<transaction_state>(answer.state);
  if (answer.position) {
    of.seen = std::max(of.seen, *answer.position);
  }
  const bool ok = answer.code == result_code::kOk;
  if (ok) {
    Keep(of, done.statement);
  }
  const bool closing =
      draining_since_ && now - *draining_since_ > options_.drain_notice &&
      of.state == transaction_state::kIdle && of.waiting.empty();
  interactive::answer_caller reply{.session = id,
                                   .code = answer.code,
                                   .reason = answer.reason,
                                   .rows = answer.rows,
                                   .signature = answer.signature,
                                   .state = of.state,
                                   .position = answer.position,
                                   .kept_bytes = of.kept_bytes};
  // A host may close the session with an answer, for example when it shuts
  // down. If the answer reports success, the session moves to another host; if
  // it reports an error, the caller's connection is closed too.
  reply.close = closing || (answer.close && !ok);
  const bool close = reply.close;
  actions_.emplace_back(std::move(reply));
  if (close) {
    return EndSession(id);
  }
  if (answer.close) {
    Detach(id, of);
  }
  SendWaiting(now, id);
}

void forwarder::OnEnded(time_point now,
                        const std::string& vm,
                        const wire::hosted_ended& ended) {
  if (ended.closed) {
    avoided_hosts_[vm] = now + options_.host_cooldown;
  }
  session* const found = Find(ended.id);
  if (found == nullptr || found->host != vm) {
    return;
  }
  uint64_t not_run_from = kAllMayHaveRun;
  if (ended.known) {
    not_run_from = ended.handled + 1;
    if (ended.refused != 0 && !found->waiting.empty() &&
        found->waiting.front().sequence == ended.refused) {
      return OnReturned(now, ended.id.session, *found);
    }
  } else if (ended.refused != 0 && !found->waiting.empty() &&
             found->waiting.front().sequence == ended.refused) {
    not_run_from = ended.refused;
  }
  OnDetached(now, ended.id.session, not_run_from, "the host ended the session");
}

// Handles a session that its host ended, or whose host stopped answering. Sent
// statements with a sequence number below `not_run_from` may have run. If one
// of them is a write, the caller gets an error. Otherwise, a session in a
// transaction continues as described at `AnswerWithoutHost`, and for any other
// session all waiting statements are sent again, usually to another host.
void forwarder::OnDetached(time_point now,
                           session_id id,
                           uint64_t not_run_from,
                           std::string_view reason) {
  session& of = sessions_.at(id);
  const bool may_have_written = std::any_of(
      of.waiting.begin(), of.waiting.end(), [&](const pending_statement& each) {
        return each.writes && each.sequence != 0 &&
               each.sequence < not_run_from;
      });
  actions_.emplace_back(interactive::log_message{
      log_level::kInfo,
      fmt::format("session {} detached from VM {}: {}; {} statements pending",
                  id, of.host, reason, of.waiting.size())});
  if (may_have_written) {
    return Fail(id,
                IsRolledBack(of, not_run_from)
                    ? result_code::kTransactionAborted
                    : result_code::kUnknownConnectionLost,
                std::string(reason));
  }
  Detach(id, of);
  if (of.attachments > 1) {
    of.retry_at = now + options_.send_retry;
  }
  SendWaiting(now, id);
}

void forwarder::OnHostLost(time_point now, session_id id, session& of) {
  avoided_hosts_[of.host] = now + options_.host_cooldown;
  const bool can_resend =
      of.state == transaction_state::kIdle &&
      std::none_of(of.waiting.begin(), of.waiting.end(),
                   [](const pending_statement& each) {
                     return each.writes && each.sequence != 0;
                   });
  if (can_resend) {
    OnDetached(now, id, kAllMayHaveRun, "the host stopped answering");
  }
  // Otherwise the session is in a transaction or a sent write is unanswered.
  // The session then waits until the statement's timeout, since the host may
  // only be slow.
}

void forwarder::Fail(session_id id, result_code code, std::string reason) {
  const session& of = sessions_.at(id);
  if (!of.waiting.empty()) {
    actions_.emplace_back(interactive::log_message{
        log_level::kInfo,
        fmt::format("statement {} of session {}, organisation {}, at VM {:?} "
                    "ends as {}: {}",
                    of.waiting.front().statement.id, id, of.organisation,
                    of.host, InfoOf(code).name, reason)});
    actions_.emplace_back(
        interactive::answer_caller{.session = id,
                                   .code = code,
                                   .reason = std::move(reason),
                                   .close = true});
  } else {
    actions_.emplace_back(interactive::close_caller{id});
  }
  EndSession(id);
}

void forwarder::EndSession(session_id id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  Detach(id, found->second);
  active_.erase(id);
  sessions_.erase(found);
}

// --- Deadlines and periodic sweeps ---

std::optional<time_point> forwarder::NextDeadline() const {
  if (active_.empty() && !draining_since_) {
    return std::nullopt;
  }
  return next_sweep_;
}

void forwarder::OnTick(time_point now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  const std::vector<session_id> waiting(active_.begin(), active_.end());
  for (const session_id id : waiting) {
    if (sessions_.contains(id)) {
      Sweep(now, id);
    }
  }
  if (draining_since_) {
    SweepDrain(now);
  }
}

void forwarder::Sweep(time_point now, session_id id) {
  session& of = sessions_.at(id);
  if (of.waiting.empty()) {
    return;
  }
  const pending_statement& first = of.waiting.front();
  const interactive::route* const route = RouteOf(of);
  const duration limit =
      (route == nullptr ? duration(seconds(1)) : route->statement_timeout) +
      options_.answer_margin;
  if (now - first.arrived > limit) {
    result_code code = result_code::kUnknownTimeout;
    if (first.sequence == 0) {
      code = result_code::kDeadlineBeforeStart;
    } else if (IsRolledBack(of, kAllMayHaveRun)) {
      code = result_code::kTransactionAborted;
    }
    return Fail(id, code, "the host did not answer in time");
  }
  if (std::any_of(
          of.waiting.begin(), of.waiting.end(),
          [](const pending_statement& each) { return each.sequence == 0; })) {
    if (now >= of.retry_at) {
      SendWaiting(now, id);
    }
    return;
  }
  const time_point last_heard = std::max(of.last_heard, first.sent);
  const duration host_timeout = std::min<duration>(
      options_.host_timeout, std::chrono::duration_cast<duration>(
                                 limit * options_.host_timeout_fraction));
  const bool checked = of.last_checked > last_heard &&
                       now - of.last_checked > options_.host_check_answer;
  if (checked && now - last_heard > host_timeout) {
    return OnHostLost(now, id, of);
  }
  const duration check_delay =
      std::min<duration>(options_.host_check_delay, host_timeout / 2);
  if (now - std::max(last_heard, of.last_checked) > check_delay) {
    of.last_checked = now;
    actions_.emplace_back(
        send_message{of.host, wire::host_check{IdOf(id, of)}});
  }
}

void forwarder::SweepDrain(time_point now) {
  const duration since =
      std::chrono::duration_cast<duration>(now - *draining_since_);
  std::vector<session_id> ends;
  for (auto& [id, of] : sessions_) {
    const bool idle = of.waiting.empty();
    const bool open = of.state != transaction_state::kIdle;
    if (idle && open && since > options_.drain_transactions) {
      Detach(id, of);
    }
    if ((idle && !open && since > options_.drain_notice) ||
        since > options_.drain_limit) {
      ends.push_back(id);
    }
  }
  for (const session_id id : ends) {
    actions_.emplace_back(interactive::close_caller{id});
    EndSession(id);
  }
}

}  // namespace tarragondale::hosting
