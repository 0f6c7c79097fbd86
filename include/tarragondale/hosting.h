// Public header of the hosting library: in a large fleet a few VMs use the
// members of a database group, and run the sessions of callers that are
// connected to other VMs.
//
// The VM that a caller is connected to (the entry) checks its key, keeps the
// session's values and prepared statements, and passes its statements on to a
// host. Connections to members, their queues, statement rates and positions are
// then in few places, whatever the size of the fleet. A session that has no
// transaction open can move to another host at any statement.
#ifndef TARRAGONDALE_HOSTING_H_
#define TARRAGONDALE_HOSTING_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/interactive.h"
#include "tarragondale/relay.h"
#include "tarragondale/wire.h"

namespace tarragondale::hosting {

/// @brief Says which VMs host the sessions of a group. Pure.
class host_plan {
 public:
  /// Hosts of a group in each region: an organisation's sessions are at one of
  /// them, so that its connections to members are used again.
  static constexpr size_t kHosts = 2;
  /// VMs that follow in the order, for times when hosts are away.
  static constexpr size_t kSubstitutes = 2;

  explicit host_plan(std::string self) : self_(std::move(self)) {}

  /// @brief Takes the registered VMs over. Fleets that need no relays need no
  /// hosts either.
  void SetFleet(const std::vector<relay::vm>& vms);

  /// @brief Hosts for an organisation's sessions, the preferred one first, then
  /// substitutes. Empty: each VM runs its callers' sessions itself.
  std::vector<std::string> HostsOf(std::string_view group,
                                   std::string_view organisation) const;

  /// @brief VMs that use each member; 0: all of them.
  int member_users() const { return member_users_; }

