// Changes around the request router: configuration, fleet, callers that leave
// and drain.
#include <utility>

#include "src/entry/router.h"

namespace tarragondale::entry {
namespace {

bool InService(const fleet::fleet_view& view, std::string_view vm) {
  const wire::vm_record* const record = view.Find(vm);
  return record != nullptr && record->state != wire::vm_state::kDead;
}

}  // namespace

void request_router::implementation::On(const configuration_changed& changed) {
  // Versions never go back.
  if (changed.configuration == nullptr ||
      (configuration_ != nullptr &&
       changed.configuration->version < configuration_->version)) {
    return;
  }
  configuration_ = changed.configuration;
  pool_of_group_.clear();
  for (const auto& [name, pool] : configuration_->pools) {
    pool_of_group_.emplace(pool.group, &pool);
  }
  members_.ForgetPlacement();
  if (view_ != nullptr) {
    rates_.Update(now_, *configuration_, *view_);
  }
  const std::vector<open_transaction> withdrawn =
      transactions_.TakeIf([this](const open_transaction& transaction) {
        return RecheckAccess(*configuration_, /*current=*/true,
                             transaction.grant)
            .has_value();
      });
  for (const open_transaction& transaction : withdrawn) {
    CancelTransaction(transaction);
  }
  RefuseUnsentWithoutAccess();
}

void request_router::implementation::On(const fleet_changed& changed) {
  if (changed.view == nullptr) {
    return;
  }
  view_ = changed.view;
  members_.SetFleet(view_);
  if (configuration_ != nullptr) {
    rates_.Update(now_, *configuration_, *view_);
  }
  // A VM that died rolled its transactions back.
  transactions_.TakeIf([this](const open_transaction& transaction) {
    return !InService(*view_, transaction.vm);
  });
  ForEachPending([this](pending_request& pending) { LoseAttempts(pending); });
  // New gateways shall report at once.
  if (next_maintenance_) {
    next_maintenance_ = now_;
  }
}

// Ends the attempts at VMs that are no longer in service.
void request_router::implementation::LoseAttempts(pending_request& pending) {
  const uint64_t exchange = pending.request.exchange;
  const size_t count = pending.attempts.size();
  for (size_t i = 0; i < count; ++i) {
    const attempt& one = pending.attempts[i];
    if (one.state != attempt_state::kOpen || InService(*view_, one.vm)) {
      continue;
    }
    AttemptEnded(pending, i, attempt_state::kUnknown,
                 {.reason = {result_code::kUnknownConnectionLost,
                             "VM " + one.vm + " failed before it answered"}});
    if (!pending_.contains(exchange)) {
      return;
    }
  }
}

void request_router::implementation::On(const currency_changed& changed) {
  current_ = changed.current;
  if (!current_ && Ready()) {
    RefuseUnsentWithoutAccess();
  }
}

void request_router::implementation::RefuseUnsentWithoutAccess() {
  ForEachPending([this](pending_request& pending) {
    if (pending.phase == request_phase::kSent) {
      return;
    }
    const status problem =
        RecheckAccess(*configuration_, current_, pending.grant);
    if (!problem) {
      return;
    }
    if (pending.AnyOpen()) {
      LeaveWaiting(pending);
      AwaitOpenAttempts(pending);
    } else {
      Finish(pending, *problem, 0);
    }
  });
}

void request_router::implementation::CancelTransaction(
    const open_transaction& transaction) {
  // A cancel has no effect on a commit that was sent already.
  if (!transaction.committing) {
    actions_.emplace_back(
        send_cancel{transaction.vm,
                    {transaction.id, transaction.group, transaction.member}});
  }
}

void request_router::implementation::On(const caller_gone& gone) {
  std::vector<uint64_t> exchanges;
  const auto [first, end] = connections_.equal_range(gone.connection);
  for (auto entry = first; entry != end; ++entry) {
    exchanges.push_back(entry->second);
  }
  for (const uint64_t exchange : exchanges) {
    pending_request& pending = pending_.find(exchange)->second;
    CancelOpenAttempts(pending);
    Erase(pending);
  }
  for (const open_transaction& transaction :
       transactions_.TakeConnection(gone.connection)) {
    CancelTransaction(transaction);
  }
}

void request_router::implementation::On(const drain_started& /*started*/) {
  if (!draining_) {
    draining_ = true;
    drain_deadline_ = now_ + options_.drain_limit;
  }
}

// Requests end by their own deadlines; transactions that stay open for too
// long are cancelled.
void request_router::implementation::FinishDrain() {
  if (drain_deadline_ && now_ >= *drain_deadline_) {
    drain_deadline_.reset();
    for (const open_transaction& transaction :
         transactions_.TakeIf([](const open_transaction&) { return true; })) {
      CancelTransaction(transaction);
    }
  }
  if (!drained_sent_ && pending_.empty() && transactions_.empty()) {
    drained_sent_ = true;
    drain_deadline_.reset();
    actions_.emplace_back(drained());
  }
}

void request_router::implementation::ForEachPending(
    const std::function<void(pending_request&)>& visit) {
  std::vector<uint64_t> exchanges;
  exchanges.reserve(pending_.size());
  for (const auto& [exchange, pending] : pending_) {
    exchanges.push_back(exchange);
  }
  for (const uint64_t exchange : exchanges) {
    const auto found = pending_.find(exchange);
    if (found != pending_.end()) {
      visit(found->second);
    }
  }
}

}  // namespace tarragondale::entry
