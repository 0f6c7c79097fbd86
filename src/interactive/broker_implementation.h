// Implementation class of the session broker. Its methods are defined in
// broker.cc and broker_*.cc.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_BROKER_IMPLEMENTATION_H_
#define TARRAGONDALE_SRC_INTERACTIVE_BROKER_IMPLEMENTATION_H_

#include <fmt/format.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/interactive/cold_allowance.h"
#include "src/interactive/evacuation.h"
#include "src/interactive/link.h"
#include "src/interactive/member_pool.h"
#include "src/interactive/position_history.h"
#include "src/interactive/session.h"
#include "src/interactive/shared_rate.h"
#include "src/interactive/work_baselines.h"
#include "tarragondale/interactive.h"
#include "tarragondale/interactive/placement_rules.h"

namespace tarragondale::interactive {

class session_broker::implementation {
 public:
  explicit implementation(broker_options options)
      : options_(std::move(options)), pool_(options_), evacuations_(options_) {}

  std::vector<action> Step(time_point now, const event& input);
  std::optional<time_point> NextDeadline() const;
  member_health HealthOf(std::string_view member) const;
  std::map<std::string, observed_position, std::less<>> Positions() const;
  std::map<std::string, organisation_usage, std::less<>> Usage(
      time_point now) const;
  std::vector<member_capacity_estimate> Capacities(time_point now) const;
  size_t CountPrimaryWork(std::string_view group, int64_t epoch) const;
  std::map<std::string, zone_evacuation, std::less<>> Evacuations() const;
  std::vector<action> StopPrimaryWork(time_point now,
                                      std::string_view group,
                                      int64_t epoch);
  const broker_metrics& metrics() const { return metrics_; }
  size_t sessions() const { return sessions_.size(); }

 private:
  // A member that may run a statement. `cost` is the expected response time
  // plus penalties, such as for chargeable traffic.
  struct candidate {
    member* to = nullptr;
    bool as_primary = false;
    std::optional<log_position> minimum;
    duration cost{0};
  };

  // --- Events (broker.cc) ---
  void On(const caller_opened& event);
  void On(const session_hosted& event);
  void On(const caller_sent& event);
  void On(const caller_closed& event);
  void On(const link_opened& event);
  void On(const link_refused& event);
  void On(const link_answered& event);
  void On(const link_lost& event);
  void On(const configuration_snapshot_changed& event);
  void LogChangedRates(const configuration_snapshot* before,
                       const configuration_snapshot& after);
  void On(const members_changed& event);
  void On(const primary_leases_changed& event);
  void On(const fleet_changed& event);
  void On(const position_reported& event);
  void On(const usage_reported& event);
  void On(const vms_heard& event);
  void On(const reports_restarted& event);
  void On(const check_member& event);
  void On(const demote_member& event);
  void On(const options_changed& event);
  void On(const drain_started& event);
  void On(const tick& event);

  // --- Caller statements (broker_statements.cc) ---
  void StartNext(session& of);
  void Handle(session& of, time_point arrived, caller_statement statement);
  bool RefuseUnauthorised(session& of, const caller_statement& statement);
  void HandleSet(session& of, const caller_statement& statement);
  void HandlePrepare(session& of, const caller_statement& statement);
  void HandleDeallocate(session& of, const caller_statement& statement);
  void HandleBegin(session& of,
                   time_point arrived,
                   const caller_statement& statement);
  void HandleRollback(session& of);
  void StartStatement(session& of,
                      time_point arrived,
                      caller_statement statement);
  const route* RouteOf(const session& of) const;
  // Answers a statement with an error without sending it to a member, and
  // logs the reason.
  void Refuse(session& of,
              const std::string& id,
              result_code code,
              std::string reason);
  void Answer(session& of,
              result_code code,
              std::string reason,
              member_answer* from = nullptr);
  void FailTransaction(session& of);
  void FailStatement(session& of, result_code code, std::string reason);
  void EndSession(session_id id);

