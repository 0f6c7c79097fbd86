// Public header of the interactive library: the decisions for callers that
// hold a session open and send one statement after the other.
//
// A session keeps values, prepared statements and at most one transaction. Its
// statements run on pooled connections ("links") to database members. The
// library chooses the member and the link, brings the link to the state of the
// session, and decides what the caller is told.
#ifndef TARRAGONDALE_INTERACTIVE_H_
#define TARRAGONDALE_INTERACTIVE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/wire.h"

namespace tarragondale::interactive {

using session_id = uint64_t;  ///< A caller's connection; never used again.
using link_id = uint64_t;     ///< A connection to a member; never used again.

// --- Configuration and discovery ---

/// @brief How fresh a read on a route must be.
enum class freshness : uint8_t {
  kPrimary,           ///< Sees every acknowledged commit.
  kBoundedStaleness,  ///< Sees commits acknowledged `max_staleness` ago.
  kReadYourWrites,    ///< As bounded, and all commits of its own session.
};
std::string_view FreshnessName(freshness value);

/// @brief A database that callers name, and the group that serves it.
struct route {
  std::string name;
  std::string database;  ///< What callers name when they connect.
  std::string group;     ///< Database group.
  freshness reads = freshness::kPrimary;
  milliseconds statement_timeout{1'000};
  milliseconds latency_goal{500};  ///< For a whole operation.
  milliseconds max_staleness{0};
  int priority = 0;   ///< 0 is the highest.
  bool open = false;  ///< Needs no key.

  bool operator==(const route&) const = default;
};

struct group_limits {
  std::string name;
  int connections = 1;           ///< Cap of each member, over all VMs.
  int synchronous_replicas = 0;  ///< Replicas that hold a commit at its answer.

  bool operator==(const group_limits&) const = default;
};

/// @brief Rate and burst of an organisation count operations on all VMs.
struct organisation {
  std::string name;
  double rate = 0;   ///< Operations per second; 0: no limit.
  double burst = 0;  ///< Operations.

  bool operator==(const organisation&) const = default;
};

/// @brief One version of the configuration. Never changed once shared.
struct catalogue {
  int64_t version = 0;
  std::map<std::string, route, std::less<>> routes;  ///< By database.
  std::map<std::string, group_limits, std::less<>> groups;
  std::map<std::string, organisation, std::less<>> organisations;
  std::map<std::string, std::string, std::less<>> key_owners;  ///< By key.
  milliseconds transaction_idle_limit{3'000};
};
using catalogue_ptr = std::shared_ptr<const catalogue>;

/// @brief A running member of a database group, as it registered itself.
struct member_record {
  std::string id;  ///< Instance; a member on new hardware has a new one.
  std::string group;
  std::string address;  ///< IP:port.
  std::string availability_zone;
  int slots = 1;  ///< Statements that it runs at once.
  bool draining = false;
  bool claims_primary = false;  ///< How the member sees itself; may be wrong.
  int64_t started_ms = 0;       ///< Unix time of its start; tells incarnations.

  bool operator==(const member_record&) const = default;
};

/// @brief All members, by id.
using member_directory = std::map<std::string, member_record, std::less<>>;
using member_directory_ptr = std::shared_ptr<const member_directory>;

/// @brief This VM's right to use the primary of a group.
struct primary_right {
  std::string member;    ///< Empty: no primary is known.
  int64_t epoch = 0;     ///< Rises with each change of primary.
  time_point until;      ///< No statement may run there at or after this time.
  bool closing = false;  ///< Only open transactions may go on.

  bool operator==(const primary_right&) const = default;
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
  kPrepare,     ///< Prepares `name` with the shape `argument`.
  kExecute,     ///< Runs the prepared `name` with the parameters `argument`.
  kDeallocate,  ///< Forgets the prepared `name`.
  kMalformed,   ///< Not a statement.
};
std::string_view StatementKindName(statement_kind kind);

struct caller_statement {
  std::string id;  ///< The caller's; members must see it unchanged.
  statement_kind kind = statement_kind::kMalformed;
  std::string text;  ///< Reads and writes: passed on unchanged.
  std::string name;
  std::string argument;
  bool writes = false;  ///< `kPrepare`: the shape writes.
};

/// @brief A statement on a link.
struct member_statement {
  enum class step : uint8_t {
    kReset,  ///< Drops values and prepared statements.
    kSet,
    kPrepare,
    kBegin,
    kBeginReadOnly,
    kRollback,
    kRun,      ///< A caller's read or write, `text`.
    kExecute,  ///< A caller's execution of `name` with `argument`.
    kCommit,   ///< A caller's commit.
    kStatus,   ///< Asks for role, term and positions.
    kDemote,   ///< Ends the lead of terms below `argument`; answers a status.
  };

