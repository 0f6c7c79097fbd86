// Runs the statements of one session: commands for transactions, function
// calls and everything else, which goes to SQLite.
#ifndef SRC_STANDIN_STATEMENT_RUNNER_H_
#define SRC_STANDIN_STATEMENT_RUNNER_H_

#include <memory>
#include <string>
#include <vector>

#include "src/standin/function_call.h"
#include "src/standin/member.h"
#include "src/standin/sql.h"

namespace tarragondale::standin {

class statement_runner {
 public:
  explicit statement_runner(member& owner) : member_(owner) {}
  statement_runner(const statement_runner&) = delete;
  statement_runner& operator=(const statement_runner&) = delete;
  /// @brief Rolls back what is open.
  ~statement_runner();

  /// @brief Runs one statement, in an implicit transaction if none is open.
  /// Throws `sql_error` after the transaction was ended or marked as failed.
  task<sql_result> Run(const sql_statement& statement);

  /// @brief Commits an implicit transaction. Throws `sql_error`.
  task<void> FinishImplicit();
  /// @brief Ends the implicit transaction or marks the block as failed.
  void Fail();

  sql_description Describe(const std::string& text);

  /// @brief Status for ReadyForQuery: `I`, `T` or `E`.
  char State() const;
  /// @brief True once after DISCARD ALL.
  bool TakeDiscarded();

 private:
  task<sql_result> RunChecked(const sql_statement& statement);
  task<bool> RunCommand(const std::vector<std::string>& words,
                        sql_result& result);
  task<void> Begin(const std::vector<std::string>& words);
  task<void> Commit(sql_result& result);
  sql_result CallFunction(const function_call& call);
  sql_result CommitPosition() const;
  task<void> CommitOpen();
  void End();

  member& member_;
  std::unique_ptr<transaction> open_;
  int64_t commit_term_ = 0;
  int64_t commit_position_ = 0;
  bool discarded_ = false;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_STATEMENT_RUNNER_H_