  // --- Rates of organisations (broker_rates.cc) ---
  bool TakeRateToken(session& of,
                     time_point arrived,
                     const caller_statement& statement);
  void RefuseRate(session& of, const std::string& id);
  void SweepPaced();
  bool ResumePaced(session_id id, std::string_view organisation);

  // --- Selection of member and link (broker_dispatch.cc) ---
  void DispatchWaiting();
  bool TryDispatch(session& of);
  std::vector<candidate> Candidates(session& of);
  void AddReplicas(session& of, std::vector<candidate>& to);
  const primary_lease* ValidLease(std::string_view group) const;
  duration CostOf(const session& of, const member& to) const;
  duration LongestOpening(const member& to) const;
  bool UseCandidate(session& of, const candidate& chosen);
  void OpenLinkFor(session& of, member& to);
  void AssignLink(session& of, link& on, const candidate& chosen);
  void SendStatement(session& of,
                     link& on,
                     std::optional<log_position> minimum);
  void Send(link& on, std::vector<member_statement> statements);
  size_t LinkQuotaOf(const member& of) const;

  // --- Allowed regions (broker_placement.cc) ---
  // Those of route and organisation in the configuration in force and, in a
  // hosted session, in that of its entry VM.
  placement_rules RulesOf(const session& of) const;
  bool AllowsMember(const placement_rules& rules, const member& of) const;
  void EraseMisplaced(session& of, std::vector<candidate>& from);
  // If no member that could run the waiting statement is in an allowed region,
  // refuses the statement and returns true.
  bool RefuseMisplaced(session& of);
  // If the member that runs the session's transaction is not in an allowed
  // region, fails the transaction as not committed and returns true.
  bool FailMisplacedTransaction(session& of, const link& on);
  // Whether the member is the newest known primary of its group, even if this
  // VM's lease on it has expired.
  bool IsPrimary(const member& of) const;

  // --- Primaries out of reach (broker_reach.cc) ---
  // Whether connections from this VM to the member probably fail.
  bool IsSuspect(const member& of) const;
  bool MayReturn(const session& of) const;
  // Whether a statement that arrived at `arrived` needs a primary that this VM
  // does not reach.
  bool IsOutOfReach(const session& of,
                    const route& settings,
                    bool primary_only,
                    time_point arrived) const;
  bool HasReachableReplica(const session& of,
                           const route& settings,
                           time_point arrived) const;
  // If the session can be served elsewhere only, ends it with `return_session`
  // and returns true.
  bool ReturnIfOutOfReach(session& of,
                          const route& settings,
                          bool primary_only,
                          time_point arrived);
  // The same for a statement that waits. One whose transaction has begun, but
  // not yet at a member, is refused instead.
  bool GiveUpIfOutOfReach(session& of);

  // --- Cold members (broker_cold.cc) ---
  // Statements per second that the member may get from all VMs; 0: no limit.
  double ColdRate(const member& of) const;
  bool IsCold(const member& of) const { return ColdRate(of) > 0; }
  // Whether this VM may send a statement to the member now, cold or not.
  bool HasAllowance(const member& to);
  // Whether the allowance comes too late for the waiting statement.
  bool IsAllowanceTooLate(const session& of, const member& to);
  bool TryCold(session& of, const candidate& chosen);
  // Whether the waiting statement may be sent on the link now. Each statement
  // to a cold member needs an allowance: if others must be sent before, to
  // apply session state, sends one of them and returns false.
  bool IsReadyOn(session& of, link& on);
  void RefuseCold(session& of, const member& to);
  // Rolls a transaction back, or closes the link if nothing may be sent on it:
  // to a cold member without an allowance, or to a member of a zone whose
  // evacuation limit has passed. Returns false if the link was closed.
  bool RollBack(link& on);
  void CountColdStatements(const link& on, size_t statements);

  // --- Learned capacity of members (broker_capacity.cc) ---
  static work_key WorkOf(const session& of, bool in_transaction);
  duration ExpectedAtMember(const session& of, const member& to) const;
  void LearnResponse(const session& of,
                     const link& on,
                     const awaited_answer& awaited,
                     member_code code);
  void LearnUnanswered(const session& of);
  void LogLimit(member& of);

