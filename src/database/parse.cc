// Reads the rows of the functions in docs/database-contract.md.
#include <charconv>
#include <optional>
#include <string_view>

#include "tarragondale/database.h"

namespace tarragondale::database {
namespace {

// Reads cells of one row by column name and remembers the first problem.
class row_reader {
 public:
  row_reader(const wire::statement_result& rows, size_t row)
      : rows_(rows), row_(row) {}

  std::string Text(std::string_view name) {
    const std::string* const cell = Cell(name);
    return cell != nullptr ? *cell : std::string();
  }

  int64_t Integer(std::string_view name) {
    const std::string* const cell = Cell(name);
    int64_t value = 0;
    if (cell == nullptr) {
      return value;
    }
    const char* const end = cell->data() + cell->size();
    const auto [stop, error] = std::from_chars(cell->data(), end, value);
    if (error != std::errc() || stop != end) {
      problem_ = "column " + std::string(name) + " is not an integer";
    }
    return value;
  }

  const std::string& problem() const { return problem_; }

 private:
  const std::string* Cell(std::string_view name) {
    for (size_t i = 0; i < rows_.columns.size(); ++i) {
      if (rows_.columns[i].name == name && i < rows_.rows[row_].size() &&
          rows_.rows[row_][i]) {
        return &*rows_.rows[row_][i];
      }
    }
    problem_ = "column " + std::string(name) + " is missing";
    return nullptr;
  }

  const wire::statement_result& rows_;
  size_t row_;
  std::string problem_;
};

failure Malformed(const std::string& reason) {
  return {result_code::kMessageMalformed, reason};
}

}  // namespace

result<wire::member_report> ParseStatus(const wire::statement_result& rows) {
  if (rows.rows.size() != 1) {
    return Malformed("tarragondale_status() did not return one row");
  }
  row_reader row(rows, 0);
  wire::member_report report;
  report.reachable = true;
  report.member = row.Text("member");
  const auto role = wire::MemberRoleFromName(row.Text("role"));
  report.role = role.value_or(wire::member_role::kUnknown);
  report.term = row.Integer("term");
  report.promised_term = row.Integer("promised_term");
  report.last_term = row.Integer("last_term");
  report.position = row.Integer("position");
  report.term_start = row.Integer("term_start");
  report.age_ms = row.Integer("age_ms");
  if (!row.problem().empty()) {
    return Malformed(row.problem());
  }
  return report;
}

result<std::vector<replication_row>> ParseReplication(
    const wire::statement_result& rows) {
  std::vector<replication_row> parsed;
  for (size_t i = 0; i < rows.rows.size(); ++i) {
    row_reader row(rows, i);
    replication_row entry;
    entry.member = row.Text("member");
    entry.term = row.Integer("term");
    entry.promised_term = row.Integer("promised_term");
    entry.position = row.Integer("position");
    if (!row.problem().empty()) {
      return Malformed(row.problem());
    }
    parsed.push_back(std::move(entry));
  }
  return parsed;
}

}  // namespace tarragondale::database
