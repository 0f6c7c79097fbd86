// Interactive transactions of a member gateway: steps, limits, cancellation,
// and evidence that fails.
#include <algorithm>

#include "src/pool/member_gateway.h"

namespace tarragondale::pool {
namespace {

using enum result_code;

// Ended transactions whose later steps get an exact reason.
constexpr size_t kTombstones = 1024;

conclusion Refused(result_code code, std::string reason) {
  conclusion refused;
  refused.code = code;
  refused.reason = std::move(reason);
  return refused;
}

}  // namespace

std::optional<conclusion> member_gateway::StepRefusal(
    const wire::execute_request& request) {
  const auto entry = transactions_.find(request.transaction);
  if (entry == transactions_.end()) {
    const auto ended = tombstones_.find(request.transaction);
    if (ended == tombstones_.end() ||
        ended->second.organisation != request.organisation) {
      return Refused(kTransactionNotFound, "there is no such transaction");
    }
    return Refused(ended->second.code, "the transaction was rolled back");
  }
  // Another organisation learns nothing of the transaction.
  if (entry->second.organisation != request.organisation) {
    return Refused(kTransactionNotFound, "there is no such transaction");
  }
  if (!entry->second.step->answered) {
    return Refused(kOverloaded, "another step of the transaction is running");
  }
  return std::nullopt;
}

void member_gateway::Bury(transaction_map::const_iterator entry,
                          result_code code) {
  if (tombstones_.size() >= kTombstones) {
    tombstones_.erase(tombstone_order_.front());
    tombstone_order_.pop_front();
  }
  if (tombstones_
          .try_emplace(entry->first,
                       tombstone{code, entry->second.organisation})
          .second) {
    tombstone_order_.push_back(entry->first);
  }
}

// The idle time of a transaction counts from the answer to its last step.
void member_gateway::TouchTransaction(time_point now,
                                      const wire::execute_request& step) {
  const auto entry = transactions_.find(step.transaction);
  if (entry != transactions_.end()) {
    entry->second.last_used = now;
  }
}

// Rolls back an open transaction unless its COMMIT was sent.
void member_gateway::EndTransaction(time_point now,
                                    const request_id& id,
                                    result_code code,
                                    const std::string& reason) {
  const auto entry = transactions_.find(id);
  if (entry == transactions_.end()) {
    return;
  }
  connection* const target = connections_.Find(entry->second.connection);
  if (target != nullptr && !target->work->Abandon()) {
    return;
  }
  const pending_ptr step = entry->second.step;
  Bury(entry, code);
  transactions_.erase(entry);
  std::erase(steps_, step);
  evidence_.Remove(step);
  Answer(step, Refused(code, reason));
  if (target == nullptr) {
    return;
  }
  if (target->in_flight.empty()) {
    resets_.push_back(target->id);  // Its ROLLBACK needs a slot.
  } else {
    Flush(now, *target);
  }
}

void member_gateway::OnCancel(time_point now, const request_id& id) {
  const auto found = active_.find(id);
  const bool transactional = transactions_.contains(id);
  if (found != active_.end() && !transactional) {
    const pending_ptr item = found->second;
    const conclusion cancelled =
        Refused(kTransactionAborted, "the caller cancelled the request");
    if (item->stage == request_stage::kQueued) {
      Unqueue(item);
      Answer(item, cancelled);
    } else if (item->stage == request_stage::kRunning) {
      AbandonRunning(now, item, cancelled);
    }
  }
  EndTransaction(now, id, kTransactionAborted, "the caller is gone");
  OnTick(now);
}

void member_gateway::OnFleet(time_point now, const fleet::fleet_view& view) {
  std::vector<request_id> orphans;
  for (const auto& [id, entry] : transactions_) {
    const wire::vm_record* const vm = view.Find(entry.vm);
    if (vm == nullptr || vm->state == wire::vm_state::kLeaving ||
        vm->state == wire::vm_state::kDead) {
      orphans.push_back(id);
    }
  }
  for (const request_id& id : orphans) {
    EndTransaction(now, id, kTransactionAborted, "the entry is gone");
  }
  OnTick(now);
}

// None once COMMIT was sent: the transaction then ends by its answer or by the
// loss of its connection.
std::optional<time_point> member_gateway::ExpiresAt(
    const open_transaction& entry) const {
  const connection* const target = connections_.Find(entry.connection);
  if (target == nullptr || target->work->commit_sent()) {
    return std::nullopt;
  }
  const gateway_options& options = context_.options;
  const time_point total = entry.begun + options.transaction_total_limit;
  if (!entry.step->answered) {
    return total;
  }
  return std::min(total, entry.last_used + options.transaction_idle_limit);
}

void member_gateway::ExpireTransactions(time_point now) {
  std::vector<request_id> expired;
  for (const auto& [id, entry] : transactions_) {
    const auto expires = ExpiresAt(entry);
    if (expires && *expires <= now) {
      expired.push_back(id);
    }
  }
  for (const request_id& id : expired) {
    ++context_.metrics.transactions_timed_out;
    EndTransaction(now, id, kTransactionTimedOut,
                   "the transaction was idle or open for too long");
  }
}

// A position that was read or written is not known to be held by a majority.
void member_gateway::FailEvidence(time_point now,
                                  const pending_ptr& item,
                                  evidence_state state) {
  const wire::execute_request& request = item->request;
  const bool refuted = state == evidence_state::kRefuted;
  if (request.step == wire::transaction_step::kContinue) {
    EndTransaction(now, request.transaction, kTransactionAborted,
                   "a majority did not confirm what the step read");
    return;
  }
  if (request.kind == wire::request_kind::kRead) {
    Answer(item, Refused(refuted ? kNoPrimary : kNoFreshReplica,
                         "a majority did not confirm the position read"));
    return;
  }
  Answer(item,
         Refused(kUnknownNotReplicated,
                 refuted ? "the primary was superseded before a majority "
                           "held the commit"
                         : "a majority did not confirm the commit in time"));
}

}  // namespace tarragondale::pool
