// Public header of the group library: the failover coordinator of one database
// group, and the answers to reach requests of other VMs' coordinators.
#ifndef TARRAGONDALE_GROUP_H_
#define TARRAGONDALE_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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
  kRefused,           ///< A requested switchover was not started.
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

/// @brief Time limits of a coordinator. The defaults suit latencies of up to
/// 20 ms between a VM and a member and 12 ms to open a connection.
struct timing_options {
  /// Bounds of the adaptive timeout for reports of the primary.
  duration shortest_silence = milliseconds(300);
  duration longest_silence = milliseconds(2000);
  /// Timeout while fewer than `silence_samples` reports were seen.
  duration initial_silence = milliseconds(1000);
  int silence_samples = 8;
  /// Limit of one status, fence, promote or follow call over a connection of
  /// its own. A primary that answers within it is not replaced.
  duration call_limit = milliseconds(500);
  duration call_repeat = milliseconds(50);  ///< Pause before a repeated call.
  duration vantage_limit = milliseconds(700);  ///< Then another VM is asked.
  duration confirm_limit = milliseconds(3000);
  duration fence_limit = milliseconds(2500);
  /// Wait for members beyond the majority, so that ties can be broken.
  duration fence_grace = milliseconds(30);
  duration promote_limit = milliseconds(1200);
  duration follow_limit = milliseconds(1000);
  /// Planned: time for the target to receive the log of the fenced primary.
  /// Writes are refused meanwhile.
  duration catch_up_limit = milliseconds(700);
  /// Planned: highest age of a target's data before the primary is fenced.
  duration target_age = milliseconds(2000);
  /// How long a group without a serving primary is left to a coordinator that
  /// seems at work, since a member holds a promise above all terms, and how
  /// long otherwise, so that the status of all members can arrive.
  duration no_primary_wait = milliseconds(300);
  duration first_status_wait = milliseconds(100);
  /// A replica receives nothing from its primary if for `stall_limit` its
  /// position stays and its age is at least `stall_age`.
  duration stall_age = milliseconds(1000);
  duration stall_limit = milliseconds(2000);
  /// Shortest time between two failovers for this reason. Doubles up to
  /// `stall_pause_most`, since a new primary need not help.
  duration stall_pause = milliseconds(4000);
  duration stall_pause_most = milliseconds(64000);
  /// How long a replica with a promise that the primary lacks is left alone
  /// before the primary is promoted again with a higher term.
  duration heal_wait = milliseconds(5000);
  duration back_off = milliseconds(150);  ///< First one; doubles, plus jitter.
  duration interest_interval = milliseconds(1000);
  /// A member without news for this time is asked for its status.
  duration status_age = milliseconds(2000);
  duration follow_pause = milliseconds(1000);  ///< Between late follow calls.
  duration switchover_pause = milliseconds(5000);  ///< From a leaving member.
  duration watch_tick = milliseconds(50);
  duration active_tick = milliseconds(10);
  /// A step that comes later than its deadline by this time means that the VM
  /// was paused; silence before it is no evidence.
  duration pause_limit = milliseconds(500);
};

struct coordinator_options {
  std::string group;
  /// Random number of this run of the program. With the VM's name and a count
  /// it makes every failover attempt a coordinator of its own for the members,
  /// so that calls of an earlier attempt which are still on their way are
  /// never taken for calls of a later one.
  uint64_t run = 0;
  /// Connection ids are allocated from here upwards; no other part may use
  /// `kConnectionRange` ids from here.
  database::connection_id first_connection = 1;
  static constexpr uint64_t kConnectionRange = uint64_t{1} << 40;
  timing_options timing;
};

/// @brief Counts since the start of the program, for metrics.
struct coordinator_counters {
  uint64_t suspected = 0;
  uint64_t cleared = 0;  ///< Suspicions that did not lead to a failover.
  uint64_t refused = 0;  ///< Requested switchovers that were not started.
  uint64_t started = 0;
  uint64_t planned = 0;  ///< Part of `started`.
  uint64_t promoted = 0;
  uint64_t completed = 0;
  uint64_t overtaken = 0;
  uint64_t no_majority = 0;
  uint64_t abandoned = 0;
};

/// @brief What a coordinator believes, for the status page.
struct coordinator_status {
  bool has_role = false;
  std::string state;    ///< Name of a state of the failover chart.
  std::string primary;  ///< Empty if no member is known to serve.
  int64_t term = 0;     ///< Term of the primary.
};

/// @brief Coordinates changes of the primary of one database group.
///
/// Safety rests on the members' promises and never on placement, clocks or the
/// store: any number of coordinators may act at once. Election by promises
/// follows Raft (Ongaro and Ousterhout, 2014) with an outside coordinator in
/// place of the candidate.
class coordinator {
 public:
  explicit coordinator(coordinator_options options);
  coordinator(coordinator&&) noexcept;
  coordinator& operator=(coordinator&&) noexcept;
  ~coordinator();

  /// @brief Handles an event. Driver events of foreign connections are ignored.
  std::vector<action> Step(time_point now, const event& happened);

  /// @brief When the next `tick` is due; none while the VM lacks the role.
  std::optional<time_point> NextDeadline() const;

  coordinator_status Status() const;
  const coordinator_counters& counters() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

/// @brief A reach request of another VM's coordinator.
struct reach_request_arrived {
  std::string sender;
  wire::reach_request request;
};

struct configuration_changed {
  config::configuration_ptr configuration;
};

using reach_event = std::variant<reach_request_arrived,
                                 configuration_changed,
                                 database::driver_event,
                                 tick>;

struct send_reach_answer {
  std::string vm;
  wire::reach_answer answer;
};

using reach_action = std::variant<database::command, send_reach_answer>;

struct reach_options {
  database::connection_id first_connection = 1;  ///< As for a coordinator.
  duration call_limit = milliseconds(500);
  size_t calls_at_once = 64;     ///< Over all members; one for each member.
  size_t waiting_per_call = 16;  ///< Requests that share one call.
};

/// @brief Answers reach requests with a status read over a fresh connection.
///
/// Requests for one member share a call. A request beyond the bounds or for an
/// unknown member is dropped: an answer would be a vote without evidence.
class reach_responder {
 public:
  explicit reach_responder(reach_options options);
  reach_responder(reach_responder&&) noexcept;
  reach_responder& operator=(reach_responder&&) noexcept;
  ~reach_responder();

  std::vector<reach_action> Step(time_point now, const reach_event& happened);
  std::optional<time_point> NextDeadline() const;
  /// @brief Requests that were dropped since the start.
  uint64_t dropped() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::group

#endif  // TARRAGONDALE_GROUP_H_
