// Public header of the pool library: the decisions of the gateway that owns
// all connections to database members.
#ifndef TARRAGONDALE_POOL_H_
#define TARRAGONDALE_POOL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/config.h"
#include "tarragondale/database.h"
#include "tarragondale/fleet.h"
#include "tarragondale/wire.h"

namespace tarragondale::pool {

struct request_arrived {
  std::string sender;
  wire::execute_request request;
};

struct cancel_arrived {
  std::string sender;
  wire::cancel_request request;
};

struct interest_arrived {
  std::string sender;
  wire::group_interest interest;
};

struct configuration_changed {
  config::configuration_ptr configuration;
};

struct fleet_changed {
  fleet::fleet_view_ptr view;
};

/// @brief Refuse new requests from now on and finish what runs.
struct drain_started {};

struct tick {};

using event = std::variant<request_arrived,
                           cancel_arrived,
                           interest_arrived,
                           configuration_changed,
                           fleet_changed,
                           database::driver_event,
                           drain_started,
                           tick>;

struct send_answer {
  std::string vm;
  wire::execute_answer answer;
};

struct send_report {
  std::string vm;
  wire::group_report report;
};

/// @brief After `drain_started`: nothing runs and no connection is open. Sent
/// once.
struct drained {};

using action =
    std::variant<database::command, send_answer, send_report, drained>;

/// @brief Limits and intervals of a gateway.
struct gateway_options {
  size_t queue_per_organisation = 128;  ///< Waiting requests per member.
  size_t queue_total = 1024;            ///< Waiting requests per member.
  size_t answer_bytes = 8U << 20;       ///< Largest sum of result values.
  size_t warm_connections = 2;          ///< Kept open while idle, per member.
  duration idle_connection_limit = seconds(30);  ///< Beyond the warm ones.
  duration transaction_idle_limit = seconds(10);
  duration transaction_total_limit = seconds(60);
  /// Bound for finishing work on a member that moved to another VM.
  duration release_limit = seconds(60);
  duration status_interval = milliseconds(100);
  duration interest_lifetime = seconds(3);
  /// Bounds of the adaptive limit for status calls and new connections.
  duration silence_floor = milliseconds(300);
  duration silence_ceiling = seconds(2);
  /// Floor for callers' statements, which legitimately run longer.
  /// A broken connection shows at BEGIN, within the limit above; the limit for
  /// statements only covers one that breaks while a statement runs.
  duration statement_silence_floor = seconds(2);
  duration statement_silence_ceiling = seconds(30);
  duration backoff_floor = milliseconds(50);  ///< After a failed connection.
  duration backoff_ceiling = milliseconds(500);
  duration evidence_interval_floor = milliseconds(1);
  duration evidence_interval_ceiling = milliseconds(25);
};

/// @brief Counters since the gateway began.
struct gateway_metrics {
  uint64_t requests = 0;
  uint64_t answers = 0;
  uint64_t answers_done = 0;
  uint64_t answers_not_run = 0;
  uint64_t answers_unknown = 0;
  uint64_t replayed = 0;
  uint64_t duplicates_dropped = 0;
  uint64_t events_dropped = 0;  ///< Late or unexpected driver events.
  uint64_t connections_opened = 0;
  uint64_t connections_lost = 0;
  uint64_t connections_silent = 0;  ///< Closed for being unresponsive.
  uint64_t transactions_begun = 0;
  uint64_t transactions_timed_out = 0;
  uint64_t evidence_polls = 0;
  uint64_t status_polls = 0;
  uint64_t reports = 0;
  uint64_t queued = 0;  ///< Requests waiting now, over all members.
};

/// @brief Gateway of all members that placement gives to this VM.
///
/// Invariants per member: open connections never exceed (cap - 2) / 2,
/// connections with statements in flight never exceed the slots (status and
/// replication calls excepted), and a connection runs one transaction at a
/// time.
class gateway {
 public:
  explicit gateway(gateway_options options = {});
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  /// @brief Handles an event; `now` never decreases.
  std::vector<action> Step(time_point now, const event& input);

  /// @brief When to deliver the next `tick`; none if nothing is pending.
  std::optional<time_point> NextDeadline() const;

  const gateway_metrics& metrics() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_POOL_H_
