// Plans statements and interprets their answers.
#include "src/pool/transaction.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace tarragondale::pool {
namespace {

constexpr char kCreateTableSql[] =
    "CREATE TABLE IF NOT EXISTS tarragondale_idempotency("
    "organisation TEXT NOT NULL, key TEXT NOT NULL, digest TEXT NOT NULL, "
    "results TEXT NOT NULL, PRIMARY KEY (organisation, key))";
constexpr char kClaimKeySql[] =
    "INSERT INTO tarragondale_idempotency(organisation, key, digest, results) "
    "VALUES ($1, $2, $3, '') ON CONFLICT DO NOTHING";
constexpr char kReadKeySql[] =
    "SELECT digest, results FROM tarragondale_idempotency "
    "WHERE organisation = $1 AND key = $2";
constexpr char kRecordResultsSql[] =
    "UPDATE tarragondale_idempotency SET results = $3 "
    "WHERE organisation = $1 AND key = $2";
constexpr char kStatusSql[] = "SELECT * FROM tarragondale_status()";
constexpr char kCommitPositionSql[] =
    "SELECT * FROM tarragondale_commit_position()";

constexpr std::string_view kUniqueViolation = "23505";
constexpr std::string_view kDuplicateTable = "42P07";
constexpr std::string_view kUndefinedTable = "42P01";

// Critical check: a connection loses all state of its last user before reuse.
bool ResetBeforeReuse() {
#if defined(TARRAGONDALE_MUTANT_RESET)
  return false;
#else
  return true;
#endif
}

// Critical check: an idempotent write records its key and results.
bool RecordsKey(const wire::execute_request& request) {
#if defined(TARRAGONDALE_MUTANT_IDEMPOTENCY)
  (void)request;
  return false;
#else
  return !request.idempotency_key.empty() &&
         request.kind == wire::request_kind::kWrite &&
         request.step == wire::transaction_step::kWhole;
#endif
}

// The connection or the server is the cause, not the statement: class 08
// (connection exception), 53300 (too many connections), 57P0x (shutdown).
bool IsServerTrouble(std::string_view sqlstate) {
  return sqlstate.starts_with("08") || sqlstate == "53300" ||
         sqlstate.starts_with("57P0");
}

std::optional<int64_t> IntegerCell(const wire::statement_result& rows,
                                   std::string_view name) {
  for (size_t i = 0; i < rows.columns.size(); ++i) {
    if (rows.columns[i].name != name || rows.rows.size() != 1 ||
        i >= rows.rows[0].size() || !rows.rows[0][i]) {
      continue;
    }
    const std::string& cell = *rows.rows[0][i];
    int64_t value = 0;
    const auto [stop, error] =
        std::from_chars(cell.data(), cell.data() + cell.size(), value);
    if (error == std::errc() && stop == cell.data() + cell.size()) {
      return value;
    }
  }
  return std::nullopt;
}

size_t ResultBytes(const wire::statement_result& rows) {
  // Rough cost of a cell besides its text, so that many NULLs count too.
  constexpr size_t kCellOverhead = 4;
  size_t bytes = 0;
  for (const auto& row : rows.rows) {
    for (const wire::sql_value& cell : row) {
      bytes += kCellOverhead + (cell ? cell->size() : 0);
    }
  }
  return bytes;
}

// Skips white space and comments in front of the first keyword.
std::string_view SkipToKeyword(std::string_view sql) {
  for (;;) {
    const size_t start = sql.find_first_not_of(" \t\r\n\f\v;(");
    if (start == std::string_view::npos) {
      return {};
    }
    sql.remove_prefix(start);
    if (sql.starts_with("--")) {
      const size_t end = sql.find('\n');
      sql.remove_prefix(end == std::string_view::npos ? sql.size() : end);
    } else if (sql.starts_with("/*")) {
      // Comments nest in PostgreSQL.
      int depth = 0;
      size_t at = 0;
      do {
        if (sql.substr(at).starts_with("/*")) {
          ++depth;
          at += 2;
        } else if (sql.substr(at).starts_with("*/")) {
          --depth;
          at += 2;
        } else {
          ++at;
        }
      } while (depth > 0 && at < sql.size());
      sql.remove_prefix(std::min(at, sql.size()));
    } else {
      return sql;
    }
  }
}

}  // namespace

