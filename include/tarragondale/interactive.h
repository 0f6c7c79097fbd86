// Public header of the interactive library: routes the statements of callers
// that hold a session open.
//
// A session has session values, prepared statements and at most one
// transaction. Its statements run on pooled connections ("links") to database
// members. The library chooses the member and the link for each statement,
// applies the session state to the link, and produces the caller's answer.
#ifndef TARRAGONDALE_INTERACTIVE_H_
#define TARRAGONDALE_INTERACTIVE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/wire.h"

namespace tarragondale::interactive {

/// Identifies a caller's connection; never reused.
using session_id = uint64_t;
/// Identifies a connection to a member; never reused.
using link_id = uint64_t;

// --- Configuration and discovery ---

/// @brief Consistency that reads on a route require.
enum class freshness : uint8_t {
  kPrimary,           ///< Sees every acknowledged commit.
  kBoundedStaleness,  ///< Sees commits acknowledged `max_staleness` ago.
  kReadYourWrites,    ///< Also sees all commits of the same session.
};
std::string_view FreshnessName(freshness value);

/// @brief Regions that a route or an organisation is restricted to; empty: all.
using region_set = std::set<std::string, std::less<>>;
using zone_set = std::set<std::string, std::less<>>;

/// @brief Maps a database that callers connect to onto a database group.
struct route {
  std::string name;
  std::string database;  ///< Name that callers connect to.
  std::string group;     ///< Database group.
  freshness reads = freshness::kPrimary;
  milliseconds statement_timeout{1'000};
  milliseconds latency_goal{500};  ///< For a complete operation.
  milliseconds max_staleness{0};
  int priority = 0;   ///< 0 is the highest.
  bool open = false;  ///< Accepts callers without an API key.
  /// Of the members that run its statements, and of VMs that host its sessions.
  region_set allowed_regions = {};

  bool operator==(const route&) const = default;
};

struct group_limits {
  std::string name;
  int connections = 1;  ///< Cap for one member, over all VMs.
  /// Replicas that must hold a commit before it is acknowledged.
  int synchronous_replicas = 0;
  /// Statements per second that one cold member may receive, over all VMs; 0:
  /// no limit.
  double cold_rate = 0;

  bool operator==(const group_limits&) const = default;
};

/// @brief An organisation and its rate limit, shared by all VMs.
struct organisation {
  std::string name;
  double rate = 0;   ///< Operations per second; 0: no limit.
  double burst = 0;  ///< Operations.
  /// Of the members that run its statements, and of VMs that host its sessions.
  region_set allowed_regions = {};

  bool operator==(const organisation&) const = default;
};

/// @brief One version of the configuration. Immutable once shared.
struct configuration_snapshot {
  int64_t version = 0;
  std::map<std::string, route, std::less<>> routes;  ///< By database.
  std::map<std::string, group_limits, std::less<>> groups;
  std::map<std::string, organisation, std::less<>> organisations;
  /// Organisation of each API key.
  std::map<std::string, std::string, std::less<>> organisations_by_key;
  milliseconds transaction_idle_limit{3'000};
};
using configuration_snapshot_ptr =
    std::shared_ptr<const configuration_snapshot>;

/// @brief Registration of a running member of a database group.
struct member_record {
  std::string id;  ///< Instance id; changes when the member gets new hardware.
  std::string group;
  std::string address;  ///< IP:port.
  std::string availability_zone;
  int slots = 1;  ///< Statements that it runs concurrently.
  bool draining = false;
  bool claims_primary = false;  ///< Its own view of its role; may be wrong.
  int64_t started_ms = 0;       ///< Unix start time; identifies incarnations.
  /// How much longer it is slow after its start, when it reported this.
  milliseconds cold_left{0};
  /// Operators are emptying its availability zone.
  bool evacuated = false;
  /// End of this time on this VM's clock: the latest of the receipt times of
  /// its reports plus what they said.
  time_point cold_until = {};

  bool operator==(const member_record&) const = default;
};

/// @brief All members, by id.
using member_directory = std::map<std::string, member_record, std::less<>>;
using member_directory_ptr = std::shared_ptr<const member_directory>;

/// @brief This VM's time-limited permission to use the primary of a group.
struct primary_lease {
  std::string member;    ///< Empty: no primary is known.
  int64_t epoch = 0;     ///< Increases with each change of primary.
  time_point until;      ///< Expiry; no statement may run there from then on.
  bool closing = false;  ///< Only open transactions may continue.

