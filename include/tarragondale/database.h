// Public header of the database library: commands to the database driver and
// its events. The driver (runtime library, libpq) is the only part that does
// I/O with databases; decision libraries speak to it through these types.
#ifndef TARRAGONDALE_DATABASE_H_
#define TARRAGONDALE_DATABASE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/wire.h"

namespace tarragondale::database {

/// @brief Identifies a connection for its whole life; never used again.
using connection_id = uint64_t;

/// @brief Identifies a query on its connection; never used again.
using query_id = uint64_t;

/// @brief Opens a connection; answered by `connection_opened` or
/// `connection_lost`.
struct open_connection {
  connection_id connection = 0;
  std::string address;  ///< IP:port.
  std::string database;
};

/// @brief Runs one statement with text parameters in an extended query.
/// Queries on one connection are queued and run in order; each is answered by
/// `query_finished`, or all by one `connection_lost`.
struct send_query {
  connection_id connection = 0;
  query_id query = 0;
  wire::statement statement;
};

/// @brief Closes the connection at once; no event follows for it.
struct close_connection {
  connection_id connection = 0;
};

using command = std::variant<open_connection, send_query, close_connection>;

struct connection_opened {
  connection_id connection = 0;
};

/// @brief The connection can't be opened, or broke. Its queries that are not
/// finished have an unknown outcome.
struct connection_lost {
  connection_id connection = 0;
  std::string reason;
};

struct query_finished {
  connection_id connection = 0;
  query_id query = 0;
  std::string sqlstate;  ///< Empty: success.
  std::string message;   ///< The database's error text.
  wire::statement_result result;
};

using driver_event =
    std::variant<connection_opened, connection_lost, query_finished>;

/// @brief SQLSTATEs of the functions in docs/database-contract.md.
inline constexpr char kStalePromise[] = "TG001";
inline constexpr char kPromiseMismatch[] = "TG002";
inline constexpr char kNotWritable[] = "TG003";
/// @brief SQLSTATE of a write in a read-only transaction.
inline constexpr char kReadOnlyTransaction[] = "25006";

/// @brief Reads the single row of `SELECT * FROM tarragondale_status()` by
/// column names. Failure `message_malformed` if a column is missing or bad.
result<wire::member_report> ParseStatus(const wire::statement_result& rows);

/// @brief One row of `SELECT * FROM tarragondale_replication()`.
struct replication_row {
  std::string member;
  int64_t term = 0;
  int64_t promised_term = 0;
  int64_t position = 0;
};

/// @brief Reads all rows of `SELECT * FROM tarragondale_replication()`.
result<std::vector<replication_row>> ParseReplication(
    const wire::statement_result& rows);

}  // namespace tarragondale::database

#endif  // TARRAGONDALE_DATABASE_H_
