// Opens, closes and counts connections.
#include "src/pool/connection_set.h"

#include <algorithm>

namespace tarragondale::pool {

void connection_set::SetTarget(std::string address, std::string database) {
  address_ = std::move(address);
  database_ = std::move(database);
}

connection* connection_set::Open(time_point now,
                                 connection_use use,
                                 size_t budget) {
  if (connections_.size() >= budget) {
    return nullptr;
  }
  const database::connection_id id = context_.next_connection++;
  connection& added = connections_[id];
  added.id = id;
  added.use = use;
  added.since = now;
  context_.owners[id] = owner_;
  ++context_.metrics.connections_opened;
  context_.Emit(database::open_connection{id, address_, database_});
  return &added;
}

void connection_set::Close(database::connection_id id) {
  context_.Emit(database::close_connection{id});
  Forget(id);
}

void connection_set::Forget(database::connection_id id) {
  connections_.erase(id);
  context_.owners.erase(id);
}

void connection_set::Send(time_point now,
                          connection& target,
                          wire::statement statement,
                          bool may_run_long,
                          control_query control) {
  const database::query_id id = context_.next_query++;
  target.in_flight.push_back({id, now, may_run_long, control});
  context_.Emit(database::send_query{target.id, id, std::move(statement)});
}

std::optional<sent_query> connection_set::TakeAnswered(
    time_point now,
    connection& source,
    const database::query_finished& answer) {
  if (source.in_flight.empty() || source.in_flight.front().id != answer.query) {
    return std::nullopt;
  }
  sent_query query = source.in_flight.front();
  query.sent = source.WaitingSince();
  source.in_flight.pop_front();
  source.last_answer = now;
  return query;
}

connection* connection_set::Find(database::connection_id id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

const connection* connection_set::Find(database::connection_id id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

connection* connection_set::FindFree() {
  // The most recently used connection goes first, so that others become idle
  // long enough to be closed.
  connection* best = nullptr;
  for (auto& [id, candidate] : connections_) {
    if (candidate.use == connection_use::kWork && candidate.open &&
        candidate.work == nullptr &&
        (best == nullptr || candidate.since > best->since)) {
      best = &candidate;
    }
  }
  return best;
}

bool connection_set::HasFree() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& it) {
                       return it.second.use == connection_use::kWork &&
                              it.second.open && it.second.work == nullptr;
                     });
}

size_t connection_set::Count(connection_use use) const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [use](const auto& it) { return it.second.use == use; }));
}

size_t connection_set::CountOpening(connection_use use) const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(), [use](const auto& it) {
        return it.second.use == use && !it.second.open;
      }));
}

size_t connection_set::SlotsUsed() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(), [](const auto& it) {
        return it.second.use == connection_use::kWork &&
               !it.second.in_flight.empty();
      }));
}

void connection_set::NoteFailure(time_point now) {
  const gateway_options& options = context_.options;
  backoff_ =
      std::clamp(backoff_ * 2, options.backoff_floor, options.backoff_ceiling);
  retry_at_ = now + backoff_;
}

void connection_set::NoteSuccess() {
  backoff_ = duration(0);
  retry_at_ = time_point();
}

}  // namespace tarragondale::pool
