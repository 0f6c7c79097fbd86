// Choice of the member that serves a read.
#include "src/entry/member_choice.h"

#include <algorithm>

namespace tarragondale::entry {
namespace {

// Taken for a member whose gateway has not measured any request yet.
constexpr duration kAssumedServiceTime{1'000};
// A rate of growth says nothing about the log much later than its report.
constexpr milliseconds kLongestExtrapolation{300};
constexpr double kMicrosecondsPerSecond = 1e6;

struct candidate {
  read_choice choice;
  duration cost{0};
  bool tried = false;
};

duration CostOf(const entry_options& options,
                const config::member_row& row,
                const member_state& state,
                bool primary) {
  const duration service = state.report.service_time_us > 0
                               ? duration(state.report.service_time_us)
                               : kAssumedServiceTime;
  // The report holds the whole queue as it was, `outstanding` this VM's part
  // as it is; the larger is the better estimate.
  const auto ahead = static_cast<int64_t>(
      std::max<size_t>(state.report.queue_length, state.outstanding));
  duration cost = 2 * PathLatency(options, row.availability_zone, row.region) +
                  ahead * service;
  if (row.region != options.region) {
    cost += options.metered_link_penalty;
  }
  if (primary) {
    cost += options.primary_penalty;
  }
  return cost;
}

// Time until the replica's log is expected to hold `wanted`; empty if that
// can't be said.
std::optional<duration> WaitFor(const member_state& state,
                                const log_position& wanted,
                                time_point now) {
  const log_position held{state.report.last_term, state.report.position};
  if (held >= wanted) {
    return duration(0);
  }
  const auto elapsed =
      std::chrono::duration_cast<duration>(now - *state.arrived);
  if (held.term != wanted.term || state.positions_per_second <= 0 ||
      elapsed > kLongestExtrapolation) {
    return std::nullopt;
  }
  const double needed = static_cast<double>(wanted.position - held.position) /
                        state.positions_per_second * kMicrosecondsPerSecond;
  if (needed > static_cast<double>(duration(kLongestExtrapolation).count())) {
    return std::nullopt;
  }
  return std::max(duration(0),
                  duration(static_cast<int64_t>(needed)) - elapsed);
}

std::optional<candidate> JudgeReplica(const entry_options& options,
                                      const member_table& table,
                                      time_point now,
                                      const config::pool_row& pool,
                                      const config::member_row& row,
                                      const read_demand& demand) {
  const member_state* const state = table.Find(pool.group, row.name);
  if (row.leaving || demand.freshness.primary_only || state == nullptr ||
      !table.Usable(now, *state) ||
      state->report.role != wire::member_role::kReplica) {
    return std::nullopt;
  }
  if (demand.max_age_ms >= 0) {
    const int64_t age = EstimatedAgeMs(options, *state, now);
    if (age < 0 || age > demand.max_age_ms) {
      return std::nullopt;
    }
  }
  const std::optional<duration> wait =
      WaitFor(*state, demand.freshness.minimum, now);
  if (!wait || *wait > options.replica_wait) {
    return std::nullopt;
  }
  return candidate{.choice = {&row, false, *wait},
                   .cost = *wait + CostOf(options, row, *state, false)};
}

std::optional<candidate> JudgePrimary(const entry_options& options,
                                      const member_table& table,
                                      time_point now,
                                      const config::pool_row& pool) {
  const std::optional<primary_choice> primary = table.PrimaryOf(now, pool);
  if (!primary) {
    return std::nullopt;
  }
  const member_state& state = *table.Find(pool.group, primary->member->name);
  return candidate{.choice = {primary->member, true, duration(0)},
                   .cost = CostOf(options, *primary->member, state, true)};
}

}  // namespace

std::optional<read_choice> ChooseForRead(const entry_options& options,
                                         const member_table& table,
                                         time_point now,
                                         const config::pool_row& pool,
                                         const read_demand& demand) {
  std::optional<candidate> best;
  const auto consider = [&](std::optional<candidate> option) {
    if (!option) {
      return;
    }
    option->tried =
        demand.tried != nullptr &&
        std::find(demand.tried->begin(), demand.tried->end(),
                  option->choice.member->name) != demand.tried->end();
    if (!best || std::pair(option->tried, option->cost) <
                     std::pair(best->tried, best->cost)) {
      best = option;
    }
  };
  for (const config::member_row& row : pool.members) {
    consider(JudgeReplica(options, table, now, pool, row, demand));
  }
  consider(JudgePrimary(options, table, now, pool));
  if (!best) {
    return std::nullopt;
  }
  return best->choice;
}

int64_t EstimatedAgeMs(const entry_options& options,
                       const member_state& state,
                       time_point now) {
  if (state.report.age_ms < 0) {
    return -1;
  }
  return state.report.age_ms + ToMs(now - *state.arrived) +
         options.poll_interval.count();
}

duration PathLatency(const entry_options& options,
                     std::string_view availability_zone,
                     std::string_view region) {
  if (availability_zone == options.availability_zone) {
    return options.zone_latency;
  }
  return region == options.region ? options.region_latency
                                  : options.other_region_latency;
}

}  // namespace tarragondale::entry
