// Public header of the hosting library. In a large fleet only a few VMs, the
// hosts, connect to the members of a database group; they run the sessions of
// callers that are connected to other VMs.
//
// The VM that a caller is connected to (the entry VM) checks the caller's key,
// keeps the session's values and prepared statements, and forwards its
// statements to a host. This limits the number of VMs that hold connections to
// members, request queues, statement rates and log positions, whatever the size
// of the fleet. A session without an open transaction can move to another host
// before any statement.
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
#include "tarragondale/interactive/placement_rules.h"
#include "tarragondale/relay.h"
#include "tarragondale/wire.h"

namespace tarragondale::hosting {

/// @brief Computes which VMs host the sessions of a group. Does no I/O.
class host_plan {
 public:
  /// Number of VMs in each region that host the sessions of a group. In each
  /// region, all sessions of an organisation normally run on the same host, so
  /// that they share its connections to members.
  static constexpr size_t kHosts = 2;
  /// Number of VMs ranked after the hosts, which replace unavailable hosts.
  static constexpr size_t kFallbackHosts = 2;

  explicit host_plan(std::string self) : self_(std::move(self)) {}

  /// @brief Replaces the list of registered VMs. There are no hosts if the
  /// fleet is a full mesh (see `relay_plan::kMaxMeshSize`) or if this VM is not
  /// registered.
  void SetFleet(const std::vector<relay::vm>& vms);

  /// @brief Hosts for an organisation's sessions: the preferred one first,
  /// then the other hosts, then the fallback hosts. If empty, each VM runs the
  /// sessions of its own callers.
  std::vector<std::string> HostsOf(std::string_view group,
                                   std::string_view organisation) const;

  /// @brief Hosts for an organisation's sessions that only VMs in the allowed
  /// regions of `rules` may host. If this VM's region is allowed, those of
  /// `HostsOf` without regions. Otherwise those that the VMs of an allowed
  /// region use, the regions in an order that all VMs compute alike, so that no
  /// more VMs connect to the members. If empty, this VM runs the session.
  std::vector<std::string> HostsOf(
      std::string_view group,
      std::string_view organisation,
      const interactive::placement_rules& rules) const;

  /// @brief Hosts that the VMs of other allowed regions use, for sessions that
  /// no host of `HostsOf` can serve.
  std::vector<std::string> HostsElsewhere(
      std::string_view group,
      std::string_view organisation,
      const interactive::placement_rules& rules) const;

  /// @brief Region of a registered VM; empty: not known.
  std::string_view RegionOf(std::string_view vm) const;

  /// @brief Number of VMs that connect to each member, without fallback hosts;
  /// 0 means all VMs.
  int vms_per_member() const { return vms_per_member_; }

  /// @brief VMs that may send statements to a cold member: the hosts and
  /// fallback hosts of its group.
  interactive::cold_senders ColdSenders() const;

 private:
  std::vector<std::string> HostsIn(std::string_view region,
                                   std::string_view group,
                                   std::string_view organisation) const;