  bool operator==(const primary_lease&) const = default;
};

// --- Statements ---

enum class statement_kind : uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,         ///< Sets the session value `name` to `argument`.
  kPrepare,     ///< Prepares `name` from the statement text `argument`.
  kExecute,     ///< Runs the prepared `name` with the parameters `argument`.
  kDeallocate,  ///< Drops the prepared `name`.
  kMalformed,   ///< Not a statement.
};
std::string_view StatementKindName(statement_kind kind);

struct caller_statement {
  std::string id;  ///< Chosen by the caller; forwarded unchanged.
  statement_kind kind = statement_kind::kMalformed;
  std::string text;  ///< Reads and writes: forwarded unchanged.
  std::string name;
  std::string argument;
  bool writes = false;  ///< `kPrepare`: the statement may change data.
};

/// @brief A statement sent on a link.
struct member_statement {
  enum class step : uint8_t {
    kReset,  ///< Drops session values and prepared statements.
    kSet,
    kPrepare,
    kBegin,
    kBeginReadOnly,
    kRollback,
    kRun,      ///< A caller's read or write, `text`.
    kExecute,  ///< A caller's execution of `name` with `argument`.
    kCommit,   ///< A caller's commit.
    kStatus,   ///< Requests role, term and log position.
    kDemote,  ///< Ends leadership in terms below `argument`, then as `kStatus`.
  };

  step what = step::kRun;
  std::string id = {};  ///< Empty: a statement of the proxy itself.
  std::string text = {};
  std::string name = {};
  std::string argument = {};
  bool writes = false;
  /// A member that has not applied this position answers `kLagging`.
  std::optional<log_position> minimum = {};
};

/// @brief Transaction state reported with an answer.
enum class transaction_state : uint8_t { kIdle, kOpen, kFailed };

/// @brief Result code in a member's answer.
enum class member_code : uint8_t {
  kDone,
  kBusy,                  ///< Not run: the member's queue is full.
  kLagging,               ///< Not run: the required position is not applied.
  kReadOnly,              ///< Not run: the member is not a primary.
  kWrongMember,           ///< Another instance or group uses this address now.
  kConnectionCapReached,  ///< The member's connection cap is reached.
  kUnknownStatement,      ///< Not run: no prepared statement has this name.
  kFailed,                ///< The statement ran and failed.
  kTimeout,               ///< The statement exceeded the member's time limit.
  kOther,
};
std::string_view MemberCodeName(member_code code);

/// @brief Role and log position as reported by a member.
struct member_status {
  bool primary = false;
  int64_t term = 0;
  log_position received;  ///< Newest log entry that it has received.

  bool operator==(const member_status&) const = default;
};

struct member_answer {
  member_code code = member_code::kDone;
  std::vector<std::string> rows;
  std::string signature;  ///< Lets the caller verify that the member ran it.
  std::string reason;
  transaction_state state = transaction_state::kIdle;
  std::optional<log_position> position;  ///< Applied log position.
  std::optional<member_status> status;   ///< After `kStatus`, `kDemote`.
};

/// @brief How the statements that a member takes well are found out.
enum class member_capacity : uint8_t {
  kReported,  ///< By its `kBusy` answers.
  kLearned,   ///< Also by its response times.
};

/// @brief Limits and intervals of `session_broker`.
struct broker_options {
  std::string availability_zone;
  std::string region;
  std::map<std::string, std::string, std::less<>> region_of_zone;
  uint64_t seed = 0;  ///< For random numbers; must differ between VMs.

  size_t max_sessions = 3'000;  ///< Bounds file descriptors and memory.
  size_t max_pending = 256;     ///< Unanswered statements per session.
  /// Maximum number of values in a session, and, counted separately, of its
  /// prepared statements.
  size_t max_values = 256;
  /// Prepared statements on a link before it is reset; bounds its memory.
  size_t max_prepared = 256;
  /// Bytes of session values on an idle link; a link with more is closed.
  size_t max_idle_value_bytes = 64U << 10;

