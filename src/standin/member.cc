// Roles, promises and transactions of a member.
#include "src/standin/member.h"

#include <algorithm>

#include "src/standin/pg_session.h"

namespace tarragondale::standin {
namespace {

time_point Now() {
  return std::chrono::steady_clock::now();
}

std::string Text(int64_t value) {
  return std::to_string(value);
}

}  // namespace

member::member(reactor& loop,
               database_group& group,
               std::string name,
               const std::string& host)
    : loop_(loop),
      group_(group),
      name_(std::move(name)),
      committed_(std::make_unique<database>()),
      started_(Now()),
      caught_up_(started_),
      slot_free_(loop),
      writer_free_(loop),
      log_changed_(loop),
      listener_(loop, host, [this](connection& client) {
        return ServePostgres(loop_, *this, client);
      }) {}

void member::Open(uint16_t port) {
  listener_.Open(port);
  loop_.Spawn(Replicate());
}

std::string member::address() const {
  return fmt::format("{}:{}", listener_.host(), listener_.port());
}

void member::Initialise(const member& primary, const std::string& sql) {
  term_ = 1;
  promised_term_ = 1;
  primary_ = &primary == this;
  primary_address_ = primary.address();
  std::vector<sql_statement> statements;
  for (std::string& text : SplitStatements(sql)) {
    statements.push_back({std::move(text), {}});
  }
  if (!statements.empty()) {
    Append({1, 1, std::move(statements)});
  }
  if (primary_) {
    working_ = std::make_unique<database>();
    working_->CopyFrom(*committed_);
  }
}

sql_result member::Status() const {
  sql_result result;
  result.has_rows = true;
  result.columns = {{"member", kTextOid},
                    {"role", kTextOid},
                    {"term", kIntegerOid},
                    {"promised_term", kIntegerOid},
                    {"promised_coordinator", kTextOid},
                    {"last_term", kIntegerOid},
                    {"position", kIntegerOid},
                    {"term_start", kIntegerOid},
                    {"age_ms", kIntegerOid}};
  const int64_t age = primary_ ? 0 : ToMs(Now() - caught_up_);
  result.rows.push_back({name_, primary_ ? "primary" : "replica", Text(term_),
                         Text(promised_term_), promised_coordinator_,
                         Text(LastTerm()), Text(position()), Text(term_start_),
                         Text(age)});
  result.tag = "SELECT 1";
  return result;
}

sql_result member::Replication() const {
  sql_result result;
  result.has_rows = true;
  result.columns = {{"member", kTextOid},
                    {"term", kIntegerOid},
                    {"promised_term", kIntegerOid},
                    {"position", kIntegerOid}};
  for (const auto& other : group_.members()) {
    if (!primary_) {
      break;
    }
    replica_report report{term_, promised_term_, position()};
    if (other.get() != this) {
      const auto found = reports_.find(other->name());
      report = found == reports_.end() ? replica_report() : found->second;
    }
    result.rows.push_back({other->name(), Text(report.term),
                           Text(report.promised_term), Text(report.position)});
  }
  result.tag = fmt::format("SELECT {}", result.rows.size());
  return result;
}

void member::RaisePromise(int64_t term, const std::string& coordinator) {
  if (term > promised_term_) {
    promised_term_ = term;
    promised_coordinator_ = coordinator;
    FenceTransactions();
    log_changed_.NotifyAll();
  }
}

sql_result member::Fence(int64_t term, const std::string& coordinator) {
  const bool equal =
      term == promised_term_ && coordinator == promised_coordinator_;
  if (!equal && term <= promised_term_) {
    throw sql_error{"TG001",
                    fmt::format("term {} of {} is promised already",
                                promised_term_, promised_coordinator_)};
  }
  RaisePromise(term, coordinator);
  return Status();
}

sql_result member::Promote(int64_t term, const std::string& coordinator) {
  const bool follows_in_term = !primary_ && term_ == term;
  if (term != promised_term_ || coordinator != promised_coordinator_ ||
      follows_in_term) {
    throw sql_error{"TG002",
                    fmt::format("the promise is term {} of {}", promised_term_,
                                promised_coordinator_)};
  }
  if (!primary_ || term_ != term) {
    FenceTransactions();
    primary_ = true;
    term_ = term;
    term_start_ = position();
    primary_address_ = address();
    reports_.clear();
    working_ = std::make_unique<database>();
    working_->CopyFrom(*committed_);
    log_changed_.NotifyAll();
  }
  return Status();
}

sql_result member::Follow(int64_t term,
                          const std::string& coordinator,
                          const std::string& primary_address) {
  const bool equal =
      term == promised_term_ && coordinator == promised_coordinator_;
  const bool leads_in_term =
      primary_ && term_ == term && primary_address != address();
  if ((!equal && term <= promised_term_) || leads_in_term) {
    throw sql_error{"TG001",
                    fmt::format("term {} of {} is promised already",
                                promised_term_, promised_coordinator_)};
  }
  RaisePromise(term, coordinator);
  if (primary_address == address()) {
    return Status();
  }
  if (term_ != term || primary_) {
    FenceTransactions();
    primary_ = false;
    working_.reset();
    reports_.clear();
    term_ = term;
    term_start_ = position();
    // Nothing is known yet about what the new primary holds.
    caught_up_ = started_;
  }
  primary_address_ = primary_address;
  log_changed_.NotifyAll();
  return Status();
}

bool member::AddConnection() {
  if (connections_ >= limits_.connections) {
    return false;
  }
  ++connections_;
  return true;
}

void member::BeginTransaction(transaction& work) {
  transactions_.insert(&work);
}

void member::CheckWritable(const transaction& work) const {
  if (work.fenced || !MayWrite()) {
    throw sql_error{"TG003", "this member is not a primary that may write"};
  }
}

database& member::DatabaseFor(const transaction& work) {
  if (work.writing) {
    return *working_;
  }
  return work.snapshot ? *work.snapshot : *committed_;
}

task<void> member::TakeSlot() {
  while (busy_slots_ >= limits_.slots) {
    co_await slot_free_.Wait();
  }
  ++busy_slots_;
}

namespace {

// Returns a slot when the statement ends in any way.
class slot_guard {
 public:
  slot_guard(int& busy, signal& free) : busy_(busy), free_(free) {}
  slot_guard(const slot_guard&) = delete;
  slot_guard& operator=(const slot_guard&) = delete;
  ~slot_guard() {
    --busy_;
    free_.NotifyAll();
  }

