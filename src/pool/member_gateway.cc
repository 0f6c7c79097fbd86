// Admission, dispatch and answers of one member. The control connection is in
// member_control.cc, interactive transactions are in member_transactions.cc.
#include "src/pool/member_gateway.h"

#include <algorithm>

namespace tarragondale::pool {
namespace {

using enum result_code;

// Connections that other VMs may need for fencing and coordination.
constexpr int kReservedConnections = 2;
// The old and the new gateway fit into the cap while a member moves.
constexpr int kGatewaysDuringMove = 2;
// One control connection and room for one fresh check.
constexpr size_t kControlConnections = 2;
// Shortest advice to wait, about one round of the queue.
constexpr int64_t kRetryFloorMs = 50;

conclusion Refused(result_code code, std::string reason) {
  conclusion refused;
  refused.code = code;
  refused.reason = std::move(reason);
  return refused;
}

bool IsWhole(const wire::execute_request& request) {
  return request.step == wire::transaction_step::kWhole;
}

bool IsBegin(const wire::execute_request& request) {
  return request.step == wire::transaction_step::kBegin;
}

bool RunsStatements(const wire::execute_request& request) {
  return IsWhole(request) || request.step == wire::transaction_step::kContinue;
}

bool IsKeyed(const wire::execute_request& request) {
  return IsWhole(request) && request.kind == wire::request_kind::kWrite &&
         !request.idempotency_key.empty();
}

}  // namespace

member_gateway::member_gateway(gateway_context& context,
                               const config::pool_row& pool,
                               const config::member_row& member)
    : context_(context),
      pool_(pool),
      member_(member),
      connections_(context, this),
      wholes_(context.options.queue_per_organisation,
              context.options.queue_total),
      begins_(context.options.queue_per_organisation,
              context.options.queue_total),
      evidence_(context.options.evidence_interval_floor,
                context.options.evidence_interval_ceiling),
      monitor_(context.options),
      service_time_(context.options.silence_floor,
                    context.options.silence_ceiling),
      statement_limit_(context.options.statement_silence_floor,
                       context.options.statement_silence_ceiling) {
  connections_.SetTarget(member_.address, pool_.database);
  for (const config::member_row& row : pool_.members) {
    member_names_.push_back(row.name);
  }
}

void member_gateway::Configure(time_point now,
                               const config::pool_row& pool,
                               const config::member_row& member) {
  const bool moved =
      member.address != member_.address || pool.database != pool_.database;
  pool_ = pool;
  member_ = member;
  member_names_.clear();
  for (const config::member_row& row : pool_.members) {
    member_names_.push_back(row.name);
  }
  if (moved) {
    connections_.SetTarget(member_.address, pool_.database);
    table_exists_ = false;
    std::vector<database::connection_id> unused;
    for (auto& [id, target] : connections_.all()) {
      target.retire = true;
      if (target.use != connection_use::kWork || target.work == nullptr) {
        unused.push_back(id);
      }
    }
    for (const database::connection_id id : unused) {
      Lose(now, id, true);
    }
  }
  if (member_.leaving) {
    RefuseQueued(kDatabaseLeaving, "the member is leaving");
  }
  OnTick(now);
}

void member_gateway::Release(time_point now) {
  if (release_until_) {
    return;
  }
  release_until_ = now + context_.options.release_limit;
  RefuseQueued(kNotOwner, "the member moved to another gateway");
}

size_t member_gateway::Budget() const {
  const int budget =
      (pool_.connections - kReservedConnections) / kGatewaysDuringMove;
  return budget > 0 ? static_cast<size_t>(budget) : 0;
}

size_t member_gateway::WorkLimit() const {
  const size_t budget = Budget();
  if (budget > kControlConnections) {
    return budget - kControlConnections;
  }
  return budget > 0 ? budget - 1 : 0;
}

size_t member_gateway::WarmTarget() const {
  if (!serving() || context_.draining || member_.leaving ||
      !monitor_.reachable()) {
    return 0;
  }
  return std::min(context_.options.warm_connections, WorkLimit());
}

size_t member_gateway::QueueLength() const {
  return wholes_.size() + begins_.size() + steps_.size() + released_.size() +
         parked_;
}

// --- Admission ---

void member_gateway::OnRequest(time_point now, const request_arrived& event) {
  const wire::execute_request& request = event.request;
  if (active_.contains(request.id)) {
    ++context_.metrics.duplicates_dropped;
    return;
  }
  ++context_.metrics.requests;
  auto item = std::make_shared<pending_request>();
  item->sender = event.sender;
  item->request = request;
  item->arrived = now;
  item->deadline = now + milliseconds(std::max<int64_t>(request.budget_ms, 0));
  if (auto refusal = Refusal(now, request)) {
    Answer(item, std::move(*refusal));
    return;
  }
  Enqueue(item);
  Dispatch(now);
}

std::optional<conclusion> member_gateway::Refusal(
    time_point now,
    const wire::execute_request& request) {
  if (request.budget_ms <= 0) {
    return Refused(kDeadlineBeforeStart, "the deadline has passed");
  }
  if (RunsStatements(request)) {
    if (request.statements.empty()) {
      return Refused(kInvalidField, "there are no statements");
    }
    for (const wire::statement& statement : request.statements) {
      if (ControlsTransaction(statement.sql)) {
        return Refused(kInvalidField,
                       "statements that control transactions, settings or "
                       "copies are not permitted");
      }
    }
  }
  if (!IsWhole(request) && !IsBegin(request)) {
    return StepRefusal(request);
  }
  if (!serving()) {
    return Refused(kNotOwner, "the member moved to another gateway");
  }
  if (context_.draining) {
    return Refused(kDraining, "the gateway is shutting down");
  }
  if (member_.leaving) {
    return Refused(kDatabaseLeaving, "the member is leaving");
  }
  if (WorkLimit() == 0 || (IsBegin(request) && WorkLimit() == 1)) {
    return Refused(kDatabaseUnavailable,
                   "the connection cap of the pool is too low");
  }
  if (monitor_.unreachable()) {
    return Refused(kDatabaseUnavailable, "the member can't be reached");
  }
  if (auto refusal = RoleRefusal(request)) {
    monitor_.PollNow(now);
    return refusal;
  }
  return FreshnessRefusal(now, request);
}

std::optional<conclusion> member_gateway::RoleRefusal(
    const wire::execute_request& request) const {
  if (request.kind != wire::request_kind::kWrite || !monitor_.known()) {
    return std::nullopt;
  }
  const wire::member_report& report = monitor_.status()->report;
  if (report.role != wire::member_role::kPrimary) {
    return Refused(kNoPrimary, "the member is not the primary");
  }
  if (report.promised_term > report.term) {
    return Refused(kNoPrimary, "the member has promised a higher term");
  }
  if (request.expected_term != 0 && request.expected_term != report.term) {
    return Refused(kNoPrimary, "the member serves in another term");
  }
  return std::nullopt;
}

// A request that can start now has its freshness checked by a new status; one
// that would have to wait for that is refused by the last status.
std::optional<conclusion> member_gateway::FreshnessRefusal(
    time_point now,
    const wire::execute_request& request) const {
  if (request.kind != wire::request_kind::kRead || !monitor_.known()) {
    return std::nullopt;
  }
  const bool starts_now =
      QueueLength() == 0 &&
      connections_.SlotsUsed() < static_cast<size_t>(pool_.slots);
  int64_t age_ms = 0;
  if (starts_now || IsFresh(request, *monitor_.status(), now, age_ms)) {
    return std::nullopt;
  }
  return Refused(kNoFreshReplica,
                 "the member does not hold the requested position or age");
}

int64_t member_gateway::EstimatedWaitMs(const fair_queue& queue,
                                        const std::string& organisation) const {
  const auto slots = static_cast<size_t>(std::max(pool_.slots, 1));
  const auto rounds = static_cast<int64_t>(queue.Ahead(organisation) / slots);
  return ToMs(service_time_.Mean() * rounds);
}

void member_gateway::Enqueue(const pending_ptr& item) {
  const wire::execute_request& request = item->request;
  if (!IsWhole(request) && !IsBegin(request)) {
    transactions_[request.transaction].step = item;
    steps_.push_back(item);
  } else {
    fair_queue& queue = IsBegin(request) ? begins_ : wholes_;
    if (EstimatedWaitMs(queue, request.organisation) > request.budget_ms) {
      Answer(item, Refused(kDeadlineBeforeStart,
                           "the queue is longer than the time left"));
      return;
    }
    if (QueueLength() >= context_.options.queue_total || !queue.Push(item)) {
      Answer(item, Refused(kQueueFull, "the queue of the member is full"));
      return;
    }
  }
  active_[request.id] = item;
  deadlines_.emplace(item->deadline, request.id);
}

void member_gateway::Unqueue(const pending_ptr& item) {
  wholes_.Remove(item);
  begins_.Remove(item);
  std::erase(steps_, item);
  std::erase(released_, item);
  for (auto& [key, waiters] : keys_running_) {
    parked_ -= std::erase(waiters, item);
  }
}

void member_gateway::RefuseQueued(result_code code, const std::string& reason) {
  std::vector<pending_ptr> refused = wholes_.TakeAll();
  for (const pending_ptr& item : begins_.TakeAll()) {
    refused.push_back(item);
  }
  refused.insert(refused.end(), released_.begin(), released_.end());
  released_.clear();
  for (auto& [key, waiters] : keys_running_) {
    refused.insert(refused.end(), waiters.begin(), waiters.end());
    waiters.clear();
  }
  parked_ = 0;
  for (const pending_ptr& item : refused) {
    Answer(item, Refused(code, reason));
  }
}

// --- Running ---

void member_gateway::Dispatch(time_point now) {
  while (connections_.SlotsUsed() < static_cast<size_t>(pool_.slots) &&
         (DispatchReset(now) || DispatchStep(now) || DispatchNew(now))) {
  }
}

bool member_gateway::DispatchReset(time_point now) {
  if (resets_.empty()) {
    return false;
  }
  const database::connection_id id = resets_.front();
  resets_.pop_front();
  if (connection* const target = connections_.Find(id)) {
    Flush(now, *target);
    Settle(now, id);
  }
  return true;
}

bool member_gateway::DispatchStep(time_point now) {
  if (steps_.empty()) {
    return false;
  }
  const pending_ptr item = steps_.front();
  steps_.pop_front();
  const auto entry = transactions_.find(item->request.transaction);
  connection* const target = entry == transactions_.end()
                                 ? nullptr
                                 : connections_.Find(entry->second.connection);
  if (target == nullptr) {
    Answer(item, Refused(kTransactionAborted, "the transaction has ended"));
    return true;
  }
  Start(now, *target, item);
  return true;
}

bool member_gateway::NewWaiting() const {
  return !released_.empty() || !wholes_.empty() ||
         (!begins_.empty() && MayPin());
}

bool member_gateway::MayPin() const {
  return transactions_.size() + 1 < WorkLimit();
}

bool member_gateway::DispatchNew(time_point now) {
  if (!NewWaiting() || !monitor_.known()) {
    return false;
  }
  connection* const target = connections_.FindFree();
  if (target == nullptr) {
    OpenForWork(now);
    return false;
  }
  const pending_ptr item = TakeNext();
  if (item == nullptr) {
    return false;
  }
  if (auto refusal = RoleRefusal(item->request)) {
    Answer(item, std::move(*refusal));
  } else if (!Park(item)) {
    Start(now, *target, item);
  }
  return true;
}

pending_ptr member_gateway::TakeNext() {
  if (!released_.empty()) {
    pending_ptr item = released_.front();
    released_.pop_front();
    return item;
  }
  const bool begin_ready = !begins_.empty() && MayPin();
  const bool take_begin = begin_ready && (begin_turn_ || wholes_.empty());
  begin_turn_ = !take_begin;
  return take_begin ? begins_.Pop() : wholes_.Pop();
}

// Two attempts with one key never run at once: the later one waits here and
// then finds the record of the first.
bool member_gateway::Park(const pending_ptr& item) {
  if (!IsKeyed(item->request)) {
    return false;
  }
  const auto [running, added] = keys_running_.try_emplace(
      {item->request.organisation, item->request.idempotency_key});
  if (!added) {
    running->second.push_back(item);
    ++parked_;
  }
  return !added;
}

void member_gateway::ReleaseKey(const transaction& ended) {
  if (!IsKeyed(ended.origin())) {
    return;
  }
  const auto running = keys_running_.find(
      {ended.origin().organisation, ended.origin().idempotency_key});
  if (running == keys_running_.end()) {
    return;
  }
  parked_ -= running->second.size();
  released_.insert(released_.end(), running->second.begin(),
                   running->second.end());
  keys_running_.erase(running);
}

void member_gateway::Start(time_point now,
                           connection& target,
                           const pending_ptr& item) {
  item->stage = request_stage::kRunning;
  item->started = now;
  if (target.work == nullptr) {
    transaction_options options;
    options.answer_bytes = context_.options.answer_bytes;
    options.table_exists = table_exists_;
    options.status = monitor_.status();
    target.work = std::make_unique<transaction>(std::move(options), item);
  }
  if (IsBegin(item->request)) {
    ++context_.metrics.transactions_begun;
    transactions_[item->request.id] = {
        target.id, item->request.organisation, item->sender, now, now, item};
  }
  target.work->Run(now, item);
  Flush(now, target);
}

void member_gateway::OpenForWork(time_point now) {
  if (now < connections_.retry_at()) {
    return;
  }
  const size_t demand =
      released_.size() + wholes_.size() + (MayPin() ? begins_.size() : 0);
  const size_t wanted = std::min(demand, static_cast<size_t>(pool_.slots));
  while (connections_.CountOpening(connection_use::kWork) < wanted &&
         connections_.Count(connection_use::kWork) < WorkLimit()) {
    if (connections_.Open(now, connection_use::kWork, Budget()) == nullptr) {
      return;
    }
  }
}

void member_gateway::Flush(time_point now, connection& target) {
  for (planned_query& query : target.work->TakeQueries()) {
    // A claim of a key waits for a concurrent claim of the same key.
    const bool may_run_long = query.purpose == query_purpose::kStatement ||
                              query.purpose == query_purpose::kClaimKey;
    connections_.Send(now, target, std::move(query.statement), may_run_long);
  }
}

// Frees or closes a connection whose transaction has ended.
void member_gateway::Settle(time_point now, database::connection_id id) {
  connection* const target = connections_.Find(id);
  if (target == nullptr || target->work == nullptr || !target->work->idle() ||
      !target->work->ended()) {
    return;
  }
  ReleaseKey(*target->work);
  const bool reusable = target->work->clean() && !target->retire;
  target->work.reset();
  target->since = now;
  if (!reusable) {
    connections_.Close(id);
  }
}

void member_gateway::OnDriverEvent(time_point now,
                                   const database::driver_event& event) {
  if (const auto* opened = std::get_if<database::connection_opened>(&event)) {
    if (connection* const target = connections_.Find(opened->connection)) {
      target->open = true;
      target->since = now;
      target->last_answer = now;
      connections_.NoteSuccess();
    }
  } else if (const auto* lost =
                 std::get_if<database::connection_lost>(&event)) {
    ++context_.metrics.connections_lost;
    Lose(now, lost->connection, false);
  } else if (const auto* answer =
                 std::get_if<database::query_finished>(&event)) {
    connection* const source = connections_.Find(answer->connection);
    const auto query = source == nullptr
                           ? std::nullopt
                           : connections_.TakeAnswered(now, *source, *answer);
    if (!query) {
      ++context_.metrics.events_dropped;
    } else if (source->use != connection_use::kWork) {
      OnControlAnswer(now, *source, *query, *answer);
    } else if (source->work != nullptr) {
      if (query->may_run_long) {
        statement_limit_.Add(
            std::chrono::duration_cast<duration>(now - query->sent));
      }
      const pending_ptr item = source->work->running();
      auto result = source->work->OnAnswer(now, *answer);
      if (source->work->table_missing()) {
        table_exists_ = false;
      } else if (source->work->table_created()) {
        table_exists_ = true;
      }
      const database::connection_id id = source->id;
      Flush(now, *source);
      if (result) {
        // Only answers count: the silence before a lost connection is no
        // service time and would make the queue look longer than it is.
        service_time_.Add(
            std::chrono::duration_cast<duration>(now - item->started));
        Finish(now, item, std::move(*result));
      }
      Settle(now, id);
    }
  }
  OnTick(now);
}

// A transaction step is over; its answer may still wait for evidence.
void member_gateway::Finish(time_point now,
                            const pending_ptr& item,
                            conclusion result) {
  if (result.code == kNoPrimary) {
    monitor_.PollNow(now);
  }
  if (!IsWhole(item->request)) {
    const request_id id =
        IsBegin(item->request) ? item->request.id : item->request.transaction;
    const auto entry = transactions_.find(id);
    if (entry != transactions_.end()) {
      connection* const target = connections_.Find(entry->second.connection);
      entry->second.last_used = now;
      if (target == nullptr || target->work->ended()) {
        if (result.code != kOk) {
          Bury(entry, kTransactionAborted);
        }
        transactions_.erase(entry);
      }
    }
  }
  if (item->answered) {
    return;
  }
  if (result.code == kOk && result.awaited && item->request.majority) {
    item->stage = request_stage::kEvidence;
    evidence_.Add(now, item, std::move(result));
  } else {
    Answer(item, std::move(result));
  }
}

void member_gateway::Answer(const pending_ptr& item, conclusion result) {
  if (item->answered) {
    return;
  }
  item->answered = true;
  active_.erase(item->request.id);
  deadlines_.erase({item->deadline, item->request.id});
  gateway_metrics& metrics = context_.metrics;
  const result_code_info& info = InfoOf(result.code);
  ++metrics.answers;
  metrics.replayed += result.replayed ? 1 : 0;
  (info.result == outcome::kDone     ? metrics.answers_done
   : info.result == outcome::kNotRun ? metrics.answers_not_run
                                     : metrics.answers_unknown) += 1;
  wire::execute_answer answer;
  answer.id = item->request.id;
  answer.code = result.code;
  answer.reason = std::move(result.reason);
  answer.results = std::move(result.results);
  answer.position = result.position;
  answer.age_ms = result.age_ms;
  answer.from_primary = result.from_primary;
  answer.replayed = result.replayed;
  if (info.retry_later) {
    answer.retry_after_ms = std::max(
        kRetryFloorMs, EstimatedWaitMs(wholes_, item->request.organisation));
  }
  context_.actions.emplace_back(send_answer{item->sender, std::move(answer)});
}

// A whole request of which nothing took effect runs again on another
// connection, so that an idle connection that broke unnoticed costs no refusal.
// A read that had begun is repeated once only, as its statement may be the
// reason why the connection did not answer.
bool member_gateway::RunAgain(const transaction& lost) {
  constexpr int kRepeatsUntouched = 3;
  constexpr int kRepeatsOfReads = 1;
  const pending_ptr& item = lost.running();
  if (item == nullptr || item->answered || !IsWhole(item->request) ||
      !serving() || monitor_.unreachable()) {
    return false;
  }
  const bool read = item->request.kind == wire::request_kind::kRead;
  const int limit = lost.untouched() ? kRepeatsUntouched
                    : read           ? kRepeatsOfReads
                                     : 0;
  if (item->repeats >= limit) {
    return false;
  }
  ++item->repeats;
  item->stage = request_stage::kQueued;
  released_.push_back(item);
  return true;
}

// The connection is gone (`close` false) or is given up.
void member_gateway::Lose(time_point now,
                          database::connection_id id,
                          bool close) {
  connection* const target = connections_.Find(id);
  if (target == nullptr) {
    ++context_.metrics.events_dropped;
    return;
  }
  const connection_use use = target->use;
  const bool was_open = target->open;
  const bool polled_replication = std::any_of(
      target->in_flight.begin(), target->in_flight.end(),
      [](const auto& q) { return q.control == control_query::kReplication; });
  const std::unique_ptr<transaction> work = std::move(target->work);
  if (close) {
    connections_.Close(id);
  } else {
    connections_.Forget(id);
  }
  if (polled_replication) {
    evidence_.PollLost(now);
  }
  if (work != nullptr) {
    ReleaseKey(*work);
    const pending_ptr item = work->running();
    if (!RunAgain(*work)) {
      if (auto result = work->OnLost()) {
        Finish(now, item, std::move(*result));
      }
    }
    const auto entry = transactions_.find(work->origin().id);
    if (entry != transactions_.end() && entry->second.connection == id) {
      const pending_ptr step = entry->second.step;
      Bury(entry, kTransactionAborted);
      transactions_.erase(entry);
      std::erase(steps_, step);
      evidence_.Remove(step);
      Answer(step, Refused(kTransactionAborted,
                           "the connection was lost; the transaction is "
                           "rolled back"));
    }
  }
  if (close) {
    return;
  }
  if (!was_open || use == connection_use::kCheck) {
    if (use == connection_use::kWork) {
      connections_.NoteFailure(now);
    } else {
      OnFreshFailed(now);
    }
  }
  monitor_.PollNow(now);
}

connection* member_gateway::FindRunning(const pending_ptr& item) {
  for (auto& [id, target] : connections_.all()) {
    if (target.work != nullptr && target.work->running() == item) {
      return &target;
    }
  }
  return nullptr;
}

// --- Time ---

void member_gateway::OnTick(time_point now) {
  ExpireDeadlines(now);
  ExpireTransactions(now);
  DriveControl(now);
  CheckSilence(now);
  Dispatch(now);
  CloseIdle(now);
}

// Rolls back a running request that nobody waits for; without effect once
// COMMIT was sent.
void member_gateway::AbandonRunning(time_point now,
                                    const pending_ptr& item,
                                    conclusion why) {
  connection* const target = FindRunning(item);
  if (target == nullptr || !target->work->Abandon()) {
    return;
  }
  const database::connection_id id = target->id;
  if (!IsWhole(item->request)) {
    const request_id transaction_id =
        IsBegin(item->request) ? item->request.id : item->request.transaction;
    const auto entry = transactions_.find(transaction_id);
    if (entry != transactions_.end()) {
      Bury(entry, kTransactionTimedOut);
      transactions_.erase(entry);
    }
  }
  Flush(now, *target);
  Settle(now, id);
  Answer(item, std::move(why));
}

void member_gateway::ExpireDeadlines(time_point now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const request_id id = deadlines_.begin()->second;
    const pending_ptr item = active_.at(id);
    const bool step = !IsWhole(item->request) && !IsBegin(item->request);
    switch (item->stage) {
      case request_stage::kQueued:
        Unqueue(item);
        Answer(item, Refused(kDeadlineBeforeStart,
                             "the deadline passed before the start"));
        break;
      case request_stage::kRunning:
        AbandonRunning(
            now, item,
            Refused(step ? kTransactionTimedOut : kDeadlineBeforeStart,
                    "the deadline passed before COMMIT was sent; "
                    "the transaction is rolled back"));
        Answer(item, Refused(kUnknownTimeout,
                             "the deadline passed after COMMIT was sent"));
        break;
      case request_stage::kEvidence:
        evidence_.Remove(item);
        FailEvidence(now, item, evidence_state::kMissing);
        break;
    }
  }
}

