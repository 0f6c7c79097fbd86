// Public header of the group library: the failover coordinator of one database
// group, and the answers to reach requests of other VMs' coordinators.
#ifndef TARRAGONDALE_GROUP_H_
#define TARRAGONDALE_GROUP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/config.h"
#include "tarragondale/database.h"
#include "tarragondale/fleet.h"
#include "tarragondale/wire.h"

namespace tarragondale::group {

/// @brief A report of the group's members from VM `sender`.
struct report_arrived {
  std::string sender;
  wire::group_report report;
};

struct reach_answer_arrived {
  std::string sender;
  wire::reach_answer answer;
};

/// @brief The group's pool row, new or changed.
struct pool_changed {
  config::pool_row pool;
};

/// @brief The fleet changed. The coordinator acts only while placement gives
/// this VM the role (`fleet::CoordinatorRole`).
struct fleet_changed {
  fleet::fleet_view_ptr view;
};

/// @brief An operator asks for a planned change of primary.
struct switchover_requested {
  std::string target;  ///< Member; empty: the most advanced replica.
};

struct tick {};

using event = std::variant<report_arrived,
                           reach_answer_arrived,
                           pool_changed,
                           fleet_changed,
                           switchover_requested,
                           database::driver_event,
                           tick>;

struct send_reach_request {
  std::string vm;
  wire::reach_request request;
};

/// @brief Ask the gateways for reports of this group.
struct send_interest {
  std::string vm;
  wire::group_interest interest;
};

/// @brief What a coordinator says of its work, for the audit trail, metrics
/// and the log. Every failover ends with exactly one of the last four kinds.
enum class notice_kind : uint8_t {
  kSuspected,         ///< The primary may be gone; vantage points are asked.
  kSuspicionCleared,  ///< A vantage point reached the primary; no failover.
  kStarted,           ///< Fencing began.
  kPromoted,          ///< A member serves as primary of the new term.
  kCompleted,         ///< All reachable members follow the new primary.
  kOvertaken,         ///< Another coordinator holds a higher promise.
  kNoMajority,        ///< Too few members can be reached; nothing changed.
  kAbandoned          ///< The role moved to another VM midway.
};
std::string_view NoticeKindName(notice_kind kind);

struct notice {
  notice_kind kind = notice_kind::kSuspected;
  std::string group;
  std::string member;  ///< Old primary for suspicion, new one for promotion.
  int64_t term = 0;
  std::string reason;
};

using action =
    std::variant<database::command, send_reach_request, send_interest, notice>;

}  // namespace tarragondale::group

#endif  // TARRAGONDALE_GROUP_H_