bool ControlsTransaction(const std::string& sql) {
  constexpr std::array<std::string_view, 11> kKeywords = {
      "BEGIN",   "START", "COMMIT", "END",     "ABORT", "ROLLBACK",
      "PREPARE", "SET",   "RESET",  "DISCARD", "COPY"};
  const std::string_view rest = SkipToKeyword(sql);
  std::string word;
  for (const char c : rest) {
    const bool lower = c >= 'a' && c <= 'z';
    if (!lower && (c < 'A' || c > 'Z')) {
      break;
    }
    word.push_back(lower ? static_cast<char>(c - 'a' + 'A') : c);
  }
  return std::find(kKeywords.begin(), kKeywords.end(), word) != kKeywords.end();
}

bool IsFresh(const wire::execute_request& request,
             const known_status& status,
             time_point now,
             int64_t& age_ms) {
  const wire::member_report& report = status.report;
  if (report.role == wire::member_role::kPrimary) {
    // A primary holds all of its own term and, being elected by a majority,
    // everything of earlier terms that a majority held.
    age_ms = 0;
    return request.minimum.term <= report.term;
  }
  const log_position held{report.last_term, report.position};
  if (report.role != wire::member_role::kReplica || held < request.minimum) {
    return false;
  }
  if (report.age_ms < 0) {
    age_ms = -1;
    return request.max_age_ms < 0;
  }
  age_ms = report.age_ms + ToMs(now - status.sampled) + 1;
  return request.max_age_ms < 0 || age_ms <= request.max_age_ms;
}

transaction::transaction(transaction_options options, const pending_ptr& first)
    : options_(std::move(options)),
      origin_(first->request),
      owner_vm_(first->sender) {}

void transaction::Run(time_point now, pending_ptr step) {
  running_ = std::move(step);
  draft_ = conclusion();
  result_bytes_ = 0;
  using enum wire::transaction_step;
  switch (running_->request.step) {
    case kWhole:
    case kBegin:
      if (writes()) {
        PlanWriteStart();
      } else {
        StartRead(now);
      }
      break;
    case kContinue:
      Advance(chart_event::kExecute);
      PlanStatements();
      break;
    case kCommit:
      PlanCommit();
      break;
    case kRollback:
      Plan(query_purpose::kRollback, "ROLLBACK");
      PlanReset(chart_event::kRollBack);
      break;
  }
}

void transaction::StartRead(time_point now) {
  if (!options_.status ||
      !IsFresh(origin_, *options_.status, now, draft_.age_ms)) {
    Plan(query_purpose::kStatusBefore, kStatusSql);
    options_.status.emplace();
    options_.status->sampled = now;
    return;
  }
  const wire::member_report& report = options_.status->report;
  draft_.position = {report.last_term, report.position};
  if (whole()) {
    PlanWholeRead();
  } else {
    Plan(query_purpose::kBegin, "BEGIN READ ONLY");
  }
}

// All of it in one pipeline: an error aborts the transaction, so that the
// COMMIT ends it without effect.
void transaction::PlanWholeRead() {
  Plan(query_purpose::kBegin, "BEGIN READ ONLY");
  PlanStatements();
  Plan(query_purpose::kCommit, "COMMIT");
  if (ReadsPositionAfter()) {
    Plan(query_purpose::kStatusAfter, kStatusSql);
  }
  PlanReset(chart_event::kCommit);
}

// The answer must carry an upper bound of the position that the statements
// saw; with a position from before the snapshot, the session could read older
// data at another member next.
bool transaction::ReadsPositionAfter() const {
  return !on_primary() || origin_.majority;
}

// BEGIN is answered before anything else is sent: a statement behind a failed
// BEGIN would commit by itself.
void transaction::PlanWriteStart() {
  if (RecordsKey(origin_) && !options_.table_exists) {
    Plan(query_purpose::kCreateTable, kCreateTableSql);
  }
  Plan(query_purpose::kBegin, "BEGIN");
}

void transaction::PlanStatements() {
  const auto& statements = running_->request.statements;
  statements_left_ = statements.size();
  for (const wire::statement& statement : statements) {
    planned_.push_back({query_purpose::kStatement, statement});
  }
}

void transaction::PlanCommit() {
  if (RecordsKey(origin_)) {
    const std::string results =
        Base64Encode(wire::EncodeResults(draft_.results));
    planned_.push_back(
        {query_purpose::kRecordResults,
         {kRecordResultsSql,
          {origin_.organisation, origin_.idempotency_key, results}}});
  }
  Plan(query_purpose::kCommit, "COMMIT");
  if (writes()) {
    Plan(query_purpose::kCommitPosition, kCommitPositionSql);
  }
  PlanReset(chart_event::kCommit);
}