  // --- Answers and link failures (broker_links.cc) ---
  void OnBeginAnswer(session& of, link& on, const member_answer& answer);
  void OnStatementAnswer(session& of,
                         link& on,
                         const awaited_answer& awaited,
                         member_answer answer);
  void OnStatementError(session& of, link& on, const member_answer& answer);
  bool RetryLater(session& of, std::string reason, duration pause);
  void AddPosition(const std::string& group,
                   const observed_position& observation);
  void ObservePosition(const link& on,
                       const awaited_answer& awaited,
                       const member_answer& answer);
  bool OnLeasedPrimary(const session& of, const link& on) const;
  void ReleaseLink(link& of);
  void CloseLink(link_id id);
  void FailLink(link_id id, const std::string& reason);
  void FailLinkOwner(session& of, const link& on, const std::string& reason);
  void StartCheck(member& of, std::optional<int64_t> demote_term);
  void FinishCheck(const std::string& member,
                   std::optional<member_status> status);

  // --- Evacuated availability zones (broker_evacuation.cc) ---
  void ApplyEvacuations(const members_changed& event);
  void EnforceEvacuationLimits();
  void SweepEvacuations();
  void EndEvacuatedWork(link_id id, bool usable, bool past_limit);
  void LogCompletedEvacuations();
  bool HasUsedPrimary(std::string_view availability_zone) const;
  bool IsEvacuated(const member& of) const;
  bool AreAllEvacuated(std::string_view group) const;
  bool MayUseEvacuated(const member& of) const;
  bool HasReplicaElsewhere(const session& of) const;
  void ExcludeEvacuated(session& of, std::vector<candidate>& from);
  void RefuseIfEvacuated(session& of);
  size_t CountWork(std::string_view availability_zone) const;

  // --- Timers (broker_timers.cc) ---
  void SweepStatements();
  void SweepSessions();
  void SweepLinks();
  void SweepDrain();
  void TimeOutStatement(session& of);
  bool ResendSlowRead(session& of);

  template <typename... Args>
  void Log(log_level level,
           fmt::format_string<Args...> format,
           Args&&... args) {
    if (LogEnabled(level)) {
      actions_.push_back(
          log_message{level, fmt::format(format, std::forward<Args>(args)...)});
    }
  }

  // Sort key of waiting statements: priority, then arrival, then session.
  using waiting_key = std::tuple<int, time_point, session_id>;
  static waiting_key KeyOf(const session& of);
  void Enqueue(const session& of);
  void Dequeue(const session& of);

  broker_options options_;
  member_pool pool_;
  evacuation_state evacuations_;
  cold_allowance cold_;
  work_baselines work_;
  time_point now_;
  std::vector<action> actions_;
  broker_metrics metrics_;
  configuration_snapshot_ptr configuration_;
  std::map<std::string, primary_lease, std::less<>> primary_leases_;
  std::map<std::string, position_history, std::less<>> positions_;
  std::map<std::string, shared_rate_limiter, std::less<>> rates_;
  // Sessions whose statement waits for a token, by organisation, in the order
  // of arrival. May contain sessions that have ended.
  std::map<std::string, std::deque<session_id>, std::less<>> paced_;
  int vms_ = 1;
  std::unordered_map<session_id, session> sessions_;
  // Sessions opened before the first configuration arrived; handled when it
  // does.
  std::vector<caller_opened> queued_sessions_;
  // Statements that wait to be sent.
  std::set<waiting_key> waiting_;
  // Sessions with a statement in progress, waiting or sent.
  std::set<session_id> active_;
  // Status checks in flight, by member. A check with a `demote_term` also ends
  // the member's leadership in terms below it.
  struct check {
    link_id link = 0;
    std::optional<int64_t> demote_term;
  };
  std::map<std::string, check, std::less<>> checks_;
  bool dispatch_needed_ = false;
  std::optional<time_point> draining_since_;
  bool drained_ = false;
  time_point next_sweep_;
  time_point next_slow_sweep_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_BROKER_IMPLEMENTATION_H_