 private:
  const std::string self_;
  std::vector<std::string> capable_;  ///< VMs of this VM's region.
  int member_users_ = 0;
};

/// @brief Sends a message to another VM. If it certainly did not leave, the
/// library is told by `forwarder::OnSendFailed`.
struct send_message {
  std::string vm;
  wire::message_body body;
};

using action = std::variant<interactive::accept_caller,
                            interactive::answer_caller,
                            interactive::close_caller,
                            interactive::decision_note,
                            send_message>;

struct forwarder_options {
  /// A host that has not answered for this long is asked whether it is there,
  duration check_after = milliseconds(250);
  /// and taken for lost after this.
  duration host_silence = milliseconds(1'000);
  /// A host that is lost, or takes no sessions, is passed over for this long.
  duration avoid_lost = seconds(2);
  /// Beyond a statement's time limit, for the host's own answer.
  duration answer_margin = milliseconds(150);
  /// A message that could not be sent is sent again after this,
  duration send_retry = milliseconds(30);
  /// and this often before another host is chosen.
  int send_attempts = 8;
  size_t max_pending = 256;  ///< Unanswered statements of a session.
  size_t max_sessions = 3'000;
  duration drain_notice = milliseconds(2'300);
  duration drain_transactions = milliseconds(3'000);
  duration drain_limit = milliseconds(5'300);
};

/// @brief The entry's side: sessions of this VM's callers that other VMs run.
///
/// A deterministic state machine: no I/O, threads or clocks.
///
/// Invariants: a statement that may have run is sent again only if it changes
/// nothing; each statement is answered once, in order; a caller is told that a
/// statement has not run only if the host said so or can't run it any more.
class forwarder {
 public:
  forwarder(std::string self, int64_t incarnation, forwarder_options options)
      : options_(options),
        self_(std::move(self)),
        incarnation_(incarnation),
        plan_(self_) {}

  /// @brief Takes a session if another VM is to host it. False: it is run here.
  bool Open(time_point now, const interactive::caller_opened& event);
  /// @brief False: the session is not forwarded.
  bool Send(time_point now, const interactive::caller_sent& event);
  bool Close(interactive::session_id session);

  void OnMessage(time_point now,
                 const std::string& vm,
                 const wire::message_body& body);
  /// @brief `send_message` did not leave this VM.
  void OnSendFailed(time_point now, const send_message& message);
  void OnTick(time_point now);
  void SetCatalogue(interactive::catalogue_ptr value) {
    catalogue_ = std::move(value);
  }
  void SetFleet(const std::vector<relay::vm>& vms) { plan_.SetFleet(vms); }
  void SetOptions(const forwarder_options& options) { options_ = options; }
  void StartDrain(time_point now) { draining_since_ = now; }

  const host_plan& plan() const { return plan_; }
  size_t sessions() const { return sessions_.size(); }
  /// @brief When `OnTick` is due; empty: not before another event.
  std::optional<time_point> NextDeadline() const;

  std::vector<action> TakeActions() { return std::exchange(actions_, {}); }

 private:
  struct outstanding {
    uint64_t sequence = 0;  ///< In the present stay; 0: not sent yet.
    interactive::caller_statement statement;
    time_point arrived;
    time_point sent;
    bool writes = false;  ///< It may change data, and must not run twice.
  };
  struct session {
    std::string database;
    std::string key;
    std::string organisation;
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, wire::prepared_shape, std::less<>> prepared;
    log_position seen;  ///< Newest position in its answers.
    interactive::transaction_state state =
        interactive::transaction_state::kIdle;
    std::string host;  ///< Empty: at no host.
    uint64_t stay = 0;
    uint64_t last_sequence = 0;
    std::deque<outstanding> waiting;
    time_point heard;  ///< From the host, about this session.
    time_point checked;
    time_point retry_at;   ///< Statements that could not be sent.
    int failed_sends = 0;  ///< In a row.
  };
  using session_map = std::unordered_map<interactive::session_id, session>;

  wire::hosting_id IdOf(interactive::session_id id, const session& of) const;
  const interactive::route* RouteOf(const session& of) const;
  std::string ChooseHost(time_point now, const session& of);
  bool HasAccess(const session& of) const;
  void SendWaiting(time_point now, interactive::session_id id);
  bool AnswerWithoutHost(interactive::session_id id, session& of);
  void MoveIn(time_point now, interactive::session_id id, session& of);
  void Leave(interactive::session_id id, session& of);
  static void ForgetHost(session& of);
  static bool IsUndone(const session& of, uint64_t not_run_from);
  void OnAnswer(time_point now, const wire::hosted_answer& answer);
  void OnEnded(time_point now,
               const std::string& vm,
               const wire::hosted_ended& ended);
  void OnHostLost(time_point now, interactive::session_id id, session& of);
  void EndAfter(time_point now,
                interactive::session_id id,
                uint64_t not_run_from,
                std::string_view reason);
  void Fail(interactive::session_id id, result_code code, std::string reason);
  void EndSession(interactive::session_id id);
  bool MayWrite(const session& of,
                const interactive::caller_statement& statement) const;
  void Sweep(time_point now, interactive::session_id id);
  void SweepDrain(time_point now);
  session* Find(const wire::hosting_id& id);

  forwarder_options options_;
  const std::string self_;
  const int64_t incarnation_;
  host_plan plan_;
  interactive::catalogue_ptr catalogue_;
  session_map sessions_;
  std::set<interactive::session_id> active_;  ///< With statements waiting.
  std::map<std::string, time_point, std::less<>> avoided_;  ///< Until when.
  std::optional<time_point> draining_since_;
  time_point next_sweep_;
  std::vector<action> actions_;
};

/// @brief The host's side: sessions of other VMs' callers that the session
/// broker runs here.
class session_host {
 public:
  /// Sessions that the broker runs for other VMs have ids from here on.
  static constexpr interactive::session_id kFirstId = uint64_t{1} << 63U;
  /// A session without a statement for this long is dropped; its entry brings
  /// it back when it needs it.
  static constexpr duration kIdleLimit = seconds(40);

  /// @brief Messages of entries; what the broker is to do with them.
  std::vector<interactive::event> OnMessage(time_point now,
                                            const std::string& vm,
                                            const wire::message_body& body);

  /// @brief What the broker does for a hosted session. False: it is none.
  bool OnAnswer(const interactive::answer_caller& answer);
  bool OnClose(interactive::session_id session);

  std::vector<interactive::event> OnTick(time_point now);
  /// @brief Whether sessions are taken: not without a configuration, and not
  /// in a shutdown.
  void SetOpen(bool open) { closed_ = !open; }

  size_t sessions() const { return sessions_.size(); }
  std::vector<send_message> TakeMessages() {
    return std::exchange(messages_, {});
  }

 private:
  struct key {
    std::string vm;
    int64_t incarnation = 0;
    uint64_t session = 0;

    auto operator<=>(const key&) const = default;
  };
  struct hosted {
    key entry;
    uint64_t stay = 0;
    uint64_t handled = 0;   ///< Statements that the broker has got.
    uint64_t answered = 0;  ///< Of these.
    time_point used;
  };

  static key KeyOf(const std::string& vm, const wire::hosting_id& id) {
    return {vm, id.incarnation, id.session};
  }
  hosted* Find(const std::string& vm, const wire::hosting_id& id);
  void Tell(const hosted& of, wire::message_body body);
  wire::hosting_id IdOf(const hosted& of) const {
    return {of.entry.incarnation, of.entry.session, of.stay};
  }
  void Forget(interactive::session_id id);

  std::map<key, interactive::session_id> ids_;
  std::unordered_map<interactive::session_id, hosted> sessions_;
  interactive::session_id last_ = kFirstId;
  bool closed_ = true;
  std::vector<send_message> messages_;
};

}  // namespace tarragondale::hosting

#endif  // TARRAGONDALE_HOSTING_H_