 private:
  int& busy_;
  signal& free_;
};

}  // namespace

task<sql_result> member::Run(transaction& work,
                             const sql_statement& statement) {
  if (work.fenced) {
    CheckWritable(work);
  }
  const sql_description description =
      DatabaseFor(work).Describe(statement.text);
  if (!description.read_only) {
    if (work.read_only) {
      throw sql_error{"25006", "cannot write in a read-only transaction"};
    }
    co_await AcquireWriter(work);
  }
  co_await TakeSlot();
  const slot_guard slot(busy_slots_, slot_free_);
  co_await loop_.Sleep(limits_.statement_time);
  if (work.fenced || !description.read_only) {
    CheckWritable(work);
  }
  ++counters_["statements"];
  sql_result result = DatabaseFor(work).Run(statement);
  if (!description.read_only) {
    work.statements.push_back(statement);
  }
  co_return result;
}

task<void> member::AcquireWriter(transaction& work) {
  CheckWritable(work);
  const time_point deadline = Now() + limits_.lock_timeout;
  while (!work.writing && writer_ != nullptr) {
    if (Now() >= deadline) {
      throw sql_error{"55P03", "another transaction is writing"};
    }
    co_await writer_free_.WaitUntil(deadline);
    CheckWritable(work);
  }
  if (!work.writing) {
    working_->Begin();
    writer_ = &work;
    work.writing = true;
  }
}

void member::TakeSnapshot(transaction& work) const {
  work.snapshot = std::make_unique<database>();
  work.snapshot->CopyFrom(*committed_);
}

task<int64_t> member::CommitTransaction(transaction& work) {
  int64_t position_written = 0;
  try {
    if (work.fenced) {
      CheckWritable(work);
    }
    if (work.writing && !work.statements.empty()) {
      co_await TakeSlot();
      const slot_guard slot(busy_slots_, slot_free_);
      co_await loop_.Sleep(limits_.statement_time);
      CheckWritable(work);
      working_->Commit();
      Append({term_, position() + 1, std::move(work.statements)});
      position_written = position();
      ++counters_["commits"];
    }
  } catch (...) {
    EndTransaction(work);
    throw;
  }
  EndTransaction(work);
  co_return position_written;
}

void member::ReleaseWriter(transaction& work) {
  if (writer_ == &work) {
    if (working_) {
      working_->Rollback();
    }
    writer_ = nullptr;
    writer_free_.NotifyAll();
  }
  work.writing = false;
  work.statements.clear();
}

void member::EndTransaction(transaction& work) {
  ReleaseWriter(work);
  transactions_.erase(&work);
}

void member::AbortTransaction(transaction& work) {
  ReleaseWriter(work);
  work.failed = true;
}

// Transactions that could still write on a primary end here, so that none of
// them commits after the fence was reported.
void member::FenceTransactions() {
  for (transaction* const work : transactions_) {
    // A single reading statement outside a block writes nothing later.
    const bool may_write =
        work->writing || (work->explicit_block && !work->read_only);
    if (primary_ && may_write) {
      ReleaseWriter(*work);
      work->fenced = true;
    }
  }
  writer_free_.NotifyAll();
}

sql_description member::Describe(const transaction* work,
                                 const std::string& text) {
  return work == nullptr ? committed_->Describe(text)
                         : DatabaseFor(*work).Describe(text);
}

sql_result member::Select(const std::string& text) {
  if (!committed_->Describe(text).read_only) {
    throw sql_error{"25006", "only reading statements are allowed"};
  }
  return committed_->Run({text, {}});
}

void member::Append(const log_entry& entry) {
  log_.push_back(entry);
  ApplyToCommitted(entry);
  log_changed_.NotifyAll();
}

void member::ApplyToCommitted(const log_entry& entry) {
  try {
    committed_->Begin();
    for (const sql_statement& statement : entry.statements) {
      committed_->Run(statement);
    }
    committed_->Commit();
  } catch (const sql_error& error) {
    // Only a statement whose result is not determined by the data does this.
    committed_->Rollback();
    ++counters_["apply_errors"];
    Log(log_level::kError, log_part::kStandin,
        "member {} can't apply log entry {}: {}", name_, entry.position,
        error.message);
  }
}

}  // namespace tarragondale::standin
