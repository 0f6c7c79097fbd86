// Handles caller statements: answers those that need no member, and starts the
// others.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

transaction_state StateOf(const session& of) {
  if (!of.open) {
    return transaction_state::kIdle;
  }
  return of.open->failed ? transaction_state::kFailed
                         : transaction_state::kOpen;
}

}  // namespace

void session_broker::implementation::StartNext(session& of) {
  const session_id id = of.id;
  // Looks the session up each time, in case handling a statement removes it.
  for (auto found = sessions_.find(id);
       found != sessions_.end() && !found->second.current &&
       !found->second.paced && !found->second.closing &&
       !found->second.pending.empty();
       found = sessions_.find(id)) {
    session& next = found->second;
    auto [arrived, statement] = std::move(next.pending.front());
    next.pending.pop_front();
    Handle(next, arrived, std::move(statement));
  }
}

void session_broker::implementation::Refuse(session& of,
                                            const std::string& id,
                                            result_code code,
                                            std::string reason) {
  Log(log_level::kInfo,
      "statement {} of session {}, organisation {} refused with {}: {}", id,
      of.id, of.organisation, InfoOf(code).name, reason);
  Answer(of, code, std::move(reason));
}

void session_broker::implementation::Handle(session& of,
                                            time_point arrived,
                                            caller_statement statement) {
  using enum statement_kind;
  if (statement.kind == kRollback) {
    return HandleRollback(of);
  }
  if (RefuseUnauthorised(of, statement)) {
    return;
  }
  if (of.open && of.open->failed) {
    if (statement.kind == kCommit) {
      of.open.reset();
      return Refuse(of, statement.id, result_code::kTransactionAborted,
                    "the transaction had failed; it was rolled back");
    }
    return of.open->failure_reported
               ? Refuse(of, statement.id, result_code::kStatementMalformed,
                        "the transaction failed; only commit and rollback are "
                        "accepted")
               : Refuse(of, statement.id, result_code::kTransactionAborted,
                        "the transaction was rolled back after its previous "
                        "statement");
  }
  switch (statement.kind) {
    case kSet:
      return HandleSet(of, statement);
    case kPrepare:
      return HandlePrepare(of, statement);
    case kDeallocate:
      return HandleDeallocate(of, statement);
    case kBegin:
    case kBeginReadOnly:
      return HandleBegin(of, arrived, statement);
    case kMalformed:
    case kRollback:
      return Refuse(of, statement.id, result_code::kStatementMalformed,
                    "the statement could not be parsed");
    case kRead:
    case kWrite:
    case kExecute:
    case kCommit:
      break;
  }
  StartStatement(of, arrived, std::move(statement));
}

// If the session's API key was withdrawn, or no route serves its database any
// more, refuses the statement, closes the session and returns true. If the key
// has passed to another organisation, the session runs for that one from now
// on, and a transaction that has begun at a member fails. The key is checked at
// every statement except a rollback, also within a transaction, but not in
// hosted sessions, whose entry VM checks it, or on routes with `open` set. A
// changed or removed route takes effect only after the current transaction has
// ended.
bool session_broker::implementation::RefuseUnauthorised(
    session& of,
    const caller_statement& statement) {
  const route* const settings = of.open ? &of.open->settings : RouteOf(of);
  if (settings == nullptr) {
    of.closing = true;
    Refuse(
        of, statement.id, result_code::kRouteUnknown,
        fmt::format("no route serves this database in configuration version {}",
                    configuration_->version));
    return true;
  }
  if (settings->open || of.hosted) {
    return false;
  }
  const auto owner = configuration_->organisations_by_key.find(of.key);
  if (owner != configuration_->organisations_by_key.end()) {
    // The link of a transaction belongs to the former organisation.
    if (owner->second != of.organisation && of.open && of.open->link != 0) {
      Log(log_level::kInfo,
          "transaction of session {} is rolled back: its key passed from "
          "organisation {} to {}; configuration version {}",
          of.id, of.organisation, owner->second, configuration_->version);
      FailTransaction(of);
    }
    of.organisation = owner->second;
    return false;
  }
  if (of.open) {
    FailTransaction(of);
    of.open.reset();
  }
  of.closing = true;
  Refuse(of, statement.id, result_code::kKeyInvalid,
         fmt::format("the key was withdrawn; configuration version {}",
                     configuration_->version));
  return true;
}

