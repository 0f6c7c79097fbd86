// One transaction on one connection: which statements to send next and what
// their answers mean. It covers whole requests and interactive transactions,
// and includes the reset of the connection at the end.
#ifndef TARRAGONDALE_SRC_POOL_TRANSACTION_H_
#define TARRAGONDALE_SRC_POOL_TRANSACTION_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "src/pool/pending_request.h"
#include "tarragondale/chart.h"

namespace tarragondale::pool {

/// @brief Position that a majority must hold before an answer is given.
struct awaited_position {
  int64_t term = 0;  ///< Term in which the primary serves.
  int64_t position = 0;
};

/// @brief What became of a request, apart from replication.
struct conclusion {
  result_code code = result_code::kOk;
  std::string reason;
  std::vector<wire::statement_result> results;
  log_position position;
  std::optional<awaited_position> awaited;  ///< Set for work on a primary.
  int64_t age_ms = 0;
  bool from_primary = false;
  bool replayed = false;
};

enum class query_purpose : uint8_t {
  kStatusBefore,  ///< Is the member fresh enough for the read?
  kCreateTable,   ///< Creates the idempotency table at first use.
  kBegin,
  kClaimKey,       ///< Inserts the idempotency record.
  kReadKey,        ///< Reads the record of an earlier attempt.
  kStatement,      ///< A statement of the caller.
  kRecordResults,  ///< Completes the idempotency record.
  kCommit,
  kCommitPosition,
  kStatusAfter,  ///< Upper bound of the position that a read saw.
  kRollback,
  kDiscard,
};

struct planned_query {
  query_purpose purpose = query_purpose::kBegin;
  wire::statement statement;
};

/// @brief What the member's last status says, for reads.
struct known_status {
  wire::member_report report;
  time_point sampled;  ///< When the status query was sent.
};

struct transaction_options {
  size_t answer_bytes = 0;
  /// The idempotency table is known to exist in this term.
  bool table_exists = false;
  std::optional<known_status> status;
};

/// @brief True if the statement would begin, end or change the transaction
/// that the gateway controls.
bool ControlsTransaction(const std::string& sql);

/// @brief True if a status satisfies the freshness that a read asks for.
/// `age_ms` receives the highest age of the data at `now`.
bool IsFresh(const wire::execute_request& request,
             const known_status& status,
             time_point now,
             int64_t& age_ms);

/// Invariant: at most one request is concluded at a time, exactly once, and
/// `kCommit` is the only query that can make a write take effect.
class transaction {
 public:
  transaction(transaction_options options, const pending_ptr& first);

  /// @brief Runs a request: the whole, the beginning, or a further step.
  void Run(time_point now, pending_ptr step);

  /// @brief Queries to send now, in order.
  std::vector<planned_query> TakeQueries();

  /// @brief Handles the answer to the oldest query that was taken.
  std::optional<conclusion> OnAnswer(time_point now,
                                     const database::query_finished& answer);

  /// @brief The connection is gone or was closed; what the running request
  /// comes to.
  std::optional<conclusion> OnLost() const;

  /// @brief COMMIT of a write was sent; nothing can stop it.
  bool commit_sent() const { return commit_sent_; }

  /// @brief No statement of the caller or of its idempotency record was sent.
  bool untouched() const { return untouched_; }

  /// @brief Rolls back as soon as the queries in flight are answered. False if
  /// the commit was sent and can't be stopped.
  bool Abandon();

  /// @brief Request that is not concluded; null if there is none.
  const pending_ptr& running() const { return running_; }

  /// @brief No query is in flight.
  bool idle() const { return in_flight_.empty() && planned_.empty(); }

  /// @brief The transaction has ended and the connection may be reused after
  /// its queries are answered, if `clean`.
  bool ended() const { return chart_.state() >= chart_state::kCommitting; }
  bool clean() const { return clean_; }
  bool table_created() const { return table_created_; }
  bool table_missing() const { return table_missing_; }

  const wire::execute_request& origin() const { return origin_; }
  const std::string& owner_vm() const { return owner_vm_; }

 private:
  using chart_event = chart::transaction::event;
  using chart_state = chart::transaction::state;
  using handler = std::optional<conclusion> (
      transaction::*)(time_point, const database::query_finished&);

  std::optional<conclusion> OnStatusBefore(time_point now,
                                           const database::query_finished& a);
  std::optional<conclusion> OnCreateTable(time_point now,
                                          const database::query_finished& a);
  std::optional<conclusion> OnBegin(time_point now,
                                    const database::query_finished& a);
  std::optional<conclusion> OnClaimKey(time_point now,
                                       const database::query_finished& a);
  std::optional<conclusion> OnReadKey(time_point now,
                                      const database::query_finished& a);
  std::optional<conclusion> OnStatement(time_point now,
                                        const database::query_finished& a);
  std::optional<conclusion> OnRecordResults(time_point now,
                                            const database::query_finished& a);
  std::optional<conclusion> OnCommit(time_point now,
                                     const database::query_finished& a);
  std::optional<conclusion> OnCommitPosition(time_point now,
                                             const database::query_finished& a);
  std::optional<conclusion> OnStatusAfter(time_point now,
                                          const database::query_finished& a);
  std::optional<conclusion> OnRollback(time_point now,
                                       const database::query_finished& a);
  std::optional<conclusion> OnDiscard(time_point now,
                                      const database::query_finished& a);

  void Plan(query_purpose purpose, std::string sql);
  void PlanStatements();
  void PlanWholeRead();
  void PlanWriteStart();
  void PlanCommit();
  void PlanRollback();
  void PlanReset(chart_event ending);
  void Advance(chart_event event);
  void StartRead(time_point now);
  std::optional<conclusion> Conclude(conclusion result);
  std::optional<conclusion> Fail(result_code code, std::string reason);
  std::optional<conclusion> FailQuery(const database::query_finished& answer);
  std::optional<conclusion> FinishStatements(time_point now);
  bool has_key() const { return !origin_.idempotency_key.empty(); }
  bool writes() const { return origin_.kind == wire::request_kind::kWrite; }
  bool whole() const { return origin_.step == wire::transaction_step::kWhole; }
  bool ReadsPositionAfter() const;
  bool on_primary() const {
    return options_.status &&
           options_.status->report.role == wire::member_role::kPrimary;
  }

  transaction_options options_;
  wire::execute_request origin_;
  std::string owner_vm_;
  pending_ptr running_;
  chart::machine<chart::transaction> chart_;
  std::vector<planned_query> planned_;
  std::deque<query_purpose> in_flight_;
  size_t statements_left_ = 0;
  size_t result_bytes_ = 0;
  conclusion draft_;
  bool untouched_ = true;
  bool commit_sent_ = false;  // Of a write: it may take effect from now on.
  bool clean_ = true;
  bool table_created_ = false;
  bool table_missing_ = false;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_TRANSACTION_H_
