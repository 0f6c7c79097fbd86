// A member of a database group: log, promise, role, transactions, slots and
// replication.
//
// A member keeps two databases. `committed_` holds exactly the log; all
// readers use it. `working_` exists on a primary only; the one writing
// transaction runs there, and at its commit its statements are applied to
// `committed_` as well.
#ifndef SRC_STANDIN_MEMBER_H_
#define SRC_STANDIN_MEMBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/standin/endpoint.h"
#include "src/standin/reactor.h"
#include "src/standin/sql.h"
#include "tarragondale/standin.h"

namespace tarragondale::standin {

class database_group;

/// @brief One committed writing transaction.
struct log_entry {
  int64_t term = 0;
  int64_t position = 0;
  std::vector<sql_statement> statements;
};

/// @brief A transaction of a session.
struct transaction {
  bool explicit_block = false;  ///< Begun by BEGIN.
  bool read_only = false;
  bool failed = false;   ///< Only ROLLBACK is allowed.
  bool fenced = false;   ///< The member was fenced; COMMIT fails with TG003.
  bool writing = false;  ///< Holds the right to write; uses `working_`.
  std::vector<sql_statement> statements;  ///< Writes, for the log.
  std::unique_ptr<database> snapshot;     ///< Repeatable reads.
};

/// @brief What a replica reported to a primary.
struct replica_report {
  int64_t term = 0;
  int64_t promised_term = 0;
  int64_t position = 0;  ///< Up to here its log equals the primary's.
};

class member {
 public:
  member(reactor& loop,
         database_group& group,
         std::string name,
         const std::string& host);

  /// @brief Listens and starts to replicate. Throws if the port is taken.
  void Open(uint16_t port);

  const std::string& name() const { return name_; }
  std::string address() const;
  endpoint& listener() { return listener_; }
  const endpoint& listener() const { return listener_; }
  member_limits& limits() { return limits_; }
  const std::vector<log_entry>& log() const { return log_; }
  std::map<std::string, int64_t>& counters() { return counters_; }
  int64_t term() const { return term_; }
  int64_t position() const { return static_cast<int64_t>(log_.size()); }
  bool primary() const { return primary_; }
  void set_replication_cut(bool cut) { replication_cut_ = cut; }
  bool replication_cut() const { return replication_cut_; }

  /// @brief Makes the member primary of term 1, or a replica of `primary` in
  /// term 1.
  void Initialise(const member& primary, const std::string& sql);

  /// @brief Functions of docs/database-contract.md. They throw `sql_error`.
  sql_result Status() const;
  sql_result Replication() const;
  sql_result Fence(int64_t term, const std::string& coordinator);
  sql_result Promote(int64_t term, const std::string& coordinator);
  sql_result Follow(int64_t term,
                    const std::string& coordinator,
                    const std::string& primary_address);

  /// @brief Connections count towards the cap between these calls.
  bool AddConnection();
  void RemoveConnection() { --connections_; }
  int connections() const { return connections_; }

  void BeginTransaction(transaction& work);
  /// @brief Runs a statement in the transaction. Throws `sql_error`.
  task<sql_result> Run(transaction& work, const sql_statement& statement);
  /// @brief Waits for the right to write. Throws `sql_error`.
  task<void> AcquireWriter(transaction& work);
  /// @brief Lets the transaction read a copy of the committed data.
  void TakeSnapshot(transaction& work) const;
  /// @brief Commits; returns the entry's position, or 0 if nothing was
  /// written. Throws `sql_error`, after which the transaction is over.
  task<int64_t> CommitTransaction(transaction& work);
  /// @brief Rolls back and ends the transaction.
  void EndTransaction(transaction& work);
  /// @brief Rolls back but keeps the block open until ROLLBACK.
  void AbortTransaction(transaction& work);

  sql_description Describe(const transaction* work, const std::string& text);
  /// @brief Runs a reading statement on the committed data.
  sql_result Select(const std::string& text);

 private:
  bool MayWrite() const { return primary_ && promised_term_ == term_; }
  void CheckWritable(const transaction& work) const;
  database& DatabaseFor(const transaction& work);
  task<void> TakeSlot();
  void ReleaseWriter(transaction& work);
  void FenceTransactions();
  void RaisePromise(int64_t term, const std::string& coordinator);
  int64_t LastTerm() const { return log_.empty() ? 0 : log_.back().term; }

  task<void> Replicate();
  task<void> ReplicateOnce(member& from);
  /// @brief Last position at which both logs are equal.
  int64_t CommonPosition(const member& other) const;
  void TruncateAfter(int64_t position);
  void Append(const log_entry& entry);
  void ApplyToCommitted(const log_entry& entry);

  reactor& loop_;
  database_group& group_;
  const std::string name_;
  member_limits limits_;

  // Durable state: it survives `stop` and `heal`.
  std::vector<log_entry> log_;  ///< Entry i has position i + 1.
  int64_t promised_term_ = 0;
  std::string promised_coordinator_;
  int64_t term_ = 0;
  int64_t term_start_ = 0;
  bool primary_ = false;
  std::string primary_address_;

  std::unique_ptr<database> committed_;
  std::unique_ptr<database> working_;
  time_point started_;
  time_point caught_up_;  ///< Last known to hold all of its primary's log.
  std::map<std::string, replica_report> reports_;
  bool replication_cut_ = false;

  std::set<transaction*> transactions_;
  transaction* writer_ = nullptr;
  int connections_ = 0;
  int busy_slots_ = 0;
  signal slot_free_;
  signal writer_free_;
  signal log_changed_;
  std::map<std::string, int64_t> counters_;
  endpoint listener_;
};

/// @brief The members of a group and the links between them.
class database_group {
 public:
  database_group(reactor& loop,
                 const std::string& host,
                 const group_options& options);

  void Open(const group_options& options);

  const std::string& name() const { return name_; }
  const std::vector<std::unique_ptr<member>>& members() const {
    return members_;
  }
  member* Find(std::string_view name);
  member* FindByAddress(std::string_view address);
  void SetLink(const std::string& a, const std::string& b, bool up);
  /// @brief True if entries can pass between two members.
  bool LinkUp(const member& a, const member& b) const;
  const std::set<std::pair<std::string, std::string>>& cut_links() const {
    return cut_links_;
  }

 private:
  std::string name_;
  std::vector<std::unique_ptr<member>> members_;
  std::set<std::pair<std::string, std::string>> cut_links_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_MEMBER_H_
