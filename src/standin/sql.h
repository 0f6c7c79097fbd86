// SQL statements, their results and errors, and the in-memory SQLite database
// behind a member.
#ifndef SRC_STANDIN_SQL_H_
#define SRC_STANDIN_SQL_H_

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragondale::standin {

/// @brief PostgreSQL type OIDs that columns have.
inline constexpr uint32_t kIntegerOid = 20;
inline constexpr uint32_t kRealOid = 701;
inline constexpr uint32_t kTextOid = 25;

/// @brief A failed statement.
struct sql_error {
  std::string sqlstate;
  std::string message;
};

/// @brief A parameter in text format; `type` is the OID that the client gave.
struct sql_parameter {
  std::optional<std::string> value;
  uint32_t type = 0;
};

struct sql_statement {
  std::string text;
  std::vector<sql_parameter> parameters;
};

struct sql_column {
  std::string name;
  uint32_t type = kTextOid;
};

struct sql_result {
  bool has_rows = false;  ///< The statement returns rows, perhaps none.
  std::vector<sql_column> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::string tag;  ///< Command tag.
};

/// @brief What a statement is before it runs.
struct sql_description {
  bool read_only = true;
  bool empty = false;     ///< Only white space and comments.
  size_t parameters = 0;  ///< Highest n of $n.
  std::vector<sql_column> columns;
};

/// @brief Splits a simple query into its statements.
std::vector<std::string> SplitStatements(std::string_view text);

/// @brief Text without leading white space and comments, and without trailing
/// white space and semicolons.
std::string_view TrimStatement(std::string_view text);

/// @brief Upper-case words of a statement up to `limit`; quoted text, numbers
/// and punctuation end the list.
std::vector<std::string> LeadingWords(std::string_view text, size_t limit);

/// @brief An in-memory SQLite database. Functions throw `sql_error`.
class database {
 public:
  database();

  sql_description Describe(const std::string& text) const;
  sql_result Run(const sql_statement& statement);
  void Begin();
  void Commit();
  void Rollback();
  bool in_transaction() const;

  /// @brief Replaces the contents by a copy of another database.
  void CopyFrom(const database& other);

 private:
  struct closer {
    void operator()(sqlite3* handle) const { sqlite3_close_v2(handle); }
  };
  struct finalizer {
    void operator()(sqlite3_stmt* handle) const { sqlite3_finalize(handle); }
  };
  using prepared = std::unique_ptr<sqlite3_stmt, finalizer>;

  prepared Prepare(const std::string& text) const;
  void Execute(const char* text);
  [[noreturn]] void ThrowError(bool preparing) const;

  std::unique_ptr<sqlite3, closer> handle_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_SQL_H_
