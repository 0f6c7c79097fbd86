// What this VM knows of the members of database groups, from the reports of
// their gateways.
#ifndef TARRAGONDALE_SRC_ENTRY_MEMBER_TABLE_H_
#define TARRAGONDALE_SRC_ENTRY_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "tarragondale/entry.h"

namespace tarragondale::entry {

/// @brief Last report of one member.
struct member_state {
  wire::member_report report;
  std::string sender;
  std::optional<time_point> arrived;  ///< Empty: no report yet.
  /// Start of an unbroken run of reports with `reachable` false.
  std::optional<time_point> unreachable_since;
  /// Log entries that the member gains per second, smoothed.
  double positions_per_second = 0;
  /// The member refused a write as its primary after the last report.
  bool refused_as_primary = false;
  size_t outstanding = 0;  ///< Requests of this VM that run there.
  std::string gateway;     ///< Placement; valid for `placement_generation`.
  uint64_t placement_generation = 0;
};

/// @brief The primary that writes go to.
struct primary_choice {
  const config::member_row* member = nullptr;
  int64_t term = 0;
};

/// @brief Table of members of all groups.
class member_table {
 public:
  /// @param options Must outlive the table.
  explicit member_table(const entry_options& options);

  void SetFleet(fleet::fleet_view_ptr view);
  void ForgetPlacement() { ++placement_generation_; }

  /// @brief Takes over a report. While the gateway that placement names sends
  /// reports, those of other VMs are ignored: a former gateway that is cut off
  /// would hide the state of its members.
  void Report(time_point now,
              std::string_view sender,
              const wire::group_report& report,
              const config::pool_row* pool);

  /// @brief VM that is the gateway of a member; empty if no VM is in service.
  const std::string& GatewayOf(std::string_view group,
                               const config::member_row& member);

  /// @brief State of a member, made if there is none.
  member_state& StateOf(std::string_view group, std::string_view member);
  const member_state* Find(std::string_view group,
                           std::string_view member) const;

  /// @brief True if the last report is recent and the member was reachable.
  bool Usable(time_point now, const member_state& state) const;

  /// @brief The usable primary of the highest term that any report named. A
  /// primary of a lower term is superseded even if no newer one is usable.
  std::optional<primary_choice> PrimaryOf(time_point now,
                                          const config::pool_row& pool) const;

  /// @brief True if any member of the pool has a recent report.
  bool HasReports(time_point now, const config::pool_row& pool) const;

  /// @brief False if a majority of members has been unreachable for a while,
  /// so that no failover can end soon.
  bool FailoverPossible(time_point now, const config::pool_row& pool) const;

 private:
  struct group_state {
    std::map<std::string, member_state, std::less<>> members;
    int64_t highest_term = 0;  ///< Of any primary reported; never falls.
  };

  bool Recent(time_point now, const member_state& state) const;
  void ReportMember(time_point now,
                    std::string_view sender,
                    group_state& group,
                    const wire::member_report& report,
                    const std::string& gateway);

  const entry_options& options_;
  fleet::fleet_view_ptr view_;
  uint64_t placement_generation_ = 1;
  std::map<std::string, group_state, std::less<>> groups_;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_MEMBER_TABLE_H_