  step what = step::kRun;
  std::string id = {};  ///< Empty: the proxy's own statement.
  std::string text = {};
  std::string name = {};
  std::string argument = {};
  bool writes = false;
  /// The member must hold this position, or it answers `kLagging`.
  std::optional<log_position> minimum = {};
};

/// @brief Transaction state that goes with an answer.
enum class transaction_state : uint8_t { kIdle, kOpen, kFailed };

/// @brief What a member answered.
enum class member_code : uint8_t {
  kDone,
  kBusy,              ///< Not run: its queue is full.
  kLagging,           ///< Not run: it lacks the required position.
  kReadOnly,          ///< Not run: it is no primary.
  kWrongMember,       ///< Another instance or group has this address now.
  kTooMany,           ///< Its connection cap is reached.
  kUnknownStatement,  ///< Not run: no prepared statement of this name.
  kFailed,            ///< It ran and failed.
  kTimeout,           ///< It ran too long.
  kOther,
};
std::string_view MemberCodeName(member_code code);

/// @brief A member's view of itself.
struct member_status {
  bool primary = false;
  int64_t term = 0;
  log_position received;  ///< Newest log entry that it holds.

  bool operator==(const member_status&) const = default;
};

struct member_answer {
  member_code code = member_code::kDone;
  std::vector<std::string> rows;
  std::string signature;  ///< Proves to the caller that the member ran it.
  std::string reason;
  transaction_state state = transaction_state::kIdle;
  std::optional<log_position> position;  ///< Applied log position.
  std::optional<member_status> status;   ///< After `kStatus`.
};

/// @brief Limits and intervals of `session_broker`.
struct broker_options {
  std::string availability_zone;
  std::string region;
  std::map<std::string, std::string, std::less<>> region_of_zone;
  uint64_t seed = 0;  ///< Of chance; other VMs need other ones.

  size_t max_sessions = 3'000;  ///< Bounds descriptors and memory.
  size_t max_pending = 256;     ///< Unanswered statements of a session.
  size_t max_values = 256;      ///< Values and prepared names of a session.
  /// Prepared statements on a link before it is reset; bounds its memory.
  size_t max_prepared = 256;

