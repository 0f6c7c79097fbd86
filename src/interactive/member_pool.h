// The members of all groups, the links to them, and the state of each.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_MEMBER_POOL_H_
#define TARRAGONDALE_SRC_INTERACTIVE_MEMBER_POOL_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/interactive/capacity_estimate.h"
#include "src/interactive/concurrency_limit.h"
#include "src/interactive/link.h"
#include "src/interactive/position_history.h"
#include "src/interactive/recent_minimum.h"
#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Counts over the links to a member.
struct member_load {
  int running = 0;   ///< Links that await an answer or are being opened.
  int awaiting = 0;  ///< Links that await an answer.
  std::optional<time_point> opening_since;  ///< Oldest connection attempt.
  std::optional<time_point> sent;           ///< Oldest unanswered statement.
  std::vector<std::string> idle;  ///< Organisations that have an idle link.

  bool HasIdle(std::string_view organisation) const;
  bool operator==(const member_load&) const = default;
};

/// @brief A member and its state as seen by this VM.
struct member {
  member_record record;
  bool listed = false;  ///< In the current directory.
  /// Start of draining or absence.
  std::optional<time_point> unavailable_since;
  member_health health;
  /// Earliest time of a new connection for a statement, or of the next status
  /// check that a sweep starts.
  time_point retry_at;
  /// Earliest time of a new connection for a statement after the member refused
  /// one.
  time_point connection_cap_retry_at;
  std::optional<log_position> applied;       ///< Last reported.
  std::optional<time_point> lagging_at;      ///< Last `kLagging` answer.
  duration service_time = milliseconds(15);  ///< Moving average.
  concurrency_limit limit;
  capacity_estimate capacity;
  recent_minimum shortest_response;
  /// As `service_time`, over more statements.
  duration average_response = milliseconds(15);
  /// Expected response time of the statement answered last; for metrics.
  duration expected_response{0};
  double logged_limit = 0;  ///< 0: none.
  std::optional<time_point> limit_logged_at;
  std::set<link_id> links;
  /// Cached by `member_pool::LoadOf`; empty: to be counted.
  mutable std::optional<member_load> load;
};

/// @brief Owns links and members. Does not route statements.
class member_pool {
 public:
  explicit member_pool(const broker_options& options) : options_(options) {}

  /// @brief Applies a new directory. Returns the links to members that
  /// restarted or changed their address; the caller must close them.
  std::vector<link_id> SetDirectory(const member_directory& directory,
                                    time_point now);

  /// @param vms_per_member VMs that connect to each member; 0: all VMs.
  void SetFleet(int vms,
                std::map<std::string, int, std::less<>> by_zone,
                int vms_per_member);

  member* Find(std::string_view id);
  const member* Find(std::string_view id) const;
  /// @brief The caller may change the link until it calls `LoadOf`; for later
  /// changes it must call `Touch`.
  link* FindLink(link_id id);
  const link* PeekLink(link_id id) const;
  /// @brief A link to the member has changed.
  void Touch(const link& changed);
  std::map<std::string, member, std::less<>>& members() { return members_; }
  const std::map<std::string, member, std::less<>>& members() const {
    return members_;
  }
  /// @brief Sorted ids of the known members of a group, listed or not; empty if
  /// there are none.
  const std::vector<std::string>& OfGroup(std::string_view group) const;

  link& AddLink(member& of, std::string organisation, time_point now);
  void RemoveLink(link_id id);

  /// @brief An idle link of `organisation` to the member, preferably one with
  /// the session values of `wanted`, otherwise the least recently used. Null if
  /// there is none.
  link* FindIdle(const member& of,
                 std::string_view organisation,
                 const session& wanted);

  /// @brief Counts over the member's links. Constant time unless one changed
  /// since the last call, so that many waiting statements can be compared.
  const member_load& LoadOf(const member& of) const;

  /// @brief Number of links that await an answer or are being opened.
  int Running(const member& of) const { return LoadOf(of).running; }

  /// @brief Whether the member's concurrency limit, if one is active, and its
  /// learned capacity admit another statement.
  bool Admits(const member& of, time_point now) const;

  /// @brief Highest value of the member's learned limit.
  double CapacityCapOf(const member& of) const;

  /// @brief The least recently used idle link of another organisation. Null if
  /// there is none.
  link* FindReplaceable(const member& of, std::string_view organisation);

  /// @brief Number of links that this VM may have to a member.
  /// @param connection_cap The member's cap, over all VMs.
  /// @param primary Whether the member is its group's primary.
  size_t LinkQuota(const member& of, int connection_cap, bool primary) const;

  /// @brief Expected network round trip to a member.
  duration RoundTrip(const member& of) const;
  /// @brief Cost added for traffic to another zone or region.
  duration TransferPenalty(const member& of) const;

  void OnAnswer(member& of, time_point now);
  void OnFailure(member& of, time_point now);

  const std::unordered_map<link_id, link>& links() const { return links_; }

 private:
  bool SameRegion(std::string_view zone) const;

  const broker_options& options_;
  std::map<std::string, member, std::less<>> members_;
  std::map<std::string, std::vector<std::string>, std::less<>> groups_;
  std::unordered_map<link_id, link> links_;
  link_id last_link_ = 0;
  int vms_ = 1;
  int vms_per_member_ = 0;
  std::map<std::string, int, std::less<>> vms_by_zone_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_MEMBER_POOL_H_