void transaction::PlanRollback() {
  if (ResetBeforeReuse()) {
    Plan(query_purpose::kRollback, "ROLLBACK");
  }
  PlanReset(chart_event::kRollBack);
}

void transaction::PlanReset(chart_event ending) {
  Advance(ending);
  if (ResetBeforeReuse()) {
    Plan(query_purpose::kDiscard, "DISCARD ALL");
  }
}

// A step that the chart does not allow means that the connection's state is
// unknown, so the connection is not used again.
void transaction::Advance(chart_event event) {
  if (!chart_.Fire(event)) {
    clean_ = false;
  }
}

void transaction::Plan(query_purpose purpose, std::string sql) {
  planned_.push_back({purpose, {std::move(sql), {}}});
}

std::vector<planned_query> transaction::TakeQueries() {
  for (const planned_query& query : planned_) {
    in_flight_.push_back(query.purpose);
    if (query.purpose == query_purpose::kStatement ||
        query.purpose == query_purpose::kClaimKey) {
      untouched_ = false;
    }
    if (query.purpose == query_purpose::kCommit && writes()) {
      commit_sent_ = true;
    }
  }
  return std::exchange(planned_, {});
}

std::optional<conclusion> transaction::OnAnswer(
    time_point now,
    const database::query_finished& answer) {
  // In order of `query_purpose`.
  static constexpr std::array<handler, 12> kHandlers = {
      &transaction::OnStatusBefore,   &transaction::OnCreateTable,
      &transaction::OnBegin,          &transaction::OnClaimKey,
      &transaction::OnReadKey,        &transaction::OnStatement,
      &transaction::OnRecordResults,  &transaction::OnCommit,
      &transaction::OnCommitPosition, &transaction::OnStatusAfter,
      &transaction::OnRollback,       &transaction::OnDiscard};
  if (in_flight_.empty()) {
    return std::nullopt;
  }
  const query_purpose purpose = in_flight_.front();
  in_flight_.pop_front();
  if (IsServerTrouble(answer.sqlstate)) {
    clean_ = false;
  }
  return (this->*kHandlers[static_cast<size_t>(purpose)])(now, answer);
}

std::optional<conclusion> transaction::Conclude(conclusion result) {
  if (!running_) {
    return std::nullopt;
  }
  running_ = nullptr;
  return result;
}

std::optional<conclusion> transaction::Fail(result_code code,
                                            std::string reason) {
  if (!ended()) {
    PlanRollback();
  }
  conclusion failed;
  failed.code = code;
  failed.reason = std::move(reason);
  return Conclude(std::move(failed));
}

std::optional<conclusion> transaction::FailQuery(
    const database::query_finished& answer) {
  const std::string reason = answer.sqlstate + ": " + answer.message;
  if (answer.sqlstate == database::kNotWritable) {
    return Fail(result_code::kNoPrimary, reason);
  }
  if (answer.sqlstate == database::kReadOnlyTransaction) {
    return Fail(
        writes() ? result_code::kNoPrimary : result_code::kReadOnlyViolation,
        reason);
  }
  if (IsServerTrouble(answer.sqlstate)) {
    return Fail(result_code::kDatabaseUnavailable, reason);
  }
  return Fail(result_code::kStatementFailed, reason);
}

std::optional<conclusion> transaction::OnStatusBefore(
    time_point now,
    const database::query_finished& a) {
  if (!running_) {
    return std::nullopt;
  }
  const auto report = database::ParseStatus(a.result);
  if (!a.sqlstate.empty() || !report) {
    Advance(chart_event::kFail);
    clean_ = false;
    return Fail(result_code::kDatabaseUnavailable,
                "the member's status can't be read");
  }
  options_.status->report = *report;
  if (!IsFresh(origin_, *options_.status, now, draft_.age_ms)) {
    Advance(chart_event::kFail);  // Nothing ran, so nothing needs a reset.
    return Fail(result_code::kNoFreshReplica,
                "the member does not hold the requested position or age");
  }
  StartRead(now);
  return std::nullopt;
}

std::optional<conclusion> transaction::OnCreateTable(
    time_point /*now*/,
    const database::query_finished& a) {
  // Two sessions that create the table at once may see either error.
  table_created_ = a.sqlstate.empty() || a.sqlstate == kDuplicateTable ||
                   a.sqlstate == kUniqueViolation;
  return table_created_ ? std::nullopt : FailQuery(a);
}

