// Sending, answers and retries of the request router.
#include <algorithm>

#include "src/entry/request_check.h"
#include "src/entry/router.h"

namespace tarragondale::entry {
namespace {

using wire::transaction_step;

// A late answer to an abandoned begin is recognised for this time.
constexpr seconds kAbandonedRetention{120};
// A retry that could not be answered before the deadline is not sent.
constexpr milliseconds kShortestRetry{5};
// After this many stale answers only the primary is asked.
constexpr size_t kReplicaTries = 2;

constexpr result_code kLost = result_code::kUnknownTimeout;

}  // namespace

// Sends a request, or lets it wait for a member that can serve it.
void request_router::implementation::Route(pending_request& pending) {
  LeaveWaiting(pending);
  // The first call follows admission; later ones may follow other
  // configurations.
  const bool first = pending.attempts.empty() && !pending.waiting_since;
  const status problem =
      first ? status()
            : RecheckAccess(*configuration_, current_, pending.grant);
  const auto pool = configuration_->pools.find(pending.pool);
  if (problem || pool == configuration_->pools.end()) {
    if (pending.AnyOpen()) {
      AwaitOpenAttempts(pending);
    } else {
      Finish(pending,
             problem ? *problem
                     : failure{result_code::kRouteUnknown,
                               "the route's pool was removed"},
             0);
    }
    return;
  }
  UseGroup(pool->second);
  if (pending.IsRead()) {
    RouteRead(pending, pool->second);
  } else {
    RouteWrite(pending, pool->second);
  }
}

void request_router::implementation::RouteWrite(pending_request& pending,
                                                const config::pool_row& pool) {
  const std::optional<primary_choice> primary = members_.PrimaryOf(now_, pool);
  if (!primary) {
    WaitForMember(pending, pool);
    return;
  }
  SendTo(pending, pool, *primary->member, primary->term);
}

void request_router::implementation::RouteRead(pending_request& pending,
                                               const config::pool_row& pool) {
  read_demand demand{.freshness = pending.token.Requirement(pending.group),
                     .max_age_ms = pending.request.max_age_ms,
                     .tried = &pending.tried};
  if (pending.freshness_failures >= kReplicaTries) {
    demand.freshness.primary_only = true;
  }
  std::optional<read_choice> choice =
      ChooseForRead(options_, members_, now_, pool, demand);
  if (choice && choice->wait.count() > 0 && pending.replica_waited) {
    // The replica did not catch up as expected.
    demand.freshness.primary_only = true;
    choice = ChooseForRead(options_, members_, now_, pool, demand);
  }
  if (!choice) {
    WaitForMember(pending, pool);
    return;
  }
  if (choice->wait.count() > 0) {
    pending.replica_waited = true;
    pending.phase = request_phase::kWaiting;
    SetTimer(pending, std::min(pending.deadline, now_ + choice->wait));
    return;
  }
  SendTo(pending, pool, *choice->member, 0);
}

// Later steps of a transaction go to the VM that holds its connection.
void request_router::implementation::RouteStep(pending_request& pending) {
  const session::transaction_id& transaction = pending.transaction;
  if (view_->Find(transaction.gateway) == nullptr) {
    Finish(pending,
           {result_code::kGatewayUnreachable,
            "the VM that holds the transaction is not in service"},
           0);
    return;
  }
  if (open_transaction* const open = transactions_.Find(transaction.id)) {
    open->last_use = now_;
    open->committing = pending.request.step == transaction_step::kCommit;
  }
  pending.group = transaction.group;
  const config::pool_row& pool =
      configuration_->pools.find(pending.pool)->second;
  Send(pending, transaction.gateway, transaction.member, 0,
       pool.acknowledge == config::acknowledge_mode::kMajority);
}

void request_router::implementation::WaitForMember(
    pending_request& pending,
    const config::pool_row& pool) {
  waiting_set& waiting = waiting_[pending.group];
  if (!pending.waiting_since) {
    if (waiting.size() >= options_.max_waiting) {
      GiveUpWaiting(pending, pool);
      return;
    }
    pending.waiting_since = now_;
    ++metrics_.waits_for_primary;
  }
  const duration limit = members_.HasReports(now_, pool) ? options_.primary_wait
                                                         : options_.report_wait;
  const time_point until =
      std::min(pending.deadline, *pending.waiting_since + limit);
  if (now_ >= until || !members_.FailoverPossible(now_, pool)) {
    GiveUpWaiting(pending, pool);
    return;
  }
  pending.phase = request_phase::kWaiting;
  waiting.emplace(pending.id.sequence, pending.request.exchange);
  SetTimer(pending, until);
}

void request_router::implementation::GiveUpWaiting(
    pending_request& pending,
    const config::pool_row& pool) {
  if (pending.AnyOpen()) {
    AwaitOpenAttempts(pending);
    return;
  }
  Finish(pending, WhyNoMember(pending, pool), pending.retry_after_ms);
}

// No further attempt is made; the open ones may still answer.
void request_router::implementation::AwaitOpenAttempts(
    pending_request& pending) {
  pending.phase = request_phase::kSent;
  SetTimer(pending, pending.deadline);
}

void request_router::implementation::LeaveWaiting(
    const pending_request& pending) {
  const auto waiting = waiting_.find(pending.group);
  if (waiting != waiting_.end()) {
    waiting->second.erase({pending.id.sequence, pending.request.exchange});
    if (waiting->second.empty()) {
      waiting_.erase(waiting);
    }
  }
}

failure request_router::implementation::WhyNoMember(
    const pending_request& pending,
    const config::pool_row& pool) const {
  if (!pending.IsRead()) {
    return {result_code::kNoPrimary,
            "no primary of group " + pool.group + " is known"};
  }
  const session::freshness demand = pending.token.Requirement(pending.group);
  const bool demanding = demand.primary_only ||
                         demand.minimum != log_position() ||
                         pending.request.max_age_ms >= 0;
  if (demanding && members_.HasReports(now_, pool)) {
    return {result_code::kNoFreshReplica,
            "no reachable member of group " + pool.group +
                " is as fresh as the request asks"};
  }
  return {result_code::kDatabaseUnavailable,
          "no member of group " + pool.group + " can be reached"};
}

void request_router::implementation::SendTo(pending_request& pending,
                                            const config::pool_row& pool,
                                            const config::member_row& member,
                                            int64_t expected_term) {
  const std::string gateway = members_.GatewayOf(pool.group, member);
  if (gateway.empty()) {
    if (pending.AnyOpen()) {
      AwaitOpenAttempts(pending);
    } else {
      Finish(
          pending,
          {result_code::kGatewayUnreachable, "no VM is in service as gateway"},
          0);
    }
    return;
  }
  ++members_.StateOf(pool.group, member.name).outstanding;
  Send(pending, gateway, member.name, expected_term,
       pool.acknowledge == config::acknowledge_mode::kMajority);
}

void request_router::implementation::Send(pending_request& pending,
                                          const std::string& vm,
                                          const std::string& member,
                                          int64_t expected_term,
                                          bool majority) {
  // Each attempt has an id of its own, so that a late answer to an earlier
  // attempt is never taken for the answer to a later one.
  attempt sent;
  sent.id = pending.attempts.empty() ? pending.id : NextId();
  sent.vm = vm;
  sent.member = member;
  attempts_.emplace(sent.id, pending.request.exchange);

  send_request message;
  message.vm = vm;
  wire::execute_request& request = message.request;
  request.id = sent.id;
  request.organisation = pending.grant.organisation;
  request.group = pending.group;
  request.member = member;
  request.kind = pending.request.kind;
  request.step = pending.request.step;
  request.transaction = pending.transaction.id;
  request.statements = pending.request.statements;
  if (!pending.IsRead()) {
    request.idempotency_key = pending.request.idempotency_key;
    request.request_digest = pending.digest;
  }
  request.expected_term = expected_term;
  if (pending.IsRead() && StartsWork(pending.request.step)) {
    request.minimum = pending.token.Requirement(pending.group).minimum;
    request.max_age_ms = pending.request.max_age_ms;
  }
  request.budget_ms = std::max<int64_t>(1, ToMs(pending.deadline - now_));
  request.majority = majority;
  actions_.emplace_back(std::move(message));

  pending.attempts.push_back(std::move(sent));
  pending.phase = request_phase::kSent;
  SetAttemptTimer(pending);
}

void request_router::implementation::SetAttemptTimer(pending_request& pending) {
  if (!pending.Repeatable()) {
    SetTimer(pending, pending.deadline);
    return;
  }
  const auto left =
      std::chrono::duration_cast<duration>(pending.deadline - now_);
  // The begin of a transaction is as quick as a read.
  const wire::request_kind kind =
      pending.request.step == transaction_step::kBegin
          ? wire::request_kind::kRead
          : pending.request.kind;
  const duration limit = AttemptLimit(kind, pending.attempts.size() - 1, left);
  SetTimer(pending, std::min(pending.deadline, now_ + limit));
}

void request_router::implementation::On(const send_failed& failed) {
  const auto found = attempts_.find(failed.id);
  if (found == attempts_.end()) {
    return;
  }
  pending_request& pending = pending_.find(found->second)->second;
  for (size_t i = 0; i < pending.attempts.size(); ++i) {
    if (pending.attempts[i].id == failed.id) {
      AttemptEnded(pending, i, attempt_state::kNotRun,
                   {.reason = {result_code::kGatewayUnreachable,
                               "the message could not be sent to VM " +
                                   pending.attempts[i].vm}});
      return;
    }
  }
}

void request_router::implementation::On(const answer_arrived& arrived) {
  const wire::execute_answer& answer = arrived.answer;
  const auto found = attempts_.find(answer.id);
  if (found == attempts_.end()) {
    ++metrics_.answers_dropped;
    const auto abandoned = abandoned_.find(answer.id);
    if (abandoned != abandoned_.end()) {
      // The cancel may have overtaken the begin on its way.
      if (answer.code == result_code::kOk) {
        actions_.emplace_back(send_cancel{
            abandoned->second.vm,
            {answer.id, abandoned->second.group, abandoned->second.member}});
      }
      abandoned_.erase(abandoned);
    }
    return;
  }
  pending_request& pending = pending_.find(found->second)->second;
  const auto sent = std::find_if(
      pending.attempts.begin(), pending.attempts.end(),
      [&answer](const attempt& one) { return one.id == answer.id; });
  if (sent->vm != arrived.sender) {
    ++metrics_.answers_dropped;
    return;
  }
  const auto index = static_cast<size_t>(sent - pending.attempts.begin());
  if (answer.code == result_code::kOk) {
    HandleOk(pending, index, answer);
    return;
  }
  const bool unknown = InfoOf(answer.code).result != outcome::kNotRun;
  if (answer.code == result_code::kNoPrimary && !pending.IsRead()) {
    members_.StateOf(pending.group, sent->member).refused_as_primary = true;
  }
  AttemptEnded(pending, index,
               unknown ? attempt_state::kUnknown : attempt_state::kNotRun,
               {.reason = {answer.code, answer.reason},
                .retry_after_ms = answer.retry_after_ms});
}

void request_router::implementation::HandleOk(
    pending_request& pending,
    size_t index,
    const wire::execute_answer& answer) {
  if (FreshEnough(pending, answer)) {
    FinishOk(pending, index, answer);
    return;
  }
  ++metrics_.answers_too_old;
  AttemptEnded(pending, index, attempt_state::kNotRun,
               {.reason = {result_code::kNoFreshReplica,
                           "the answer was older than the request asks"}});
}

bool request_router::implementation::FreshEnough(
    const pending_request& pending,
    const wire::execute_answer& answer) const {
  if (!pending.IsRead() || pending.request.step != transaction_step::kWhole) {
    return true;
  }
  const session::freshness demand = pending.token.Requirement(pending.group);
  if ((demand.primary_only && !answer.from_primary) ||
      answer.position < demand.minimum) {
    return false;
  }
  const int64_t max_age_ms = pending.request.max_age_ms;
  return max_age_ms < 0 || (answer.age_ms >= 0 && answer.age_ms <= max_age_ms);
}

void request_router::implementation::AttemptEnded(
    pending_request& pending,
    size_t index,
    attempt_state state,
    const attempt_result& result) {
  attempt& ended = pending.attempts[index];
  ended.state = state;
  attempts_.erase(ended.id);
  ReleaseMember(pending, ended);
  pending.tried.push_back(ended.member);
  const result_code code = result.reason.code;
  if (code == result_code::kNoFreshReplica) {
    ++pending.freshness_failures;
  }
  // While a later attempt runs or is due, only a final refusal of a read
  // settles the request; an effect may still come from the later attempt.
  const bool latest = index + 1 == pending.attempts.size();
  const bool busy = pending.phase != request_phase::kSent || !latest;
  if (busy && (MayRetry(pending, code) || !pending.IsRead())) {
    const bool only_open =
        pending.phase == request_phase::kSent && !pending.AnyOpen();
    if (!only_open) {
      return;
    }
  }
  RetryOrFinish(pending, result);
}

bool request_router::implementation::MayRetry(const pending_request& pending,
                                              result_code code) const {
  if (!StartsWork(pending.request.step)) {
    return false;
  }
  return MayPass(code) || (pending.Repeatable() && LostOnTheWay(code));
}

void request_router::implementation::RetryOrFinish(
    pending_request& pending,
    const attempt_result& result) {
  pending.last = result.reason;
  pending.retry_after_ms = result.retry_after_ms;
  const bool may_retry = MayRetry(pending, result.reason.code);
  const duration backoff = retries_.Backoff(pending.attempts.size());
  const bool in_time = now_ + backoff + kShortestRetry < pending.deadline;
  if (may_retry && in_time) {
    if (retries_.TakeRetry(now_)) {
      ++metrics_.retries;
      pending.phase = request_phase::kBackoff;
      SetTimer(pending, now_ + backoff);
      return;
    }
    ++metrics_.retries_denied;
  }
  if (may_retry && pending.AnyOpen()) {
    AwaitOpenAttempts(pending);
    return;
  }
  Finish(pending, result.reason, result.retry_after_ms);
}

void request_router::implementation::OnTimer(pending_request& pending) {
  if (now_ >= pending.deadline) {
    DeadlinePassed(pending);
  } else if (pending.phase == request_phase::kSent) {
    AttemptTimedOut(pending);
  } else {
    Route(pending);
  }
}

// The last attempt is late. It stays open: its answer is taken if it comes
// before that of the next attempt.
void request_router::implementation::AttemptTimedOut(pending_request& pending) {
  if (!pending.Repeatable() || now_ + kShortestRetry >= pending.deadline) {
    SetTimer(pending, pending.deadline);
    return;
  }
  if (!retries_.TakeRetry(now_)) {
    ++metrics_.retries_denied;
    SetTimer(pending, pending.deadline);
    return;
  }
  ++metrics_.retries;
  pending.tried.push_back(pending.attempts.back().member);
  Route(pending);
}

void request_router::implementation::DeadlinePassed(pending_request& pending) {
  if (pending.AnyOpen()) {
    Finish(pending, {kLost, "no answer came before the deadline"}, 0);
    return;
  }
  const auto pool = configuration_->pools.find(pending.pool);
  if (!pending.attempts.empty() || pool == configuration_->pools.end()) {
    Finish(pending, pending.last, pending.retry_after_ms);
    return;
  }
  Finish(pending, WhyNoMember(pending, pool->second), 0);
}

void request_router::implementation::ReleaseMember(
    const pending_request& pending,
    const attempt& ended) {
  if (!StartsWork(pending.request.step)) {
    return;
  }
  member_state& state = members_.StateOf(pending.group, ended.member);
  if (state.outstanding > 0) {
    --state.outstanding;
  }
}

void request_router::implementation::CancelOpenAttempts(
    pending_request& pending) {
  for (attempt& one : pending.attempts) {
    if (one.state != attempt_state::kOpen) {
      continue;
    }
    attempts_.erase(one.id);
    ReleaseMember(pending, one);
    const transaction_step step = pending.request.step;
    if (step == transaction_step::kCommit ||
        step == transaction_step::kRollback) {
      continue;
    }
    actions_.emplace_back(
        send_cancel{one.vm, {one.id, pending.group, one.member}});
    if (step == transaction_step::kBegin) {
      abandoned_[one.id] = {one.vm, pending.group, one.member,
                            now_ + kAbandonedRetention};
    }
  }
}

}  // namespace tarragondale::entry