  const std::string self_;
  std::string region_;  ///< Of this VM.
  std::map<std::string, std::vector<std::string>, std::less<>>
      capable_;  ///< Candidate hosts by region; none without hosts.
  std::map<std::string, std::string, std::less<>> regions_;  ///< By VM.
  int vms_per_member_ = 0;
};

/// @brief Sends a message to another VM. If the message was definitely not
/// sent, call `forwarder::OnSendFailed`.
struct send_message {
  std::string vm;
  wire::message_body body;
};

using action = std::variant<interactive::accept_caller,
                            interactive::answer_caller,
                            interactive::close_caller,
                            interactive::log_message,
                            send_message>;

struct forwarder_options {
  /// A host that has sent nothing for a session for this long, while a sent
  /// statement of the session is unanswered, is sent a `host_check`.
  duration host_check_delay = milliseconds(250);
  /// A host that has sent nothing for a session for this long, while a sent
  /// statement of the session is unanswered, counts as lost.
  duration host_timeout = milliseconds(1'000);
  /// It counts as lost after this fraction of the statement's timeout, if that
  /// is less, so that another host can still run the statement. The check is
  /// sent after half of that time at the latest.
  double host_timeout_fraction = 0.5;
  /// Least time for the answer to a `host_check`.
  duration host_check_answer = milliseconds(100);
  /// How long a host is avoided after it was lost, after it reported that it
  /// accepts no new sessions, or after `send_attempts` consecutive failed
  /// sends; and for a group after it returned a session of the group. If all
  /// hosts are avoided, the preferred one is chosen.
  duration host_cooldown = seconds(2);
  /// Extra wait after a statement's timeout, so that the host's own timeout
  /// answer can arrive.
  duration answer_margin = milliseconds(150);
  /// Delay before a message that could not be sent is retried, and before a
  /// session that hosts refused repeatedly is attached again.
  duration send_retry = milliseconds(30);
  /// A statement that a host returned is sent to another host if not more than
  /// this fraction of its timeout has passed. Hosts let statements wait for
  /// `broker_options::queue_timeout_fraction`, which leaves this much.
  double return_timeout_fraction = 0.25;
  /// Named in the refusal of a returned statement.
  duration return_retry = milliseconds(300);
  /// Consecutive failed sends of a session after which the host is avoided.
  int send_attempts = 8;
  /// Unanswered statements per session. A caller that sends more is
  /// disconnected.
  size_t max_pending = 256;
  size_t max_sessions = 3'000;
  /// Times since the start of a shutdown. After `drain_notice`, sessions
  /// without a transaction and without a pending statement are closed. After
  /// `drain_transactions`, open transactions without a pending statement are
  /// rolled back. After `drain_limit`, all remaining sessions are closed.
  duration drain_notice = milliseconds(2'300);
  duration drain_transactions = milliseconds(3'000);
  duration drain_limit = milliseconds(5'300);
};

/// @brief Runs on the entry VM: forwards the sessions of this VM's callers to
/// their hosts.
///
/// A deterministic state machine: no I/O, threads or clocks.
///
/// Invariants: a statement that may have run is resent only if running it twice
/// changes no data; until the session ends, statements are answered in order,
/// each exactly once; a caller is told that a write has not run only if it was
/// not sent, or if the host reported this or can no longer run it; without an
/// answer of a host, a session is attached at most twice within `send_retry`,
/// so that a host may refuse it synchronously.
class forwarder {
 public:
  forwarder(std::string self, int64_t incarnation, forwarder_options options)
      : options_(options),
        self_(std::move(self)),
        incarnation_(incarnation),
        plan_(self_) {}

  /// @brief Accepts a session that is to run on a host. Returns false if this
  /// VM's own broker should run or refuse it.
  bool Open(time_point now, const interactive::caller_opened& event);
  /// @brief Forwards a caller's statement, or ends the session if it has
  /// `max_pending` unanswered statements. Returns false if the session is not
  /// forwarded.
  bool Send(time_point now, const interactive::caller_sent& event);
  /// @brief Ends the session of a caller that disconnected. Returns false if
  /// the session is not forwarded.
  bool Close(interactive::session_id session);

  void OnMessage(time_point now,
                 const std::string& vm,
                 const wire::message_body& body);
  /// @brief Reports a `send_message` action that was not sent.
  void OnSendFailed(time_point now, const send_message& message);
  void OnTick(time_point now);
  void SetCatalogue(interactive::configuration_snapshot_ptr value) {
    catalogue_ = std::move(value);
  }
  void SetFleet(const std::vector<relay::vm>& vms) { plan_.SetFleet(vms); }
  void SetOptions(const forwarder_options& options) { options_ = options; }
  void StartDrain(time_point now) { draining_since_ = now; }

  const host_plan& plan() const { return plan_; }
  size_t sessions() const { return sessions_.size(); }
  /// @brief Times that a session was detached since its allowed regions
  /// changed.
  uint64_t moved_by_regions() const { return moved_by_regions_; }
  /// @brief Time of the next call to `OnTick`; empty if none is needed before
  /// another event.
  std::optional<time_point> NextDeadline() const;

  std::vector<action> TakeActions() { return std::exchange(actions_, {}); }

 private:
  struct pending_statement {
    uint64_t sequence = 0;  ///< Number at the current host; 0: not sent.
    interactive::caller_statement statement;
    time_point arrived;
    time_point sent;
    bool writes = false;  ///< May change data: must not run twice.
  };
  struct session {
    std::string database;
    std::string key;
    /// For which the host runs the session's statements.
    std::string organisation;
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, wire::prepared_shape, std::less<>> prepared;
    size_t kept_bytes = 0;  ///< Of names and contents of both.
    log_position seen;      ///< Newest log position in any answer.
    interactive::transaction_state state =
        interactive::transaction_state::kIdle;
    std::string host;  ///< Empty: not attached to a host.
    std::string host_region;
    /// The host is one of `host_plan::HostsElsewhere`.
    bool elsewhere = false;
    /// Allowed regions that were in force when the session was attached.
    interactive::region_set route_regions;
    interactive::region_set organisation_regions;
    uint64_t attach_epoch = 0;
    uint64_t last_sequence = 0;
    std::deque<pending_statement> waiting;
    time_point last_heard;  ///< Last message from the host.
    time_point last_checked;
    /// Earliest retry after a failed send, or after hosts refused the session.
    time_point retry_at;
    int failed_sends = 0;  ///< Consecutive.
    /// Attachments since the last answer of a host.
    int attachments = 0;
  };
  using session_map = std::unordered_map<interactive::session_id, session>;

  wire::hosting_id IdOf(interactive::session_id id, const session& of) const;
  const interactive::route* RouteOf(const session& of) const;
  struct choice {
    std::string host;
    bool elsewhere = false;  ///< Of another region.
  };
  choice ChooseHost(time_point now, const session& of);
  bool IsAvoided(const std::string& host, const std::string& group) const;
  bool HasReturned(const std::string& host, const std::string& group) const;
  void LeaveAvoidedHost(time_point now,
                        interactive::session_id id,
                        session& of);
  std::optional<std::string> OrganisationOf(const session& of) const;
  void UpdateOrganisation(interactive::session_id id, session& of);
  // Allowed regions of the session's route and organisation.
  const interactive::region_set& RouteRegions(const session& of) const;
  const interactive::region_set& OrganisationRegions(const session& of) const;
  interactive::placement_rules RulesOf(const session& of) const;
  // Whether the host, as it was told, keeps to all regions in force now.
  bool KeepsToRegions(const session& of) const;
  void UpdateRegions(interactive::session_id id, session& of);
  void SendWaiting(time_point now, interactive::session_id id);
  bool AnswerWithoutHost(interactive::session_id id, session& of);
  void Attach(time_point now, interactive::session_id id, session& of);
  void Detach(interactive::session_id id, session& of);
  static void ForgetHost(session& of);
  static bool IsRolledBack(const session& of, uint64_t not_run_from);
  void OnAnswer(time_point now, const wire::hosted_answer& answer);
  void OnEnded(time_point now,
               const std::string& vm,
               const wire::hosted_ended& ended);
  void OnReturned(time_point now, interactive::session_id id, session& of);
  void Refuse(interactive::session_id id,
              const session& of,
              std::string_view statement,
              std::string reason);
  void OnHostLost(time_point now, interactive::session_id id, session& of);
  void OnDetached(time_point now,
                  interactive::session_id id,
                  uint64_t not_run_from,
                  std::string_view reason);
  void Fail(interactive::session_id id, result_code code, std::string reason);
  void EndSession(interactive::session_id id);
  bool MayWrite(const session& of,
                const interactive::caller_statement& statement) const;
  static void Keep(session& of, const interactive::caller_statement& statement);
  void Sweep(time_point now, interactive::session_id id);
  void SweepDrain(time_point now);
  session* Find(const wire::hosting_id& id);

  forwarder_options options_;
  const std::string self_;
  const int64_t incarnation_;
  host_plan plan_;
  interactive::configuration_snapshot_ptr catalogue_;
  session_map sessions_;
  std::set<interactive::session_id> active_;  ///< With unanswered statements.
  std::map<std::string, time_point, std::less<>>
      avoided_hosts_;  ///< End of the cooldown, by host.
  /// End of the cooldown, by host and group, of hosts that returned a session.
  std::map<std::pair<std::string, std::string>, time_point> avoided_for_group_;
  std::optional<time_point> draining_since_;
  time_point next_sweep_;
  uint64_t moved_by_regions_ = 0;
  std::vector<action> actions_;
};

/// @brief Runs on the host: sessions of callers of other VMs, which this VM's
/// session broker executes.
class session_host {
 public:
  /// Session ids from this one on belong to sessions that the broker runs for
  /// other VMs.
  static constexpr interactive::session_id kFirstId = uint64_t{1} << 63U;
  /// A session that receives no statement for this long is closed, which rolls
  /// back its open transaction. If there was none, the entry VM opens the
  /// session again, on any host, when the next statement arrives.
  static constexpr duration kIdleLimit = seconds(40);

  /// A session that was returned to its entry VM and comes back is kept until
  /// this time has passed, since the entry VM has found no better host.
  static constexpr duration kReturnMemory = seconds(2);

  /// @param self Name of this VM.
  explicit session_host(std::string self) : self_(std::move(self)) {}

  /// @brief Handles a message of an entry VM. Returns events for the broker.
  std::vector<interactive::event> OnMessage(time_point now,
                                            const std::string& vm,
                                            const wire::message_body& body);

  /// @brief Handles the broker's answer to a caller. Returns false if the
  /// session's id is below `kFirstId`.
  bool OnAnswer(const interactive::answer_caller& answer);
  /// @brief Handles the broker's closing of a session. Returns false if the
  /// session's id is below `kFirstId`.
  bool OnClose(interactive::session_id session);
  /// @brief Handles the broker's return of a session to its entry VM.
  void OnReturn(time_point now, interactive::session_id session);

  std::vector<interactive::event> OnTick(time_point now);
  /// @brief Sets whether new sessions of other VMs are accepted. The caller
  /// passes false while the VM has no configuration or is shutting down. This
  /// VM's own sessions are always accepted: during a shutdown they end with
  /// their callers' connections, and no other VM may be able to host them.
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
    uint64_t attach_epoch = 0;
    uint64_t handled = 0;   ///< Statements passed to the broker.
    uint64_t answered = 0;  ///< Answers sent for these statements.
    time_point last_used;
  };

  static key KeyOf(const std::string& vm, const wire::hosting_id& id) {
    return {vm, id.incarnation, id.session};
  }
  hosted* Find(const std::string& vm, const wire::hosting_id& id);
  void SendToEntry(const hosted& of, wire::message_body body);
  wire::hosting_id IdOf(const hosted& of) const {
    return {of.entry.incarnation, of.entry.session, of.attach_epoch};
  }
  void Forget(interactive::session_id id);

  std::string self_;
  std::map<key, interactive::session_id> ids_;
  std::unordered_map<interactive::session_id, hosted> sessions_;
  std::map<key, time_point> returned_;  ///< Within `kReturnMemory`.
  interactive::session_id last_ = kFirstId;
  bool closed_ = true;
  std::vector<send_message> messages_;
};

}  // namespace tarragondale::hosting

#endif  // TARRAGONDALE_HOSTING_H_