void session_broker::implementation::HandleSet(
    session& of,
    const caller_statement& statement) {
  const auto known = of.values.find(statement.name);
  if (known == of.values.end()) {
    if (of.values.size() >= options_.max_values) {
      return Refuse(of, statement.id, result_code::kBodyTooLarge,
                    "the session has too many session values");
    }
    of.kept_bytes += statement.name.size();
  } else {
    of.kept_bytes -= known->second.size();
  }
  of.kept_bytes += statement.argument.size();
  of.values[statement.name] = statement.argument;
  Answer(of, result_code::kOk, "");
}

void session_broker::implementation::HandlePrepare(
    session& of,
    const caller_statement& statement) {
  const auto known = of.prepared.find(statement.name);
  if (known == of.prepared.end()) {
    if (of.prepared.size() >= options_.max_values) {
      return Refuse(of, statement.id, result_code::kBodyTooLarge,
                    "the session has too many prepared statements");
    }
    of.kept_bytes += statement.name.size();
  } else {
    of.kept_bytes -= known->second.shape.size();
  }
  of.kept_bytes += statement.argument.size();
  of.prepared[statement.name] = {statement.writes, statement.argument};
  Answer(of, result_code::kOk, "");
}

void session_broker::implementation::HandleDeallocate(
    session& of,
    const caller_statement& statement) {
  const auto known = of.prepared.find(statement.name);
  if (known == of.prepared.end()) {
    return Refuse(of, statement.id, result_code::kPreparedStatementUnknown,
                  "no prepared statement has this name");
  }
  of.kept_bytes -= known->first.size() + known->second.shape.size();
  of.prepared.erase(known);
  Answer(of, result_code::kOk, "");
}

// The transaction begins at a member only with its first statement, so that it
// holds no connection until then.
void session_broker::implementation::HandleBegin(
    session& of,
    time_point arrived,
    const caller_statement& statement) {
  if (of.open) {
    return Refuse(of, statement.id, result_code::kStatementMalformed,
                  "a transaction is already open");
  }
  const route settings = *RouteOf(of);
  const bool read_only = statement.kind == statement_kind::kBeginReadOnly;
  const bool primary_only = !read_only || settings.reads == freshness::kPrimary;
  if (ReturnIfOutOfReach(of, settings, primary_only, arrived) ||
      !TakeRateToken(of, arrived, statement)) {
    return;
  }
  transaction begun;
  begun.read_only = read_only;
  begun.settings = settings;
  begun.last_used = now_;
  of.open = std::move(begun);
  Answer(of, result_code::kOk, "");
}

void session_broker::implementation::HandleRollback(session& of) {
  if (of.open) {
    FailTransaction(of);
    of.open.reset();
  }
  Answer(of, result_code::kOk, "");
}

void session_broker::implementation::StartStatement(
    session& of,
    time_point arrived,
    caller_statement statement) {
  const route* const found = of.open ? &of.open->settings : RouteOf(of);
  if (found == nullptr) {
    return;  // `RefuseUnauthorised` has answered.
  }
  const route settings = *found;
  active_statement started;
  if (statement.kind == statement_kind::kExecute) {
    const auto prepared = of.prepared.find(statement.name);
    if (prepared == of.prepared.end()) {
      if (of.open) {
        FailTransaction(of);
      }
      return Refuse(of, statement.id, result_code::kPreparedStatementUnknown,
                    "no prepared statement has this name");
    }
    started.writes = prepared->second.writes;
  } else if (statement.kind == statement_kind::kCommit) {
    if (!of.open) {
      return Refuse(of, statement.id, result_code::kStatementMalformed,
                    "no transaction is open");
    }
    started.writes = !of.open->read_only;
  } else {
    started.writes = statement.kind == statement_kind::kWrite;
  }
  if (of.open && of.open->read_only && started.writes) {
    FailTransaction(of);
    return Refuse(of, statement.id, result_code::kReadOnlyViolation,
                  "the transaction is read-only");
  }
  started.primary_only = started.writes ||
                         settings.reads == freshness::kPrimary ||
                         (of.open && !of.open->read_only);
  if (!of.open &&
      (ReturnIfOutOfReach(of, settings, started.primary_only, arrived) ||
       !TakeRateToken(of, arrived, statement))) {
    return;
  }
  started.settings = settings;
  started.statement = std::move(statement);
  started.arrived = arrived;
  started.deadline = arrived + settings.statement_timeout;
  started.not_before = now_;
  if (of.open) {
    of.open->last_used = now_;
  }
  of.current = std::move(started);
  active_.insert(of.id);
  // If no other statement was in progress, the next sweep was scheduled with
  // the longer `kIdleSweepInterval`, which may be too late to enforce the
  // timeout of this statement.
  next_sweep_ = std::min(next_sweep_, now_ + milliseconds(20));
  Enqueue(of);
  TryDispatch(of);
}

