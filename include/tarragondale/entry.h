// Public header of the entry library: all decisions for a caller's request,
// from its key to its answer.
#ifndef TARRAGONDALE_ENTRY_H_
#define TARRAGONDALE_ENTRY_H_

#include <cstdint>
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

/// @brief The single answer to an exchange.
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

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_ENTRY_H_