  duration zone_latency{400};             ///< Round trip within a zone.
  duration region_latency{3'000};         ///< Round trip between zones.
  duration other_region_latency{17'000};  ///< Round trip between regions.
  /// Added to the cost of a member in another zone or region, since the
  /// platform charges for traffic that leaves the zone.
  duration zone_penalty{3'000};
  duration region_penalty{15'000};
  /// Added to reads on a primary, to keep its capacity for writes.
  duration primary_penalty{8'000};

  duration connect_timeout = milliseconds(1'000);
  /// After a failed connection attempt.
  duration member_backoff = milliseconds(300);
  /// After the member refused a connection, for whatever reason.
  duration connection_cap_backoff = milliseconds(200);
  duration busy_backoff = milliseconds(25);
  member_capacity capacity = member_capacity::kReported;
  /// A primary that has been draining or unlisted for longer than this gets
  /// statements only for transactions that are already open on it.
  duration member_drain_timeout = milliseconds(5'000);
  /// A primary in an evacuated availability zone gets statements for this long
  /// after this VM learned of the evacuation, unless it is replaced sooner.
  /// Operators are promised that nothing arrives later than 5 s after the store
  /// acknowledged their request. A VM whose watch of the store is silent learns
  /// of it from other VMs up to 1.5 s later; the rest is left for connections
  /// that deliver late.
  duration evacuation_limit = milliseconds(3'000);
  /// After the end of an evacuation, the share of new statements that may run
  /// on members of the zone grows linearly for this long.
  duration evacuation_return = seconds(5);
  /// Fraction of its timeout for which a statement may wait before it is sent
  /// to a member.
  double queue_timeout_fraction = 0.75;
  /// A read outside a transaction that is not answered within this fraction of
  /// its timeout is sent again, to another replica or to the primary.
  double resend_timeout_fraction = 0.5;
  /// Per statement. Attempts that the member answers with `kBusy` are not
  /// counted.
  int max_attempts = 4;
  duration idle_link_timeout = seconds(20);
  /// If a statement has been unanswered for longer than this and the member has
  /// answered nothing else since it was sent, the member is checked over a new
  /// connection.
  duration unresponsive_check_delay = milliseconds(350);
  duration check_timeout = milliseconds(600);  ///< For a status check.
  /// Subtracted from the allowed staleness, since callers measure with their
  /// own clocks.
  duration staleness_margin = milliseconds(120);
  /// How long observed log positions are kept, and members without links that
  /// are no longer listed.
  duration position_retention = seconds(12);
  /// For this long after the start of the drain, idle sessions stay open and
  /// new ones are accepted, so that the load balancer first sees that this VM
  /// is not ready.
  duration drain_notice = milliseconds(2'300);
  /// Idle transactions are rolled back this long after the start of the drain.
  duration drain_transactions = milliseconds(3'000);
  /// All remaining sessions are closed this long after the start of the drain.
  duration drain_limit = milliseconds(5'300);
};

// --- Events ---

struct caller_opened {
  session_id session = 0;
  std::string database;
  std::string key;
};
/// @brief A session whose caller is connected to another VM, which has
/// validated the API key and keeps the session state.
struct session_hosted {
  session_id session = 0;
  std::string database;
  std::string organisation;
  std::vector<wire::named_value> values;
  std::vector<wire::prepared_shape> prepared;
  log_position written;
  /// Allowed regions of route and organisation in the entry VM's configuration.
  /// They bind in addition to those in this VM's, which may be older.
  region_set route_regions = {};
  region_set organisation_regions = {};
  /// Another VM can host the session, so it may end with `return_session`,
  /// after this time.
  duration may_return_after{0};
};
struct caller_sent {
  session_id session = 0;
  caller_statement statement;
};
struct caller_closed {
  session_id session = 0;
};
struct link_opened {
  link_id link = 0;
  std::optional<log_position> position;
};
/// @brief The member refused the connection.
struct link_refused {
  link_id link = 0;
  member_code code = member_code::kOther;
};
struct link_answered {
  link_id link = 0;
  member_answer answer;
};
/// @brief The connection failed or could not be established.
struct link_lost {
  link_id link = 0;
  bool connected = false;  ///< Whether it had been established.
  std::string reason;
};
struct configuration_snapshot_changed {
  configuration_snapshot_ptr value;
};
struct members_changed {
  member_directory_ptr value;
  /// All evacuated availability zones, also those without listed members.
  zone_set evacuated_zones = {};
};
struct primary_leases_changed {
  std::map<std::string, primary_lease, std::less<>> by_group;
};
/// @brief The VMs that may send statements to a cold member, as this VM sees
/// them: those that may host sessions of the member's group or, without hosts,
/// all VMs.
struct cold_senders {
  std::string self;           ///< Name of this VM.
  std::set<std::string> vms;  ///< In service.
  /// By region, the VMs of which the `hosts` with the highest rendezvous
  /// weights for a group may host its sessions; empty: there are no hosts.
  std::map<std::string, std::vector<std::string>, std::less<>> candidates;
  size_t hosts = 0;

  bool operator==(const cold_senders&) const = default;
};
/// @brief The VMs in service changed, or how many of them connect to each
/// member. The counts include this VM.
struct fleet_changed {
  int vms = 1;
  std::map<std::string, int, std::less<>> by_zone;
  /// VMs that connect to each database member; 0: all VMs.
  int vms_per_member = 0;
  cold_senders senders = {};
};
/// @brief A position in a primary's log, reported by another VM. Every commit
/// acknowledged before the time `covers` has a log position of at most
/// `position`.
struct position_reported {
  std::string group;
  log_position position;
  time_point covers;
};
/// @brief Operations that another VM, and the VMs it aggregates, admitted for
/// an organisation.
struct usage_reported {
  std::string organisation;
  double operations = 0;    ///< Since the previous report.
  double demand_per_s = 0;  ///< Current demand.
  std::string vm;
  int counted_vms = 1;  ///< VMs whose operations the report counts.
};
/// @brief A VM reported the operations of `counted_vms` VMs. Organisations for
/// which no `usage_reported` came with it have none that are not known.
struct vms_heard {
  std::string vm;
  int counted_vms = 1;
};
/// @brief The next report of the VM lacks operations that were not reported by
/// it before, such as those that another VM has reported meanwhile.
struct reports_restarted {
  std::string vm;
};
/// @brief Requests a member's status; answered by `member_checked`.
struct check_member {
  std::string member;
};
/// @brief Demotes a former primary in terms below `term`; answered by
/// `member_checked`. The sender repeats it until the member answers.
struct demote_member {
  std::string member;
  int64_t term = 0;
};
/// @brief New limits and intervals, effective immediately. However, rate
/// limiters that already exist keep their `seed`, and position histories that
/// already exist keep their `position_retention`.
struct options_changed {
  broker_options value;
};
struct drain_started {};
struct tick {};

using event = std::variant<caller_opened,
                           session_hosted,
                           caller_sent,
                           caller_closed,
                           link_opened,
                           link_refused,
                           link_answered,
                           link_lost,
                           configuration_snapshot_changed,
                           members_changed,
                           primary_leases_changed,
                           fleet_changed,
                           position_reported,
                           usage_reported,
                           vms_heard,
                           reports_restarted,
                           check_member,
                           demote_member,
                           options_changed,
                           drain_started,
                           tick>;

// --- Actions ---

/// @brief The session is accepted.
struct accept_caller {
  session_id session = 0;
};
/// @brief The only answer to a statement, or the rejection of a session.
struct answer_caller {
  session_id session = 0;
  result_code code = result_code::kOk;
  std::string reason = {};
  std::vector<std::string> rows = {};
  std::string signature = {};  ///< Empty: answered without a member.
  transaction_state state = transaction_state::kIdle;
  std::optional<log_position> position = {};
  bool close = false;  ///< Close after the answer.
  /// Bytes of the session's values and prepared statements.
  size_t kept_bytes = 0;
};
struct close_caller {
  session_id session = 0;
};
/// @brief A hosted session has ended since this VM does not reach the primary
/// that the session needs. Its unanswered statements have not changed data and
/// will not, so its entry VM may attach it to another host.
struct return_session {
  session_id session = 0;
};
struct open_link {
  link_id link = 0;
  std::string member;
  std::string address;
  std::string group;
  std::string organisation;  ///< For whose statements it is opened.
  duration limit{0};         ///< Timeout for opening it.
};
struct send_link {
  link_id link = 0;
  std::vector<member_statement> statements;
};
struct close_link {
  link_id link = 0;
};
/// @brief Result of `check_member` or `demote_member`.
struct member_checked {
  std::string member;
  std::optional<member_status> status;  ///< Empty: no answer.
};
/// @brief A log entry: a decision and the inputs that led to it.
struct log_message {
  log_level level = log_level::kInfo;
  std::string text;
};
/// @brief The drain is complete: `drain_notice` has passed and no session is
/// left. Emitted once.
struct drained {};

using action = std::variant<accept_caller,
                            answer_caller,
                            close_caller,
                            return_session,
                            open_link,
                            send_link,
                            close_link,
                            member_checked,
                            log_message,
                            drained>;

/// @brief Health of a member as observed by this VM.
struct member_health {
  std::optional<time_point> last_answer;
  std::optional<time_point> failing_since;  ///< Empty: not failing.
  int failures = 0;                         ///< Consecutive failed connections.
};

/// @brief A position in a primary's log. Every commit acknowledged before the
/// time `covers` has a log position of at most `position`.
struct observed_position {
  log_position position;
  time_point covers;
};

/// @brief What this VM has learned about a member.
struct member_capacity_estimate {
  std::string member;
  double limit = 1;           ///< Statements of this VM in flight; at least 1.
  duration response_time{0};  ///< Expected, of the statement answered last.
};

/// @brief Use of an organisation's rate on this VM.
struct organisation_usage {
  uint64_t admitted = 0;    ///< Operations since process start.
  double demand_per_s = 0;  ///< Current demand.
};

/// @brief An availability zone that is or was evacuated.
struct zone_evacuation {
  /// When this VM learned of it; empty: the evacuation has ended.
  std::optional<time_point> since;
  bool complete = false;  ///< Nothing of this VM runs or may run there.
  size_t work = 0;        ///< Transactions and statements at its members.
};

/// @brief Why the allowed regions kept a statement from running.
enum class placement_refusal : uint8_t {
  kNoMember,     ///< No member of the group is in an allowed region.
  kPrimary,      ///< The primary, which the statement needs, is not in one.
  kTransaction,  ///< The member that runs its transaction is not in one.
};
std::string_view PlacementRefusalName(placement_refusal value);

struct broker_metrics {
  uint64_t sessions = 0;
  uint64_t statements = 0;
  uint64_t done_by_primary = 0;
  uint64_t done_by_replica = 0;
  uint64_t links_opened = 0;
  uint64_t links_failed = 0;
  uint64_t retries = 0;
  uint64_t lagging = 0;
  uint64_t rate_refused = 0;
  uint64_t rate_paced = 0;  ///< Operations that waited for a token.
  std::map<placement_refusal, uint64_t> placement_refused;
  uint64_t sent_to_cold = 0;  ///< Statements sent to cold members.
  uint64_t cold_refused = 0;  ///< Statements refused for lack of allowance.
  uint64_t sessions_returned = 0;  ///< To their entry VMs.
  std::map<result_code, uint64_t> failures;
};

/// @brief Routes the statements of all sessions on a VM.
///
/// A deterministic state machine without I/O, threads or clocks. The `now`
/// passed to `Step` is monotonic and includes the time in which the VM was
/// suspended, since primary leases also expire during a suspension.
///
/// Invariants:
/// - A link runs one transaction or one statement at a time, for the
///   organisation that it was opened for.
/// - A statement is sent to a primary only while this VM's lease on it is
///   valid, except within a read-only transaction. The result of a statement
///   that the current primary must answer is used only if the lease is still
///   valid when the answer arrives.
/// - A caller's statement that may change data is sent at most once, unless a
///   member reported that it did not run.
class session_broker {
 public:
  explicit session_broker(broker_options options);
  ~session_broker();
  session_broker(const session_broker&) = delete;
  session_broker& operator=(const session_broker&) = delete;

  /// @brief Handles one event.
  std::vector<action> Step(time_point now, const event& input);

  /// @brief When the next `tick` is due.
  std::optional<time_point> NextDeadline() const;

  member_health HealthOf(std::string_view member) const;

  /// @brief Newest known position of each group's log, observed under a valid
  /// lease by this or another VM.
  std::map<std::string, observed_position, std::less<>> Positions() const;

  /// @brief By organisation: operations admitted by this VM and current demand
  /// on it.
  std::map<std::string, organisation_usage, std::less<>> Usage(
      time_point now) const;

  /// @brief What this VM has learned about the listed members that have
  /// answered its statements. Empty unless the capacity is learned.
  std::vector<member_capacity_estimate> Capacities(time_point now) const;

  /// @brief Number of links to the primary of `group` that run a transaction or
  /// a statement, or roll a transaction back. 0 if the primary's epoch is at
  /// least `epoch`.
  size_t CountPrimaryWork(std::string_view group, int64_t epoch) const;

  /// @brief The availability zones that are or were evacuated.
  std::map<std::string, zone_evacuation, std::less<>> Evacuations() const;

  /// @brief Aborts all transactions and statements on the primary of `group`,
  /// unless the primary's epoch is at least `epoch`. Until the next
  /// `primary_leases_changed` for the group, no primary is known. Commits in
  /// flight that may change data, and writes outside a transaction, get an
  /// unknown outcome. Reads outside a transaction, and transactions whose begin
  /// is unanswered, are retried if attempts and time are left.
  std::vector<action> StopPrimaryWork(time_point now,
                                      std::string_view group,
                                      int64_t epoch);

  const broker_metrics& metrics() const;
  size_t sessions() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_INTERACTIVE_H_
