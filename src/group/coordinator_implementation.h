// The coordinator's state and its parts: coordinator.cc takes events, watch.cc
// decides when to act, attempt.cc carries out one change of primary.
#ifndef SRC_GROUP_COORDINATOR_IMPLEMENTATION_H_
#define SRC_GROUP_COORDINATOR_IMPLEMENTATION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/group/calls.h"
#include "src/group/knowledge.h"
#include "src/group/votes.h"
#include "tarragondale/chart.h"
#include "tarragondale/group.h"

namespace tarragondale::group {

using failover_event = chart::failover::event;
using failover_state = chart::failover::state;

/// @brief One change of primary, from the first suspicion to its end.
struct attempt {
  chart::machine<chart::failover> chart;
  std::string reason;
  std::string old_primary;  ///< Empty if none was known.
  std::string wanted;       ///< Target of a planned change; may be empty.
  /// A member that must not become primary, because the replicas do not
  /// receive its log. Its promise does not count either: the others must be a
  /// majority by themselves, so that one of them holds each acknowledged write.
  std::string excluded;
  bool planned = false;
  time_point started;
  time_point stage_started;
  /// Member calls that failed are repeated at this time.
  std::map<std::string, time_point> repeat_at;

  // Confirming.
  std::map<std::string, vote_box> targets;  ///< Members that seem gone.
  std::map<std::string, int> failures;      ///< Own failed calls to targets.
  std::set<std::string> answered;           ///< Members whose status was read.

  // Fencing and promoting.
  int64_t term = 0;
  std::string coordinator;  ///< Id under which members promise `term`.
  /// The old primary is fenced alone so that the target receives its last
  /// entries; ends at `catch_up_until`.
  bool catching_up = false;
  time_point catch_up_until;
  std::optional<log_position> catch_up_to;
  std::map<std::string, wire::member_report> fenced;
  std::optional<time_point> majority_at;
  std::string chosen;
  int lost_candidates = 0;

  // Following.
  std::set<std::string> following;
};

class coordinator::implementation {
 public:
  explicit implementation(coordinator_options options);

  std::vector<action> Step(time_point now, const event& happened);
  std::optional<time_point> NextDeadline() const;
  coordinator_status Status() const;
  const coordinator_counters& counters() const { return counters_; }

 private:
  // coordinator.cc
  void Handle(time_point now, const report_arrived& arrived);
  void Handle(time_point now, const reach_answer_arrived& arrived);
  void Handle(time_point now, const pool_changed& change);
  void Handle(time_point now, const fleet_changed& change);
  void Handle(time_point now, const switchover_requested& request);
  void Handle(time_point now, const database::driver_event& happened);
  void Handle(time_point now, const tick& unused);
  void UpdateRole(time_point now);
  void NoticePause(time_point now);
  void TakeResult(time_point now, const call_result& ended);
  void Advance(time_point now);
  void Call(time_point now,
            call_kind kind,
            const member_state& member,
            wire::statement statement);
  void CloseCalls();
  void Notify(notice_kind kind,
              const std::string& member,
              int64_t term,
              const std::string& reason);
  duration Jitter(duration range) const;

  // watch.cc
  void Watch(time_point now);
  void SendInterest(time_point now);
  void AskQuietMembers(time_point now);
  void FollowLate(time_point now, const member_state& serving);
  bool MustFollow(time_point now,
                  const member_state& member,
                  const member_state& serving) const;
  bool StartIfNoPrimary(time_point now);
  bool StartIfSilent(time_point now, const member_state& serving);
  bool StartIfRequested(time_point now, const member_state& serving);
  bool StartIfLeaving(time_point now, const member_state& serving);
  bool StartIfStalled(time_point now, const member_state& serving);
  bool StartIfUnhealed(time_point now, const member_state& serving);
  std::string ChooseTarget(time_point now, const member_state& serving) const;
  bool MayBeTarget(time_point now, const member_state& member) const;
  void Suspect(time_point now,
               const std::string& primary,
               const std::vector<std::string>& targets,
               const std::string& reason);
  void StartPlanned(time_point now,
                    const member_state& serving,
                    const std::string& target,
                    const std::string& reason);

  // attempt.cc
  void Fire(time_point now, failover_event happened);
  void End(time_point now,
           failover_event happened,
           notice_kind kind,
           const std::string& reason);
  void BackOff(time_point now, notice_kind kind);
  void CallPending(time_point now, call_kind kind, const member_state& member);
  void Confirm(time_point now);
  void AskVantagePoints(time_point now,
                        const std::string& member,
                        vote_box& votes);
  void BeginFencing(time_point now);
  void Fence(time_point now);
  void CatchUp(time_point now);
  void BeginPromoting(time_point now);
  void Promote(time_point now);
  void LoseCandidate(time_point now);
  void Follow(time_point now);
  void TakeConfirmResult(time_point now, const call_result& ended);
  void TakeFenceResult(time_point now, const call_result& ended);
  void TakePromoteResult(time_point now, const call_result& ended);
  void TakeFollowResult(time_point now, const call_result& ended);
  size_t Promises() const;
  int Preference(const config::member_row& row) const;

  coordinator_options options_;
  const timing_options& timing() const { return options_.timing; }
  config::pool_row pool_;
  fleet::fleet_view_ptr view_;
  bool has_role_ = false;
  group_knowledge knowledge_;
  member_calls calls_;
  coordinator_counters counters_;
  std::optional<attempt> attempt_;
  std::optional<switchover_requested> requested_;
  int64_t highest_used_term_ = 0;
  uint64_t attempts_ = 0;   ///< Makes each attempt's coordinator id unique.
  uint64_t sequence_ = 0;   ///< Of reach requests.
  int refused_streak_ = 0;  ///< Attempts in a row that did not complete.
  int cleared_streak_ = 0;  ///< Suspicions in a row that were cleared.
  time_point no_start_before_;
  time_point no_suspicion_before_;
  time_point next_interest_;
  time_point next_leaving_;
  time_point next_stall_;
  duration stall_pause_{0};  ///< The last one; 0 if there was none lately.
  std::optional<time_point> no_primary_since_;
  std::optional<time_point> unhealed_since_;
  time_point last_step_;
  std::optional<time_point> due_;
  std::vector<action> actions_;
  std::vector<database::command> commands_;
};

}  // namespace tarragondale::group

#endif  // SRC_GROUP_COORDINATOR_IMPLEMENTATION_H_
