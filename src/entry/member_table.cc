// What this VM knows of the members of database groups.
#include "src/entry/member_table.h"

#include <algorithm>

namespace tarragondale::entry {
namespace {

// A new gateway reports its members as unreachable until its first status
// query is answered; only a longer time counts as a lost majority.
constexpr milliseconds kUnreachableLimit{1'000};
// Reports of the placed gateway go before others for this time.
constexpr milliseconds kGatewayPrecedence{500};
// Weight of the newest sample in the smoothed rate of log growth.
constexpr double kRateWeight = 0.3;

const config::member_row* FindRow(const config::pool_row* pool,
                                  std::string_view member) {
  if (pool == nullptr) {
    return nullptr;
  }
  const auto row = std::find_if(
      pool->members.begin(), pool->members.end(),
      [member](const config::member_row& m) { return m.name == member; });
  return row == pool->members.end() ? nullptr : &*row;
}

void UpdateGrowth(time_point now,
                  member_state& state,
                  const wire::member_report& report) {
  const std::chrono::duration<double> elapsed = now - *state.arrived;
  if (elapsed.count() <= 0 || report.last_term != state.report.last_term) {
    return;
  }
  const double sample =
      static_cast<double>(report.position - state.report.position) /
      elapsed.count();
  state.positions_per_second +=
      kRateWeight * (std::max(0.0, sample) - state.positions_per_second);
}

}  // namespace

member_table::member_table(const entry_options& options) : options_(options) {}

void member_table::SetFleet(fleet::fleet_view_ptr view) {
  view_ = std::move(view);
  ForgetPlacement();
}

void member_table::Report(time_point now,
                          std::string_view sender,
                          const wire::group_report& report,
                          const config::pool_row* pool) {
  // Reports of groups that are not configured are not kept, so that the table
  // is bounded by the configuration.
  if (pool == nullptr) {
    return;
  }
  for (const wire::member_report& member : report.members) {
    const config::member_row* const row = FindRow(pool, member.member);
    if (row == nullptr) {
      continue;
    }
    const std::string gateway = GatewayOf(report.group, *row);
    ReportMember(now, sender, groups_.find(report.group)->second, member,
                 gateway);
  }
}

void member_table::ReportMember(time_point now,
                                std::string_view sender,
                                group_state& group,
                                const wire::member_report& report,
                                const std::string& gateway) {
  member_state& state = group.members[report.member];
  if (sender != gateway && state.sender == gateway && state.arrived &&
      now - *state.arrived < kGatewayPrecedence) {
    return;
  }
  if (report.role == wire::member_role::kPrimary) {
    group.highest_term = std::max(group.highest_term, report.term);
  }
  if (report.reachable) {
    state.unreachable_since.reset();
  } else if (!state.unreachable_since) {
    state.unreachable_since = now;
  }
  if (state.arrived) {
    UpdateGrowth(now, state, report);
  }
  state.report = report;
  state.sender = sender;
  state.arrived = now;
  state.refused_as_primary = false;
}

const std::string& member_table::GatewayOf(std::string_view group,
                                           const config::member_row& member) {
  member_state& state = StateOf(group, member.name);
  if (state.placement_generation != placement_generation_) {
    state.placement_generation = placement_generation_;
    state.gateway.clear();
    if (view_ != nullptr) {
      state.gateway =
          fleet::PlaceRole(*view_, fleet::GatewayRole(group, member.name),
                           {member.availability_zone, member.region})
              .value_or(std::string());
    }
  }
  return state.gateway;
}

member_state& member_table::StateOf(std::string_view group,
                                    std::string_view member) {
  auto entry = groups_.find(group);
  if (entry == groups_.end()) {
    entry = groups_.emplace(group, group_state()).first;
  }
  auto& members = entry->second.members;
  const auto found = members.find(member);
  return found != members.end()
             ? found->second
             : members.emplace(member, member_state()).first->second;
}

const member_state* member_table::Find(std::string_view group,
                                       std::string_view member) const {
  const auto entry = groups_.find(group);
  if (entry == groups_.end()) {
    return nullptr;
  }
  const auto found = entry->second.members.find(member);
  return found == entry->second.members.end() ? nullptr : &found->second;
}

bool member_table::Recent(time_point now, const member_state& state) const {
  return state.arrived && now - *state.arrived <= options_.report_max_age;
}

bool member_table::Usable(time_point now, const member_state& state) const {
  return Recent(now, state) && state.report.reachable;
}

std::optional<primary_choice> member_table::PrimaryOf(
    time_point now,
    const config::pool_row& pool) const {
  const auto group = groups_.find(pool.group);
  if (group == groups_.end()) {
    return std::nullopt;
  }
  for (const config::member_row& row : pool.members) {
    const auto found = group->second.members.find(row.name);
    if (row.leaving || found == group->second.members.end()) {
      continue;
    }
    const member_state& state = found->second;
    // A primary that has promised a higher term refuses every write.
    if (Usable(now, state) && !state.refused_as_primary &&
        state.report.role == wire::member_role::kPrimary &&
        state.report.term == group->second.highest_term &&
        state.report.promised_term <= state.report.term) {
      return primary_choice{&row, state.report.term};
    }
  }
  return std::nullopt;
}

bool member_table::HasReports(time_point now,
                              const config::pool_row& pool) const {
  return std::any_of(pool.members.begin(), pool.members.end(),
                     [&](const config::member_row& row) {
                       const member_state* const state =
                           Find(pool.group, row.name);
                       return state != nullptr && Recent(now, *state);
                     });
}

bool member_table::FailoverPossible(time_point now,
                                    const config::pool_row& pool) const {
  const auto lost = std::count_if(
      pool.members.begin(), pool.members.end(),
      [&](const config::member_row& row) {
        const member_state* const state = Find(pool.group, row.name);
        return state != nullptr && Recent(now, *state) &&
               state->unreachable_since &&
               now - *state->unreachable_since >= kUnreachableLimit;
      });
  return 2 * static_cast<size_t>(lost) < pool.members.size();
}

}  // namespace tarragondale::entry
