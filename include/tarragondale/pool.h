// Public header of the pool library: the decisions of the gateway that owns
// all connections to database members.
#ifndef TARRAGONDALE_POOL_H_
#define TARRAGONDALE_POOL_H_

#include <cstdint>
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

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_POOL_H_
