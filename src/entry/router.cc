// Events, admission and timers of the request router.
#include "src/entry/router.h"

#include <algorithm>

#include "src/entry/request_check.h"

namespace tarragondale::entry {
namespace {

constexpr int64_t kMicrosecondsPerMs = 1'000;

using wire::transaction_step;

// Commit and rollback free a connection, so they pass limits that hold back
// other steps.
bool EndsTransaction(transaction_step step) {
  return step == transaction_step::kCommit ||
         step == transaction_step::kRollback;
}

}  // namespace

request_router::request_router(entry_options options)
    : implementation_(std::make_unique<implementation>(std::move(options))) {}
request_router::request_router(request_router&&) noexcept = default;
request_router& request_router::operator=(request_router&&) noexcept = default;
request_router::~request_router() = default;

std::vector<action> request_router::Step(time_point now, const event& input) {
  return implementation_->Step(now, input);
}

std::optional<time_point> request_router::NextDeadline() const {
  return implementation_->NextDeadline();
}

const entry_metrics& request_router::metrics() const {
  return implementation_->metrics();
}

size_t request_router::in_flight() const {
  return implementation_->in_flight();
}

request_router::implementation::implementation(entry_options options)
    : options_(std::move(options)),
      rates_(std::make_unique<static_split>()),
      members_(options_),
      retries_(options_) {}

std::vector<action> request_router::implementation::Step(time_point now,
                                                         const event& input) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& one) { On(one); }, input);
  if (!next_maintenance_ && NeedsMaintenance()) {
    next_maintenance_ = now_ + seconds(1);
  }
  if (draining_) {
    FinishDrain();
  }
  // Entries of requests that ended or changed their timer.
  while (!timers_.empty()) {
    const auto found = pending_.find(timers_.top().second);
    if (found != pending_.end() && found->second.timer == timers_.top().first) {
      break;
    }
    timers_.pop();
  }
  return std::move(actions_);
}

std::optional<time_point> request_router::implementation::NextDeadline() const {
  std::optional<time_point> next = next_maintenance_;
  const auto consider = [&next](time_point due) {
    next = next ? std::min(*next, due) : due;
  };
  if (!timers_.empty()) {
    consider(timers_.top().first);
  }
  if (drain_deadline_) {
    consider(*drain_deadline_);
  }
  return next;
}

void request_router::implementation::On(const caller_request& request) {
  ++metrics_.requests;
  pending_request pending;
  pending.id = NextId();
  pending.admitted = now_;
  if (const status problem = Admit(request, pending)) {
    Refuse(request, pending, *problem);
    return;
  }
  retries_.RequestAdmitted();
  const uint64_t exchange = request.exchange;
  connections_.emplace(request.connection, exchange);
  const auto [entry, inserted] =
      pending_.insert_or_assign(exchange, std::move(pending));
  if (StartsWork(request.step)) {
    Route(entry->second);
  } else {
    RouteStep(entry->second);
  }
}

// Checks that cost least and disclose least come first; the rate comes last,
// so that a refused request costs the organisation nothing.
status request_router::implementation::Admit(const caller_request& request,
                                             pending_request& pending) {
  if (status problem = CheckRequest(request, options_)) {
    return problem;
  }
  if (status problem = AdmitCapacity(request)) {
    return problem;
  }
  if (status problem = AdmitAccess(request, pending)) {
    return problem;
  }
  if (status problem = AdmitPool(pending)) {
    return problem;
  }
  if (status problem = AdmitToken(request, pending)) {
    return problem;
  }
  if (!pending.grant.open && !EndsTransaction(request.step) &&
      !rates_.Admit(now_, pending.grant.organisation)) {
    const duration wait = rates_.RetryAfter(pending.grant.organisation);
    pending.retry_after_ms = wait.count() / kMicrosecondsPerMs + 1;
    return failure{result_code::kRateExceeded,
                   "the organisation is over its rate and burst"};
  }
  const int64_t timeout_ms = request.timeout_ms > 0
                                 ? request.timeout_ms
                                 : options_.default_timeout.count();
  pending.deadline = now_ + milliseconds(timeout_ms);
  if (!request.idempotency_key.empty()) {
    pending.digest = wire::RequestDigest(request.kind, request.statements);
  }
  return std::nullopt;
}

status request_router::implementation::AdmitCapacity(
    const caller_request& request) const {
  if (drained_sent_ || (draining_ && StartsWork(request.step))) {
    return failure{result_code::kDraining, "this VM is shutting down"};
  }
  if (!Ready()) {
    return failure{result_code::kConfigurationStale,
                   "this VM has not received its configuration yet"};
  }
  if (pending_.size() >= options_.max_in_flight &&
      !EndsTransaction(request.step)) {
    return failure{result_code::kOverloaded,
                   "this VM has no room for another request"};
  }
  if (request.step == transaction_step::kBegin &&
      transactions_.size() >= options_.max_transactions) {
    return failure{result_code::kOverloaded,
                   "this VM has no room for another transaction"};
  }
  return std::nullopt;
}

