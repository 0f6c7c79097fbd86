// Public header of the entry library: all decisions for a caller's request,
// from its key to its answer.
#ifndef TARRAGONDALE_ENTRY_H_
#define TARRAGONDALE_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/config.h"
#include "tarragondale/fleet.h"
#include "tarragondale/wire.h"

namespace tarragondale::entry {

/// @brief What a caller asks for, decoded from HTTP and JSON but not checked
/// against the configuration.
struct caller_request {
  uint64_t connection = 0;  ///< Caller's connection; bound to transactions.
  uint64_t exchange = 0;    ///< Names the answer; each gets exactly one.
  wire::transaction_step step = wire::transaction_step::kWhole;
  std::string route;  ///< Empty for steps after `kBegin`.
  wire::request_kind kind = wire::request_kind::kRead;
  std::vector<wire::statement> statements;
  std::string transaction;  ///< Transaction id text for steps after `kBegin`.
  std::optional<std::string> bearer;   ///< `<key id>.<secret>`.
  std::string idempotency_key;         ///< Empty: not repeatable.
  std::optional<std::string> session;  ///< Session token, or `lost`.
  int64_t max_age_ms = -1;             ///< -1: any age.
  int64_t timeout_ms = 0;              ///< 0: the default of the settings.
};

/// @brief The caller's connection closed.
struct caller_gone {
  uint64_t connection = 0;
};

struct answer_arrived {
  std::string sender;
  wire::execute_answer answer;
};

/// @brief The transport could not take a message: none of it left this VM.
struct send_failed {
  request_id id;
};

struct report_arrived {
  std::string sender;
  wire::group_report report;
};

struct configuration_changed {
  config::configuration_ptr configuration;
};

struct fleet_changed {
  fleet::fleet_view_ptr view;
};

/// @brief Whether this VM can tell that its configuration is current. Keyed
/// routes are refused while it can't.
struct currency_changed {
  bool current = false;
};

/// @brief Refuse new work from now on and finish what runs.
struct drain_started {};

struct tick {};

using event = std::variant<caller_request,
                           caller_gone,
                           answer_arrived,
                           send_failed,
                           report_arrived,
                           configuration_changed,
                           fleet_changed,
                           currency_changed,
                           drain_started,
                           tick>;

/// @brief The single answer to an exchange. Exchanges of a connection that
/// `caller_gone` named get none.
struct answer_caller {
  uint64_t exchange = 0;
  request_id id;
  result_code code = result_code::kOk;
  std::string reason;
  std::vector<wire::statement_result> results;
  std::string session;      ///< New session token; empty: none.
  std::string transaction;  ///< Transaction id text after `kBegin`.
  int64_t age_ms = 0;
  bool from_primary = false;
  bool replayed = false;
  int64_t retry_after_ms = 0;
};

struct send_request {
  std::string vm;
  wire::execute_request request;
};

struct send_cancel {
  std::string vm;
  wire::cancel_request request;
};

struct send_interest {
  std::string vm;
  wire::group_interest interest;
};

/// @brief After `drain_started`: no request is left. Sent once.
struct drained {};

using action = std::
    variant<answer_caller, send_request, send_cancel, send_interest, drained>;

/// @brief Options of `request_router`.
struct entry_options {
  /// Key of session tokens and transaction ids, 32 raw bytes; the same on all
  /// VMs.
  std::string token_key;
  uint64_t origin = 0;  ///< `request_id::origin` of this VM's incarnation.
  uint64_t seed = 0;    ///< Of the generator for jitter.
  std::string availability_zone;
  std::string region;

  milliseconds default_timeout{5'000};
  milliseconds max_timeout{60'000};
  size_t max_statements = 100;    ///< Statements in one request.
  size_t max_parameters = 1'000;  ///< Parameters of one statement.

  size_t max_in_flight = 8'192;  ///< Admitted requests without an answer.
  /// Requests of one group that wait for a primary or a first report.
  size_t max_waiting = 1'024;
  size_t max_transactions = 4'096;  ///< Open transactions begun here.

  duration zone_latency{100};             ///< One way within a zone.
  duration region_latency{1'000};         ///< One way between zones.
  duration other_region_latency{8'000};   ///< One way between regions.
  duration metered_link_penalty{20'000};  ///< Added for another region.
  /// Added for the primary, which has the writes to carry. As long as
  /// `replica_wait`, so that a replica that qualifies in time is preferred.
  duration primary_penalty{20'000};

  milliseconds report_max_age{2'000};  ///< Older reports count for nothing.
  /// Error margin of a replica's age: members are polled at this interval.
  milliseconds poll_interval{100};
  milliseconds replica_wait{20};     ///< Longest wait for a replica.
  milliseconds primary_wait{3'000};  ///< Longest wait for a failover to end.
  milliseconds report_wait{500};     ///< Longest wait for a first report.
  /// Transactions that are open when a drain starts are cancelled after this.
  milliseconds drain_limit{10'000};
  /// A transaction that was not used for this long is forgotten here. Longer
  /// than any idle timeout of a gateway.
  milliseconds transaction_retention{120'000};

  double retry_ratio = 0.1;     ///< Retries for each admitted request.
  double retry_floor_rate = 1;  ///< Retries per second that are always free.
  double retry_budget_limit = 100;  ///< Most retries that can be saved up.
};

/// @brief Counters of one organisation.
struct organisation_metrics {
  uint64_t requests = 0;  ///< All that named a valid key.
  uint64_t done = 0;
  uint64_t rate_exceeded = 0;
  /// Refused although admitted by the rate: `not_run` with `Retry-After`.
  uint64_t refused_within_rate = 0;
  uint64_t unknown = 0;
};

/// @brief Counters since the router was made.
struct entry_metrics {
  uint64_t requests = 0;
  uint64_t reads_by_replica = 0;
  uint64_t reads_by_primary = 0;
  uint64_t writes_done = 0;
  uint64_t refused_within_rate = 0;
  uint64_t retries = 0;
  uint64_t retries_denied = 0;     ///< The retry budget was empty.
  uint64_t answers_dropped = 0;    ///< Late, doubled or of another sender.
  uint64_t answers_too_old = 0;    ///< Reads that were not fresh enough.
  uint64_t waits_for_primary = 0;  ///< Requests that waited for a failover.
  /// Time from admission to answer of done requests, microseconds.
  uint64_t done_latency_us = 0;
  std::map<result_code, uint64_t> refusals;  ///< All codes but `ok`.
  std::map<std::string, organisation_metrics, std::less<>> organisations;
};

/// @brief Decides for each caller's request what is sent where, and its
/// answer.
///
/// A deterministic state machine: no I/O, threads or clocks. The runtime
/// delivers events in order with a time that never falls, and `tick` when
/// `NextDeadline` has come. Keyed routes are refused until
/// `currency_changed{true}` arrives, all routes until a configuration does.
class request_router {
 public:
  explicit request_router(entry_options options);
  request_router(request_router&&) noexcept;
  request_router& operator=(request_router&&) noexcept;
  ~request_router();

  /// @brief Handles one event.
  std::vector<action> Step(time_point now, const event& input);

  /// @brief When the next `tick` is due; empty if nothing waits.
  std::optional<time_point> NextDeadline() const;

  const entry_metrics& metrics() const;

  /// @brief Admitted requests without an answer.
  size_t in_flight() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_ENTRY_H_
