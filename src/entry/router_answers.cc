// Final answers of the request router.
#include <utility>

#include "src/entry/request_check.h"
#include "src/entry/router.h"

namespace tarragondale::entry {
namespace {

using wire::transaction_step;

}  // namespace

void request_router::implementation::FinishOk(
    pending_request& pending,
    size_t index,
    const wire::execute_answer& answer) {
  attempt& used = pending.attempts[index];
  used.state = attempt_state::kNotRun;
  attempts_.erase(used.id);
  ReleaseMember(pending, used);
  answer_caller result;
  if (pending.request.step == transaction_step::kBegin) {
    if (const status problem = FinishBegin(pending, used, result.transaction)) {
      actions_.emplace_back(
          send_cancel{used.vm, {used.id, pending.group, used.member}});
      Finish(pending, *problem, 0);
      return;
    }
  }
  CancelOpenAttempts(pending);
  UpdateTransaction(pending, result_code::kOk);
  if (answer.position != log_position()) {
    // A write ran on the primary, whatever the answer says of its source.
    pending.token.Advance(pending.group, answer.position,
                          answer.from_primary || !pending.IsRead());
  }
  const bool has_session =
      pending.request.session.has_value() || !pending.token.groups().empty();
  result.exchange = pending.request.exchange;
  result.id = pending.id;
  result.results = answer.results;
  result.session =
      has_session ? session::Encode(pending.token, options_.token_key) : "";
  result.age_ms = answer.age_ms;
  result.from_primary = answer.from_primary;
  result.replayed = answer.replayed;
  if (pending.request.step == transaction_step::kWhole) {
    if (!pending.IsRead()) {
      ++metrics_.writes_done;
    } else if (answer.from_primary) {
      ++metrics_.reads_by_primary;
    } else {
      ++metrics_.reads_by_replica;
    }
  }
  metrics_.done_latency_us += static_cast<uint64_t>(
      std::chrono::duration_cast<duration>(now_ - pending.admitted).count());
  CountAnswer(pending, result_code::kOk);
  actions_.emplace_back(std::move(result));
  Erase(pending);
}

// Registers a transaction that has begun. Failure if its key was withdrawn
// meanwhile.
status request_router::implementation::FinishBegin(
    const pending_request& pending,
    const attempt& begun,
    std::string& text) {
  if (status problem =
          RecheckAccess(*configuration_, /*current=*/true, pending.grant)) {
    return problem;
  }
  text =
      session::EncodeTransaction({.gateway = begun.vm,
                                  .group = pending.group,
                                  .member = begun.member,
                                  .route = pending.grant.route,
                                  .kind = pending.request.kind,
                                  .id = begun.id,
                                  .organisation = pending.grant.organisation},
                                 options_.token_key);
  transactions_.Add({.id = begun.id,
                     .connection = pending.request.connection,
                     .grant = pending.grant,
                     .vm = begun.vm,
                     .group = pending.group,
                     .member = begun.member,
                     .last_use = now_});
  return std::nullopt;
}

// Forgets a transaction that has ended, as far as the answer to a step tells.
void request_router::implementation::UpdateTransaction(
    const pending_request& pending,
    result_code code) {
  if (StartsWork(pending.request.step)) {
    return;
  }
  const bool ends = pending.request.step != transaction_step::kContinue;
  const bool gone = code == result_code::kTransactionNotFound ||
                    code == result_code::kTransactionTimedOut ||
                    code == result_code::kTransactionAborted;
  const bool may_have_ended = InfoOf(code).result != outcome::kNotRun;
  if (gone || (ends && may_have_ended)) {
    transactions_.Erase(pending.transaction.id);
  } else if (open_transaction* const open =
                 transactions_.Find(pending.transaction.id)) {
    open->committing = false;
  }
}

void request_router::implementation::Finish(pending_request& pending,
                                            failure reason,
                                            int64_t retry_after_ms) {
  // A refusal must not claim `not_run` while any attempt may have taken
  // effect. A reused key is final: this request's effect can't exist under it.
  if (InfoOf(reason.code).result == outcome::kNotRun &&
      reason.code != result_code::kIdempotencyKeyReused &&
      pending.MayHaveRun()) {
    reason = {result_code::kUnknownTimeout,
              "an attempt may have taken effect; the last one ended with " +
                  std::string(InfoOf(reason.code).name)};
  }
  CancelOpenAttempts(pending);
  UpdateTransaction(pending, reason.code);
  pending.retry_after_ms = retry_after_ms;
  Refuse(pending.request, pending, reason);
  Erase(pending);
}

void request_router::implementation::Erase(pending_request& pending) {
  LeaveWaiting(pending);
  const uint64_t exchange = pending.request.exchange;
  auto [entry, end] = connections_.equal_range(pending.request.connection);
  while (entry != end) {
    entry = entry->second == exchange ? connections_.erase(entry)
                                      : std::next(entry);
  }
  pending_.erase(exchange);
}

}  // namespace tarragondale::entry