status request_router::implementation::AdmitAccess(
    const caller_request& request,
    pending_request& pending) {
  std::string route = request.route;
  if (!StartsWork(request.step)) {
    result<session::transaction_id> id =
        session::DecodeTransaction(request.transaction, options_.token_key);
    if (!id) {
      return id.error();
    }
    pending.transaction = std::move(*id);
    route = pending.transaction.route;
  }
  result<access_grant> grant =
      CheckAccess(*configuration_, current_, route, request.bearer);
  if (!grant) {
    return grant.error();
  }
  pending.grant = std::move(*grant);
  if (!pending.grant.open) {
    ++metrics_.organisations[pending.grant.organisation].requests;
  }
  pending.request = request;
  // The secret is not needed any more and is not kept.
  pending.request.bearer.reset();
  if (StartsWork(request.step)) {
    return CheckKind(configuration_->routes.find(route)->second, request.kind);
  }
  if (pending.transaction.organisation != pending.grant.organisation) {
    return failure{result_code::kTransactionNotFound,
                   "no open transaction of this organisation has this id"};
  }
  pending.request.kind = pending.transaction.kind;
  return std::nullopt;
}

status request_router::implementation::AdmitPool(
    pending_request& pending) const {
  const config::route_row& route =
      configuration_->routes.find(pending.grant.route)->second;
  const auto pool = configuration_->pools.find(route.pool);
  if (pool == configuration_->pools.end()) {
    return failure{result_code::kRouteUnknown, "the route's pool is missing"};
  }
  if (StartsWork(pending.request.step) && pool->second.members.empty()) {
    return failure{result_code::kNoPrimary, "the group has no members"};
  }
  pending.pool = pool->first;
  pending.group = pool->second.group;
  return std::nullopt;
}

status request_router::implementation::AdmitToken(const caller_request& request,
                                                  pending_request& pending) {
  const std::string& organisation = pending.grant.organisation;
  if (!request.session) {
    pending.token = session::token(organisation);
    return std::nullopt;
  }
  if (*request.session == session::kLostToken) {
    pending.token = session::token::Lost(organisation);
    return std::nullopt;
  }
  result<session::token> token =
      session::Decode(*request.session, options_.token_key, organisation);
  if (!token) {
    return token.error();
  }
  pending.token = std::move(*token);
  pending.token.Bind(organisation);
  return std::nullopt;
}

void request_router::implementation::Refuse(const caller_request& request,
                                            const pending_request& pending,
                                            const failure& reason) {
  CountAnswer(pending, reason.code);
  answer_caller answer;
  answer.exchange = request.exchange;
  answer.id = pending.id;
  answer.code = reason.code;
  answer.reason = reason.reason;
  if (InfoOf(reason.code).retry_later) {
    answer.retry_after_ms = pending.retry_after_ms > 0
                                ? pending.retry_after_ms
                                : kDefaultRetryAfter.count();
  }
  actions_.emplace_back(std::move(answer));
}

void request_router::implementation::CountAnswer(const pending_request& pending,
                                                 result_code code) {
  const result_code_info& info = InfoOf(code);
  const bool refused_within_rate = info.result == outcome::kNotRun &&
                                   info.retry_later &&
                                   code != result_code::kRateExceeded;
  if (code != result_code::kOk) {
    ++metrics_.refusals[code];
  }
  if (refused_within_rate) {
    ++metrics_.refused_within_rate;
  }
  if (pending.grant.organisation.empty()) {
    return;
  }
  organisation_metrics& counters =
      metrics_.organisations[pending.grant.organisation];
  counters.done += info.result == outcome::kDone ? 1 : 0;
  counters.unknown += info.result == outcome::kUnknown ? 1 : 0;
  counters.rate_exceeded += code == result_code::kRateExceeded ? 1 : 0;
  counters.refused_within_rate += refused_within_rate ? 1 : 0;
}

void request_router::implementation::On(const tick& /*due*/) {
  RunTimers();
  if (next_maintenance_ && now_ >= *next_maintenance_) {
    Maintain();
  }
}

void request_router::implementation::SetTimer(pending_request& pending,
                                              time_point due) {
  pending.timer = due;
  timers_.emplace(due, pending.request.exchange);
}

void request_router::implementation::RunTimers() {
  while (!timers_.empty() && timers_.top().first <= now_) {
    const auto [due, exchange] = timers_.top();
    timers_.pop();
    const auto found = pending_.find(exchange);
    if (found != pending_.end() && found->second.timer == due) {
      OnTimer(found->second);
    }
  }
}

request_id request_router::implementation::NextId() {
  return {options_.origin, ++next_sequence_};
}

}  // namespace tarragondale::entry
