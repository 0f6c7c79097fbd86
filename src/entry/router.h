// Private parts of `request_router`. The sources are split by subject:
// router.cc (events and admission), router_attempts.cc (sending and
// retries), router_answers.cc (final answers), router_changes.cc
// (configuration, fleet, callers that leave, drain) and router_reports.cc
// (reports and interest).
#ifndef TARRAGONDALE_SRC_ENTRY_ROUTER_H_
#define TARRAGONDALE_SRC_ENTRY_ROUTER_H_

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/entry/access_check.h"
#include "src/entry/member_choice.h"
#include "src/entry/member_table.h"
#include "src/entry/pending_request.h"
#include "src/entry/rate_limit.h"
#include "src/entry/retry_policy.h"
#include "src/entry/transaction_table.h"
#include "tarragondale/entry.h"

namespace tarragondale::entry {

/// @brief Retry-After of refusals that state no time of their own.
inline constexpr milliseconds kDefaultRetryAfter{1'000};

class request_router::implementation {
 public:
  explicit implementation(entry_options options);

  std::vector<action> Step(time_point now, const event& input);
  std::optional<time_point> NextDeadline() const;
  const entry_metrics& metrics() const { return metrics_; }
  size_t in_flight() const { return pending_.size(); }

 private:
  // What became of one attempt.
  struct attempt_result {
    failure reason;
    int64_t retry_after_ms = 0;
  };
  // An attempt to begin a transaction that nobody waits for any more.
  struct abandoned_begin {
    std::string vm;
    std::string group;
    std::string member;
    time_point expires;
  };

  // Events.
  void On(const caller_request& request);
  void On(const caller_gone& gone);
  void On(const answer_arrived& arrived);
  void On(const send_failed& failed);
  void On(const report_arrived& arrived);
  void On(const configuration_changed& changed);
  void On(const fleet_changed& changed);
  void On(const currency_changed& changed);
  void On(const drain_started& started);
  void On(const tick& due);

  // Admission.
  status Admit(const caller_request& request, pending_request& pending);
  status AdmitCapacity(const caller_request& request) const;
  status AdmitAccess(const caller_request& request, pending_request& pending);
  status AdmitPool(pending_request& pending) const;
  status AdmitToken(const caller_request& request, pending_request& pending);
  void Refuse(const caller_request& request,
              const pending_request& pending,
              const failure& reason);

  // Attempts.
  void Route(pending_request& pending);
  void RouteWrite(pending_request& pending, const config::pool_row& pool);
  void RouteRead(pending_request& pending, const config::pool_row& pool);
  void RouteStep(pending_request& pending);
  void WaitForMember(pending_request& pending, const config::pool_row& pool);
  void GiveUpWaiting(pending_request& pending, const config::pool_row& pool);
  void AwaitOpenAttempts(pending_request& pending);
  void LeaveWaiting(const pending_request& pending);
  failure WhyNoMember(const pending_request& pending,
                      const config::pool_row& pool) const;
  void SendTo(pending_request& pending,
              const config::pool_row& pool,
              const config::member_row& member,
              int64_t expected_term);
  void Send(pending_request& pending,
            const std::string& vm,
            const std::string& member,
            int64_t expected_term,
            bool majority);
  void SetAttemptTimer(pending_request& pending);
  void AttemptEnded(pending_request& pending,
                    size_t index,
                    attempt_state state,
                    const attempt_result& result);
  void RetryOrFinish(pending_request& pending, const attempt_result& result);
  bool MayRetry(const pending_request& pending, result_code code) const;
  void AttemptTimedOut(pending_request& pending);
  void OnTimer(pending_request& pending);
  void DeadlinePassed(pending_request& pending);
  void ReleaseMember(const pending_request& pending, const attempt& ended);

  // Answers.
  void HandleOk(pending_request& pending,
                size_t index,
                const wire::execute_answer& answer);
  bool FreshEnough(const pending_request& pending,
                   const wire::execute_answer& answer) const;
  void FinishOk(pending_request& pending,
                size_t index,
                const wire::execute_answer& answer);
  status FinishBegin(const pending_request& pending,
                     const attempt& begun,
                     std::string& text);
  void UpdateTransaction(const pending_request& pending, result_code code);
  void Finish(pending_request& pending, failure reason, int64_t retry_after_ms);
  void CancelOpenAttempts(pending_request& pending);
  void Erase(pending_request& pending);
  void CountAnswer(const pending_request& pending, result_code code);

  // Changes.
  void RefuseUnsentWithoutAccess();
  void CancelTransaction(const open_transaction& transaction);
  void FinishDrain();
  void ForEachPending(const std::function<void(pending_request&)>& visit);
  void LoseAttempts(pending_request& pending);

  // Reports and interest.
  void UseGroup(const config::pool_row& pool);
  void SendInterest(const std::vector<const config::pool_row*>& pools);
  void Maintain();
  bool NeedsMaintenance() const;
  void RouteWaiting(const std::string& group);
  const config::pool_row* PoolOfGroup(std::string_view group) const;

  void SetTimer(pending_request& pending, time_point due);
  void RunTimers();
  request_id NextId();
  bool Ready() const { return configuration_ != nullptr && view_ != nullptr; }

  entry_options options_;
  config::configuration_ptr configuration_;
  fleet::fleet_view_ptr view_;
  bool current_ = false;
  bool draining_ = false;
  bool drained_sent_ = false;
  std::optional<time_point> drain_deadline_;

  time_point now_;
  std::vector<action> actions_;
  uint64_t next_sequence_ = 0;

  std::unordered_map<uint64_t, pending_request> pending_;    // By exchange.
  std::unordered_multimap<uint64_t, uint64_t> connections_;  // To exchanges.
  std::unordered_map<request_id, uint64_t> attempts_;        // To exchanges.
  std::unordered_map<request_id, abandoned_begin> abandoned_;
  transaction_table transactions_;

  // Due times of exchanges; entries that no longer match the request's timer
  // are skipped.
  using timer_entry = std::pair<time_point, uint64_t>;
  std::priority_queue<timer_entry,
                      std::vector<timer_entry>,
                      std::greater<timer_entry>>
      timers_;

  rate_limiter rates_;
  member_table members_;
  retry_policy retries_;
  std::map<std::string, const config::pool_row*, std::less<>> pool_of_group_;
  // Requests that wait for a member of the group, oldest first: sequence of
  // the request's id and exchange.
  using waiting_set = std::set<std::pair<uint64_t, uint64_t>>;
  std::map<std::string, waiting_set, std::less<>> waiting_;
  std::map<std::string, time_point, std::less<>> group_use_;
  std::optional<time_point> next_maintenance_;

  entry_metrics metrics_;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_ROUTER_H_
