// A fake database member: promises, a log, and replication by pulling from the
// primary. Implements the functions of docs/database-contract.md.
#ifndef SRC_FAULT_MATRIX_FAKE_MEMBER_H_
#define SRC_FAULT_MATRIX_FAKE_MEMBER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/fault_matrix/history.h"
#include "src/fault_matrix/simulation.h"
#include "tarragondale/database.h"

namespace tarragondale::fault_matrix {

struct log_entry {
  int64_t term = 0;
  uint64_t write = 0;  ///< 0: the entry that begins a term.
};

class fake_member {
 public:
  fake_member(simulation& sim, network& net, history& past, std::string name)
      : sim_(sim), net_(net), history_(past), name_(std::move(name)) {}

  /// @brief Starts pulling; `peers` are all members by address.
  void Start(const std::map<std::string, fake_member*>* peers);

  /// @brief Runs one of the contract's functions.
  database::query_finished Execute(const wire::statement& statement);

  /// @brief Commits a write; its position, or none with error TG003.
  std::optional<log_position> Write(uint64_t write);

  std::vector<database::replication_row> Replication() const;
  wire::member_report Status() const;
  bool Holds(uint64_t write) const;

  const std::string& name() const { return name_; }
  bool alive() const { return alive_; }
  void Crash() { alive_ = false; }

 private:
  void PullLater();
  void Pull();
  void ServePull(fake_member& follower,
                 int64_t term,
                 size_t length,
                 int64_t last_term,
                 int64_t promised);
  void TakeEntries(int64_t term, size_t from, std::vector<log_entry> entries);
  void Backtrack(int64_t term, size_t length);
  int64_t TermAt(size_t length) const {
    return length == 0 ? 0 : log_[length - 1].term;
  }
  std::optional<std::string> Fence(int64_t term, const std::string& who);
  std::optional<std::string> Promote(int64_t term, const std::string& who);
  std::optional<std::string> Follow(int64_t term,
                                    const std::string& who,
                                    const std::string& address);
  wire::statement_result StatusRow() const;

  simulation& sim_;
  network& net_;
  history& history_;
  std::string name_;
  const std::map<std::string, fake_member*>* peers_ = nullptr;
  bool alive_ = true;
  bool primary_ = false;
  int64_t term_ = 0;
  int64_t promised_ = 0;
  std::string promised_by_;
  int64_t term_start_ = 0;
  std::string following_;  ///< Address of the primary.
  /// Length of the log that is known to match the primary of `term_`; a pull
  /// never states more, so that entries that diverge are not counted.
  size_t pulled_length_ = 0;
  std::vector<log_entry> log_;
  std::map<std::string, database::replication_row> replicas_;
  time_point caught_up_;
};

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_FAKE_MEMBER_H_
