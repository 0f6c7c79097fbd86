// Connections to one member and the queries in flight on them.
#ifndef TARRAGONDALE_SRC_POOL_CONNECTION_SET_H_
#define TARRAGONDALE_SRC_POOL_CONNECTION_SET_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/pool/transaction.h"

namespace tarragondale::pool {

class member_gateway;

/// @brief What all members of a gateway share.
struct gateway_context {
  gateway_options options;
  gateway_metrics metrics;
  database::connection_id next_connection = 1;
  database::query_id next_query = 1;
  std::vector<action> actions;
  std::unordered_map<database::connection_id, member_gateway*> owners;
  bool draining = false;

  template <typename Command>
  void Emit(Command command) {
    actions.emplace_back(std::in_place_type<database::command>,
                         std::in_place_type<Command>, std::move(command));
  }
};

enum class connection_use : uint8_t {
  kWork,     ///< Callers' transactions.
  kControl,  ///< Status and replication polls.
  kCheck     ///< Fresh connection that tells a silent one from a dead member.
};

enum class control_query : uint8_t { kNone, kStatus, kReplication };

struct sent_query {
  database::query_id id = 0;
  time_point sent;
  bool may_run_long = false;  ///< A caller's statement, or it waits for a lock.
  control_query control = control_query::kNone;
};

struct connection {
  database::connection_id id = 0;
  connection_use use = connection_use::kWork;
  bool open = false;
  bool retire = false;  ///< Close it instead of reusing it.
  time_point since;     ///< Start of opening, or of being idle.
  time_point last_answer;
  std::deque<sent_query> in_flight;
  std::unique_ptr<transaction> work;  ///< Null: free for a new transaction.

  /// @brief Since when the oldest query has had the connection to itself.
  time_point WaitingSince() const {
    return std::max(in_flight.front().sent, last_answer);
  }
};

/// Invariant: `size()` never exceeds the budget given to `Open`.
class connection_set {
 public:
  connection_set(gateway_context& context, member_gateway* owner)
      : context_(context), owner_(owner) {}

  void SetTarget(std::string address, std::string database);

  /// @brief Opens a connection; null if the budget is used up.
  connection* Open(time_point now, connection_use use, size_t budget);
  void Close(database::connection_id id);
  /// @brief Forgets a connection that the driver reported as lost.
  void Forget(database::connection_id id);
  void Send(time_point now,
            connection& target,
            wire::statement statement,
            bool may_run_long,
            control_query control = control_query::kNone);
  /// @brief The query that this answers; none if the answer is unexpected.
  std::optional<sent_query> TakeAnswered(
      time_point now,
      connection& source,
      const database::query_finished& answer);

  connection* Find(database::connection_id id);
  const connection* Find(database::connection_id id) const;
  /// @brief An open work connection without a transaction; null: none.
  connection* FindFree();
  bool HasFree() const;
  size_t Count(connection_use use) const;
  size_t CountOpening(connection_use use) const;
  /// @brief Work connections with statements in flight.
  size_t SlotsUsed() const;
  size_t size() const { return connections_.size(); }

  std::map<database::connection_id, connection>& all() { return connections_; }
  const std::map<database::connection_id, connection>& all() const {
    return connections_;
  }

  /// @brief Backoff between attempts to open connections.
  void NoteFailure(time_point now);
  void NoteSuccess();
  time_point retry_at() const { return retry_at_; }

 private:
  gateway_context& context_;
  member_gateway* owner_;
  std::string address_;
  std::string database_;
  std::map<database::connection_id, connection> connections_;
  duration backoff_{0};
  time_point retry_at_;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_CONNECTION_SET_H_