void member_gateway::CloseIdle(time_point now) {
  const size_t warm = WarmTarget();
  size_t count = connections_.Count(connection_use::kWork);
  std::vector<database::connection_id> unused;
  for (const auto& [id, target] : connections_.all()) {
    const bool free = target.use == connection_use::kWork && target.open &&
                      target.work == nullptr;
    const bool old =
        now - target.since >= context_.options.idle_connection_limit;
    if (free && ((old && count > warm) || count > WorkLimit())) {
      unused.push_back(id);
      --count;
    }
  }
  for (const database::connection_id id : unused) {
    connections_.Close(id);
  }
  while (count < warm && now >= connections_.retry_at() &&
         connections_.Open(now, connection_use::kWork, Budget()) != nullptr) {
    ++count;
  }
}

bool member_gateway::Quiet() const {
  return active_.empty() && transactions_.empty() &&
         connections_.SlotsUsed() == 0 && resets_.empty();
}

bool member_gateway::Released(time_point now) const {
  return release_until_ && (Quiet() || now >= *release_until_);
}

void member_gateway::CloseAll(time_point now) {
  RefuseQueued(kNotOwner, "the member moved to another gateway");
  std::vector<database::connection_id> ids;
  for (const auto& [id, target] : connections_.all()) {
    ids.push_back(id);
  }
  for (const database::connection_id id : ids) {
    Lose(now, id, true);
  }
  while (!active_.empty()) {
    const pending_ptr item = active_.begin()->second;
    if (item->stage == request_stage::kEvidence) {
      FailEvidence(now, item, evidence_state::kMissing);
    }
    Answer(item, Refused(kNotOwner, "the member moved to another gateway"));
  }
}

std::optional<time_point> member_gateway::NextDeadline() const {
  std::optional<time_point> next = NextControlDeadline();
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  const gateway_options& options = context_.options;
  if (!deadlines_.empty()) {
    consider(deadlines_.begin()->first);
  }
  for (const auto& [id, entry] : transactions_) {
    if (const auto expires = ExpiresAt(entry)) {
      consider(*expires);
    }
  }
  const size_t count = connections_.Count(connection_use::kWork);
  const bool slot_free =
      connections_.SlotsUsed() < static_cast<size_t>(pool_.slots);
  if ((NewWaiting() && slot_free && count < WorkLimit() &&
       !connections_.HasFree() &&
       connections_.CountOpening(connection_use::kWork) == 0 &&
       monitor_.known()) ||
      count < WarmTarget()) {
    consider(connections_.retry_at());
  }
  if (count > WarmTarget()) {
    for (const auto& [id, target] : connections_.all()) {
      if (target.use == connection_use::kWork && target.open &&
          target.work == nullptr) {
        consider(target.since + options.idle_connection_limit);
      }
    }
  }
  if (release_until_) {
    consider(*release_until_);
  }
  return next;
}

}  // namespace tarragondale::pool