std::optional<conclusion> transaction::OnBegin(
    time_point /*now*/,
    const database::query_finished& a) {
  if (!a.sqlstate.empty()) {
    clean_ = false;
    if (!ended()) {
      Advance(chart_event::kFail);
    }
    planned_.clear();
    return FailQuery(a);
  }
  if (!running_ || ended()) {
    return std::nullopt;  // A read's pipeline, or abandoned meanwhile.
  }
  Advance(chart_event::kBegun);
  if (!whole()) {
    draft_.from_primary = writes() || on_primary();
    return Conclude(draft_);
  }
  if (RecordsKey(origin_)) {
    planned_.push_back({query_purpose::kClaimKey,
                        {kClaimKeySql,
                         {origin_.organisation, origin_.idempotency_key,
                          HexEncode(origin_.request_digest)}}});
  } else {
    Advance(chart_event::kExecute);
    PlanStatements();
  }
  return std::nullopt;
}

std::optional<conclusion> transaction::OnClaimKey(
    time_point /*now*/,
    const database::query_finished& a) {
  if (!running_) {
    return std::nullopt;
  }
  if (a.sqlstate == kUndefinedTable) {
    table_missing_ = true;
    return Fail(result_code::kDatabaseUnavailable,
                "the idempotency table is missing; it is created next time");
  }
  const bool taken = a.sqlstate == kUniqueViolation ||
                     (a.sqlstate.empty() && a.result.affected == 0);
  if (!taken) {
    if (!a.sqlstate.empty()) {
      return FailQuery(a);
    }
    Advance(chart_event::kExecute);
    PlanStatements();
    return std::nullopt;
  }
  Plan(query_purpose::kRollback, "ROLLBACK");
  planned_.push_back(
      {query_purpose::kReadKey,
       {kReadKeySql, {origin_.organisation, origin_.idempotency_key}}});
  Plan(query_purpose::kStatusAfter, kStatusSql);
  PlanReset(chart_event::kRollBack);
  return std::nullopt;
}

std::optional<conclusion> transaction::OnReadKey(
    time_point /*now*/,
    const database::query_finished& a) {
  if (!running_) {
    return std::nullopt;
  }
  if (!a.sqlstate.empty()) {
    return FailQuery(a);
  }
  if (a.result.rows.size() != 1 || a.result.rows[0].size() != 2 ||
      !a.result.rows[0][0] || !a.result.rows[0][1]) {
    return Fail(result_code::kDatabaseUnavailable,
                "the idempotency record changed meanwhile");
  }
  if (*a.result.rows[0][0] != HexEncode(origin_.request_digest)) {
    return Fail(result_code::kIdempotencyKeyReused,
                "the key was used for a request with other content");
  }
  const auto bytes = Base64Decode(*a.result.rows[0][1]);
  auto results = wire::DecodeResults(bytes.value_or(""));
  if (!bytes || !results) {
    return Fail(result_code::kInternal,
                "the idempotency record can't be decoded");
  }
  draft_.results = std::move(*results);
  draft_.replayed = true;
  return std::nullopt;
}

std::optional<conclusion> transaction::OnStatement(
    time_point now,
    const database::query_finished& a) {
  if (!running_) {
    return std::nullopt;
  }
  if (!a.sqlstate.empty()) {
    return FailQuery(a);
  }
  result_bytes_ += ResultBytes(a.result);
  if (result_bytes_ > options_.answer_bytes) {
    return Fail(result_code::kAnswerTooLarge,
                "the results exceed the limit for one answer");
  }
  draft_.results.push_back(a.result);
  --statements_left_;
  return statements_left_ == 0 ? FinishStatements(now) : std::nullopt;
}

std::optional<conclusion> transaction::FinishStatements(time_point now) {
  if (whole()) {
    if (writes()) {
      PlanCommit();
    }
    return std::nullopt;
  }
  if (options_.status) {
    int64_t age_ms = 0;
    IsFresh(origin_, *options_.status, now, age_ms);
    draft_.age_ms = age_ms;
    const wire::member_report& report = options_.status->report;
    draft_.position = {report.last_term, report.position};
  }
  if (writes() ? running_->request.majority : ReadsPositionAfter()) {
    Plan(query_purpose::kStatusAfter, kStatusSql);
    return std::nullopt;
  }
  draft_.from_primary = writes() || on_primary();
  Advance(chart_event::kExecuted);
  return Conclude(std::move(draft_));
}

