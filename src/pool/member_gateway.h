// Gateway of one member: admission, slots, connections, interactive
// transactions, evidence and status of that member.
#ifndef TARRAGONDALE_SRC_POOL_MEMBER_GATEWAY_H_
#define TARRAGONDALE_SRC_POOL_MEMBER_GATEWAY_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/pool/connection_set.h"
#include "src/pool/fair_queue.h"
#include "src/pool/replication_evidence.h"
#include "src/pool/status_monitor.h"

namespace tarragondale::pool {

class member_gateway {
 public:
  member_gateway(gateway_context& context,
                 const config::pool_row& pool,
                 const config::member_row& member);

  void Configure(time_point now,
                 const config::pool_row& pool,
                 const config::member_row& member);
  /// @brief Placement moved the member away: finish what runs.
  void Release(time_point now);
  /// @brief Placement gave the member back before the release ended.
  void Resume() { release_until_.reset(); }

  void OnRequest(time_point now, const request_arrived& event);
  void OnCancel(time_point now, const request_id& id);
  void OnInterest(time_point now, const std::string& vm);
  void OnDriverEvent(time_point now, const database::driver_event& event);
  /// @brief Rolls back transactions of entries that left.
  void OnFleet(time_point now, const fleet::fleet_view& view);
  void OnTick(time_point now);

  /// @brief No request, transaction or statement is left.
  bool Quiet() const;
  /// @brief The release is complete or its bound has passed.
  bool Released(time_point now) const;
  /// @brief Ends what is left and closes all connections.
  void CloseAll(time_point now);

  std::optional<time_point> NextDeadline() const;
  size_t QueueLength() const;
  const std::string& group() const { return pool_.group; }

 private:
  struct open_transaction {
    database::connection_id connection = 0;
    std::string organisation;
    std::string vm;  ///< Entry that began it.
    time_point begun;
    time_point last_used;
    // Last step; the next one waits for its answer. It is answered when this
    // entry is erased: the deadline of a step that waits for a majority is
    // handled through the entry.
    pending_ptr step;
  };
  using key_name = std::pair<std::string, std::string>;

  // Admission.
  std::optional<conclusion> Refusal(time_point now,
                                    const wire::execute_request& request);
  std::optional<conclusion> RoleRefusal(
      const wire::execute_request& request) const;
  std::optional<conclusion> FreshnessRefusal(
      time_point now,
      const wire::execute_request& request) const;
  std::optional<conclusion> StepRefusal(const wire::execute_request& request);
  void Enqueue(const pending_ptr& item);
  void Unqueue(const pending_ptr& item);
  int64_t EstimatedWaitMs(const fair_queue& queue,
                          const std::string& organisation) const;
  void RefuseQueued(result_code code, const std::string& reason);

  // Running.
  void Dispatch(time_point now);
  bool DispatchReset(time_point now);
  bool DispatchStep(time_point now);
  bool DispatchNew(time_point now);
  pending_ptr TakeNext();
  /// @brief A new request could start on a free connection.
  bool NewWaiting() const;
  bool MayPin() const;
  bool Park(const pending_ptr& item);
  void Start(time_point now, connection& target, const pending_ptr& item);
  void OpenForWork(time_point now);
  void Flush(time_point now, connection& target);
  void Settle(time_point now, database::connection_id id);
  void Finish(time_point now, const pending_ptr& item, conclusion result);
  void Answer(const pending_ptr& item, conclusion result);
  bool RunAgain(const transaction& lost);
  void ReleaseKey(const transaction& ended);
  void Lose(time_point now, database::connection_id id, bool close);
  connection* FindRunning(const pending_ptr& item);
  void AbandonRunning(time_point now, const pending_ptr& item, conclusion why);

  // Interactive transactions.
  using transaction_map = std::map<request_id, open_transaction>;
  struct tombstone {
    result_code code = result_code::kTransactionAborted;
    std::string organisation;
  };
  void EndTransaction(time_point now,
                      const request_id& id,
                      result_code code,
                      const std::string& reason);
  void Bury(transaction_map::const_iterator entry, result_code code);
  std::optional<time_point> ExpiresAt(const open_transaction& entry) const;
  void TouchTransaction(time_point now, const wire::execute_request& step);
  void FailEvidence(time_point now,
                    const pending_ptr& item,
                    evidence_state state);

  // Control connection.
  void DriveControl(time_point now);
  void OnControlAnswer(time_point now,
                       connection& source,
                       const sent_query& query,
                       const database::query_finished& answer);
  void OnReplication(time_point now, const database::query_finished& answer);
  void OnFreshWorks(time_point now, connection& fresh);
  void OnFreshFailed(time_point now);
  void CheckSilence(time_point now);
  void CloseSilent(time_point now,
                   const std::vector<database::connection_id>& silent);
  std::optional<time_point> SilentAt(const connection& target) const;
  bool IsSilent(time_point now, const connection& target) const;
  connection* FindUse(connection_use use);
  void SendReports(time_point now);
  void SendReport(time_point now, const std::string& vm);
  std::optional<time_point> NextControlDeadline() const;

  void ExpireDeadlines(time_point now);
  void ExpireTransactions(time_point now);
  void CloseIdle(time_point now);
  size_t Budget() const;
  size_t WorkLimit() const;
  size_t WarmTarget() const;
  bool serving() const { return !release_until_; }

  gateway_context& context_;
  config::pool_row pool_;
  config::member_row member_;
  std::vector<std::string> member_names_;
  connection_set connections_;
  fair_queue wholes_;
  fair_queue begins_;  // Apart, as they may wait for a connection to pin.
  bool begin_turn_ = false;
  std::deque<pending_ptr> steps_;     // Of open transactions: go first.
  std::deque<pending_ptr> released_;  // Were parked behind the same key.
  std::map<key_name, std::deque<pending_ptr>> keys_running_;
  size_t parked_ = 0;
  std::deque<database::connection_id> resets_;
  std::map<request_id, pending_ptr> active_;
  std::set<std::pair<time_point, request_id>> deadlines_;
  transaction_map transactions_;
  std::map<request_id, tombstone> tombstones_;
  std::deque<request_id> tombstone_order_;
  replication_evidence evidence_;
  status_monitor monitor_;
  adaptive_limit service_time_;
  adaptive_limit statement_limit_;
  time_point check_after_;
  bool table_exists_ = false;
  int64_t table_term_ = 0;
  std::optional<time_point> release_until_;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_MEMBER_GATEWAY_H_
