// Calls of the functions of docs/database-contract.md, which SQLite does not
// see.
#ifndef SRC_STANDIN_FUNCTION_CALL_H_
#define SRC_STANDIN_FUNCTION_CALL_H_

#include <optional>
#include <string>
#include <vector>

#include "src/standin/sql.h"

namespace tarragondale::standin {

/// @brief A call `SELECT * FROM tarragondale_<name>(...)`.
struct function_call {
  std::string name;  ///< Without the prefix `tarragondale_`.
  std::vector<std::optional<std::string>> arguments;
};

/// @brief Reads a call; empty if the statement is none. Throws `sql_error` if
/// the call is malformed.
std::optional<function_call> ParseFunctionCall(const sql_statement& statement);

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_FUNCTION_CALL_H_