const route* session_broker::implementation::RouteOf(const session& of) const {
  const auto found = configuration_->routes.find(of.database);
  return found == configuration_->routes.end() ? nullptr : &found->second;
}

void session_broker::implementation::Answer(session& of,
                                            result_code code,
                                            std::string reason,
                                            member_answer* from) {
  if (code != result_code::kOk) {
    ++metrics_.failures[code];
    if (of.open) {
      of.open->failure_reported = of.open->failed;
    }
  }
  answer_caller answer{.session = of.id,
                       .code = code,
                       .reason = std::move(reason),
                       .state = StateOf(of),
                       .kept_bytes = of.kept_bytes};
  if (from != nullptr) {
    answer.rows = std::move(from->rows);
    answer.signature = std::move(from->signature);
    answer.position = from->position;
  }
  const bool closes = draining_since_ &&
                      now_ - *draining_since_ > options_.drain_notice &&
                      !of.open && of.pending.empty();
  of.closing = of.closing || closes;
  answer.close = of.closing;
  actions_.push_back(std::move(answer));
}

// Marks the transaction as failed and rolls it back at its member, if any.
void session_broker::implementation::FailTransaction(session& of) {
  of.open->failed = true;
  const link_id held = std::exchange(of.open->link, 0);
  link* const on = held == 0 ? nullptr : pool_.FindLink(held);
  if (on == nullptr) {
    return;
  }
  if (on->begun && !RollBack(*on)) {
    return;
  }
  ReleaseLink(*on);
}

// Answers the current statement with an error and rolls back the open
// transaction, if any. The session stays in the failed transaction, unless the
// statement was its commit.
void session_broker::implementation::FailStatement(session& of,
                                                   result_code code,
                                                   std::string reason) {
  Dequeue(of);
  const active_statement ended = std::move(*of.current);
  of.current.reset();
  active_.erase(of.id);
  Log(log_level::kInfo,
      "statement {} ({}, {}) of session {}, organisation {}, group {} ends as "
      "{} after {} ms, attempts {}: {}",
      ended.statement.id, StatementKindName(ended.statement.kind),
      FreshnessName(ended.settings.reads), of.id, of.organisation,
      ended.settings.group, InfoOf(code).name, ToMs(now_ - ended.arrived),
      ended.attempts, reason);
  if (of.open) {
    FailTransaction(of);
    if (ended.statement.kind == statement_kind::kCommit) {
      of.open.reset();
    }
  }
  Answer(of, code, std::move(reason));
  StartNext(of);
}

void session_broker::implementation::EndSession(session_id id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  session& of = found->second;
  Dequeue(of);
  active_.erase(id);
  link_id held = of.open ? of.open->link : 0;
  const bool committing =
      of.current && of.current->statement.kind == statement_kind::kCommit &&
      of.current->link != 0;
  if (held == 0 && of.current) {
    held = of.current->link;
  }
  if (link* const on = held == 0 ? nullptr : pool_.FindLink(held)) {
    const bool beginning = std::any_of(
        on->awaited.begin(), on->awaited.end(), [](const awaited_answer& each) {
          return each.what == member_statement::step::kBegin ||
                 each.what == member_statement::step::kBeginReadOnly;
        });
    if (!(on->begun || beginning) || committing || RollBack(*on)) {
      on->begun = false;
      on->owner = 0;
      on->last_used = now_;
    }
  }
  sessions_.erase(found);
  dispatch_needed_ = true;
}

session_broker::implementation::waiting_key
session_broker::implementation::KeyOf(const session& of) {
  return {of.current->settings.priority, of.current->arrived, of.id};
}

void session_broker::implementation::Enqueue(const session& of) {
  waiting_.insert(KeyOf(of));
}

void session_broker::implementation::Dequeue(const session& of) {
  if (of.current) {
    waiting_.erase(KeyOf(of));
  }
}

}  // namespace tarragondale::interactive
