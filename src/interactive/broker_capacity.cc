// Learns how fast members answer, and predicts their response times.
#include <algorithm>
#include <cmath>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

// A change of the learned limit by more than this factor is logged, at most
// once per `kLogInterval` for each member.
constexpr double kLoggedFactor = 2;
constexpr duration kLogInterval = seconds(1);
// The configured round trip may be longer than the real one. At least this part
// of a response time counts as work.
constexpr int kLeastWorkDivisor = 10;

// Responses over which `member::average_response` is taken.
constexpr int kAveragedResponses = 50;

// Response time without the round trip; positive.
duration WorkIn(duration response_time, duration round_trip) {
  return std::max({response_time - round_trip,
                   response_time / kLeastWorkDivisor, duration(100)});
}

double Ratio(duration part, duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

}  // namespace

work_key session_broker::implementation::WorkOf(const session& of,
                                                bool in_transaction) {
  const active_statement& current = *of.current;
  return {current.settings.name, current.statement.kind, current.writes,
          in_transaction};
}

// Expected response time of the current statement without the round trip. While
// the member answers nothing, at least the time since its last answer.
duration session_broker::implementation::ExpectedAtMember(
    const session& of,
    const member& to) const {
  const member_load& load = pool_.LoadOf(to);
  const double expected =
      static_cast<double>(work_.Mean(WorkOf(of, false)).count()) *
      to.capacity.Expected(load.running, to.record.slots, now_);
  duration silent{0};
  if (load.sent) {
    const time_point since =
        std::max(*load.sent, to.health.last_answer.value_or(*load.sent));
    silent = std::chrono::duration_cast<duration>(now_ - since);
  }
  return std::max(silent, duration(std::llround(expected)));
}

// Only statements that ran are counted; a member rejects others without delay.
void session_broker::implementation::LearnResponse(
    const session& of,
    const link& on,
    const awaited_answer& awaited,
    member_code code) {
  if (options_.capacity == member_capacity::kReported ||
      (code != member_code::kDone && code != member_code::kTimeout)) {
    return;
  }
  member& by = *pool_.Find(on.member);
  const int slots = by.record.slots;
  const work_key key = WorkOf(of, on.begun);
  const auto took = std::chrono::duration_cast<duration>(now_ - awaited.sent);
  by.shortest_response.Add(took, now_);
  by.average_response += (took - by.average_response) / kAveragedResponses;
  const duration work = WorkIn(took, pool_.RoundTrip(by));
  const bool known = work_.Knows(key);
  if (!known) {
    work_.Add(key, work, 1);
  }
  by.capacity.OnDone(Ratio(work, work_.Typical(key)), awaited.ahead, slots,
                     pool_.CapacityCapOf(by), awaited.sent, now_);
  if (known) {
    work_.Add(key, work, by.capacity.Slowness(now_));
  }
  by.expected_response =
      pool_.RoundTrip(by) +
      duration(std::llround(static_cast<double>(work_.Mean(key).count()) *
                            by.capacity.Slowness(now_)));
  LogLimit(by);
}

void session_broker::implementation::LearnUnanswered(const session& of) {
  const link* const on = pool_.PeekLink(of.current->link);
  if (options_.capacity == member_capacity::kReported || on == nullptr) {
    return;
  }
  member& by = *pool_.Find(on->member);
  const duration work =
      WorkIn(std::chrono::duration_cast<duration>(now_ - of.current->sent),
             pool_.RoundTrip(by));
  const int ahead = on->awaited.empty() ? 0 : on->awaited.back().ahead;
  by.capacity.OnUnanswered(Ratio(work, work_.Typical(WorkOf(of, on->begun))),
                           ahead, now_);
}

void session_broker::implementation::LogLimit(member& of) {
  const double limit = of.capacity.LearnedLimit(pool_.CapacityCapOf(of), now_);
  if (of.logged_limit == 0) {
    of.logged_limit = limit;
    return;
  }
  const bool changed = limit > of.logged_limit * kLoggedFactor ||
                       limit < of.logged_limit / kLoggedFactor;
  if (!changed ||
      (of.limit_logged_at && now_ - *of.limit_logged_at < kLogInterval)) {
    return;
  }
  Log(log_level::kInfo,
      "member {} takes {:.1f} statements of this VM well, before {:.1f}; it "
      "answers after {:.1f} times the usual time",
      of.record.id, limit, of.logged_limit, of.capacity.Slowness(now_));
  of.logged_limit = limit;
  of.limit_logged_at = now_;
}

std::vector<member_capacity_estimate>
session_broker::implementation::Capacities(time_point now) const {
  std::vector<member_capacity_estimate> learned;
  if (options_.capacity == member_capacity::kReported) {
    return learned;
  }
  for (const auto& [id, each] : pool_.members()) {
    if (each.listed && each.expected_response > duration(0)) {
      learned.push_back(
          {id, each.capacity.LearnedLimit(pool_.CapacityCapOf(each), now),
           each.expected_response});
    }
  }
  return learned;
}

}  // namespace tarragondale::interactive