  duration zone_latency{400};             ///< Round trip within a zone.
  duration region_latency{3'000};         ///< Round trip between zones.
  duration other_region_latency{17'000};  ///< Round trip between regions.
  /// Added to the cost of a member outside the zone, or the region, for the
  /// bytes that the platform charges for.
  duration zone_penalty{3'000};
  duration region_penalty{15'000};
  /// Added to reads on a primary, which has the writes to carry.
  duration primary_penalty{8'000};

  duration connect_limit = milliseconds(1'000);
  duration member_backoff = milliseconds(300);  ///< After a failed connection.
  duration too_many_backoff = milliseconds(200);
  duration busy_backoff = milliseconds(25);
  /// A member that leaves gets no new work after this.
  duration leaving_limit = milliseconds(5'000);
  /// A statement waits for a link or a primary for this part of its time limit.
  double wait_part = 0.75;
  /// A read that is not answered within this part of its time limit is sent to
  /// another member.
  double resend_part = 0.5;
  int max_attempts = 4;  ///< Of one statement.
  duration idle_link_limit = seconds(20);
  /// A member that leaves an answer out for this long is checked by a new
  /// connection.
  duration silence_limit = milliseconds(350);
  duration check_limit = milliseconds(600);  ///< Of a status call.
  /// Error margin of observed positions, for the callers' own clocks.
  duration staleness_margin = milliseconds(120);
  duration position_retention = seconds(12);
  /// A session without a link is closed in a drain only after the balancer
  /// has seen that this VM is not ready.
  duration drain_notice = milliseconds(2'300);
  duration drain_transactions = milliseconds(3'000);
  duration drain_limit = milliseconds(5'300);
};

// --- Events ---

struct caller_opened {
  session_id session = 0;
  std::string database;
  std::string key;
};
/// @brief A session whose caller is connected to another VM, which has checked
/// its key and keeps its state.
struct session_hosted {
  session_id session = 0;
  std::string database;
  std::string organisation;
  std::vector<wire::named_value> values;
  std::vector<wire::prepared_shape> prepared;
  log_position written;
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
/// @brief The connection failed, or could not be made.
struct link_lost {
  link_id link = 0;
  bool connected = false;  ///< It had been connected.
  std::string reason;
};
struct catalogue_changed {
  catalogue_ptr value;
};
struct members_changed {
  member_directory_ptr value;
};
struct rights_changed {
  std::map<std::string, primary_right, std::less<>> by_group;
};
/// @brief VMs in service, this one included.
struct fleet_changed {
  int vms = 1;
  std::map<std::string, int, std::less<>> by_zone;
  /// VMs that use each database member; 0: all of them.
  int member_users = 0;
};
/// @brief An observation of a primary's log by another VM: every commit
/// acknowledged before `covers` is at or before `position`.
struct position_learned {
  std::string group;
  log_position position;
  time_point covers;
};
/// @brief Operations that another VM, or those it speaks for, admitted for an
/// organisation.
struct usage_learned {
  std::string organisation;
  double operations = 0;    ///< Since its last report.
  double demand_per_s = 0;  ///< Its present demand.
  std::string vm;
  int counted_vms = 1;  ///< VMs whose operations the report counts.
};
/// @brief Asks a member for its status; answered by `member_checked`.
struct check_member {
  std::string member;
};
/// @brief Ends an old primary's lead; repeated until it is answered.
struct demote_member {
  std::string member;
  int64_t term = 0;
};
/// @brief New limits and intervals, in force at once.
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
                           catalogue_changed,
                           members_changed,
                           rights_changed,
                           fleet_changed,
                           position_learned,
                           usage_learned,
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
/// @brief The single answer to a statement, or the refusal of a session.
struct answer_caller {
  session_id session = 0;
  result_code code = result_code::kOk;
  std::string reason = {};
  std::vector<std::string> rows = {};
  std::string signature = {};  ///< Empty: answered without a member.
  transaction_state state = transaction_state::kIdle;
  std::optional<log_position> position = {};
  bool close = false;  ///< Close after the answer.
};
struct close_caller {
  session_id session = 0;
};
struct open_link {
  link_id link = 0;
  std::string member;
  std::string address;
  std::string group;
  std::string organisation;  ///< On whose behalf.
  duration limit{0};         ///< Until it must be open.
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
  std::optional<member_status> status;  ///< Empty: it did not answer.
};
/// @brief A decision for the log: what was decided, from which inputs.
struct decision_note {
  log_level level = log_level::kInfo;
  std::string text;
};
/// @brief After `drain_started`: no session is left. Sent once.
struct drained {};

using action = std::variant<accept_caller,
                            answer_caller,
                            close_caller,
                            open_link,
                            send_link,
                            close_link,
                            member_checked,
                            decision_note,
                            drained>;

/// @brief How this VM sees a member.
struct member_health {
  std::optional<time_point> last_answer;
  std::optional<time_point> failing_since;  ///< Empty: not failing.
  int failures = 0;  ///< Connections that failed in a row.
};

/// @brief Observation of a primary's log by this VM.
struct observed_position {
  log_position position;
  time_point covers;
};

/// @brief What this VM admitted for an organisation.
struct organisation_usage {
  uint64_t admitted = 0;    ///< Operations since the start.
  double demand_per_s = 0;  ///< Present demand.
};

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
  std::map<result_code, uint64_t> failures;
};

/// @brief Decides for all sessions of a VM.
///
/// A deterministic state machine: no I/O, threads or clocks. `now` never falls
/// and includes the time for which the VM was suspended, since rights to use
/// a primary expire meanwhile.
///
/// Invariants: a link runs one transaction or one statement at a time, on
/// behalf of the organisation that it was opened for; a statement runs on a
/// primary only before the end of this VM's right to use it; a caller's
/// statement that may change data is sent at most once unless a member said
/// that it has not run.
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

  /// @brief Newest observation of each group's log under a valid right.
  std::map<std::string, observed_position, std::less<>> Positions() const;

  /// @brief Usage of all organisations by this VM.
  std::map<std::string, organisation_usage, std::less<>> Usage(
      time_point now) const;

  /// @brief Open transactions and running statements on a group's primary of
  /// an epoch below `epoch`.
  size_t PrimaryWork(std::string_view group, int64_t epoch) const;

  /// @brief Ends all work on the primary of `group` under epochs below `epoch`
  /// at once. Commits and writes in flight end as unknown.
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