std::optional<conclusion> transaction::OnRecordResults(
    time_point /*now*/,
    const database::query_finished& a) {
  // The COMMIT behind a failed statement rolls back.
  return a.sqlstate.empty() ? std::nullopt : FailQuery(a);
}

std::optional<conclusion> transaction::OnCommit(
    time_point /*now*/,
    const database::query_finished& a) {
  if (!a.sqlstate.empty()) {
    clean_ = false;
    if (!writes() || a.sqlstate == database::kNotWritable) {
      return FailQuery(a);
    }
    return Fail(result_code::kUnknownConnectionLost,
                "COMMIT failed with " + a.sqlstate + ": " + a.message);
  }
  Advance(chart_event::kCommitted);
  if (writes() || !running_) {
    return std::nullopt;  // The position is still to come.
  }
  draft_.from_primary = on_primary();
  if (whole() && ReadsPositionAfter()) {
    return std::nullopt;
  }
  return Conclude(std::move(draft_));
}

std::optional<conclusion> transaction::OnCommitPosition(
    time_point /*now*/,
    const database::query_finished& a) {
  if (!running_) {
    return std::nullopt;
  }
  const auto term = IntegerCell(a.result, "term");
  const auto position = IntegerCell(a.result, "position");
  draft_.from_primary = true;
  if (a.sqlstate.empty() && term && position) {
    draft_.position = {*term, *position};
    draft_.awaited = awaited_position{*term, *position};
    return Conclude(std::move(draft_));
  }
  if (running_->request.majority) {
    return Fail(result_code::kUnknownNotReplicated,
                "the position of the commit can't be read");
  }
  return Conclude(std::move(draft_));
}

std::optional<conclusion> transaction::OnStatusAfter(
    time_point /*now*/,
    const database::query_finished& a) {
  if (!running_) {
    return std::nullopt;
  }
  const auto report = database::ParseStatus(a.result);
  if (!a.sqlstate.empty() || !report) {
    return Fail(result_code::kDatabaseUnavailable,
                "the member's status can't be read");
  }
  if (!ended()) {
    Advance(chart_event::kExecuted);
  }
  const log_position before = draft_.position;
  draft_.position = {report->last_term, report->position};
  const bool from_replica = options_.status && options_.status->report.role ==
                                                   wire::member_role::kReplica;
  const auto expected =
      from_replica ? wire::member_role::kReplica : wire::member_role::kPrimary;
  // A replica that falls back has cut its log after a failover, and what the
  // statements saw may be gone.
  if (report->role != expected || draft_.position < running_->request.minimum ||
      (from_replica && draft_.position < before)) {
    return Fail(
        writes() ? result_code::kNoPrimary : result_code::kNoFreshReplica,
        "the member was superseded during the request");
  }
  if (from_replica) {
    return Conclude(std::move(draft_));
  }
  draft_.awaited = awaited_position{report->term, report->position};
  draft_.from_primary = true;
  return Conclude(std::move(draft_));
}

std::optional<conclusion> transaction::OnRollback(
    time_point /*now*/,
    const database::query_finished& a) {
  clean_ = clean_ && a.sqlstate.empty();
  Advance(chart_event::kRolledBack);
  if (running_ && running_->request.step == wire::transaction_step::kRollback) {
    return Conclude(std::move(draft_));
  }
  return std::nullopt;
}

std::optional<conclusion> transaction::OnDiscard(
    time_point /*now*/,
    const database::query_finished& a) {
  clean_ = clean_ && a.sqlstate.empty();
  return std::nullopt;
}

std::optional<conclusion> transaction::OnLost() const {
  if (!running_) {
    return std::nullopt;
  }
  using enum wire::transaction_step;
  conclusion lost;
  const wire::transaction_step step = running_->request.step;
  if (step == kRollback) {
    return lost;  // The database rolls back when a connection ends.
  }
  if (commit_sent_) {
    lost.code = result_code::kUnknownConnectionLost;
    lost.reason = "the connection was lost after COMMIT was sent";
  } else if (step == kContinue || step == kCommit) {
    lost.code = result_code::kTransactionAborted;
    lost.reason = "the connection was lost; the transaction is rolled back";
  } else {
    lost.code = result_code::kDatabaseUnavailable;
    lost.reason = "the connection was lost before COMMIT was sent";
  }
  return lost;
}

bool transaction::Abandon() {
  if (commit_sent_) {
    return false;
  }
  running_ = nullptr;
  planned_.clear();
  if (!ended()) {
    PlanRollback();
  }
  return true;
}

}  // namespace tarragondale::pool
