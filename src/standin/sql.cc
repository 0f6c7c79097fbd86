// Runs statements in SQLite and maps its errors to SQLSTATEs.
#include "src/standin/sql.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace tarragondale::standin {
namespace {

// A statement is ended after this number of virtual machine steps, about a
// second, since the stand-in runs on one thread.
constexpr int kMaxSteps = 50'000'000;

struct text_pattern {
  std::string_view part;
  const char* sqlstate;
};

constexpr text_pattern kPreparePatterns[] = {
    {"no such table", "42P01"},       {"no such column", "42703"},
    {"has no column named", "42703"}, {"no such function", "42883"},
    {"already exists", "42P07"},
};

const char* ConstraintState(int extended) {
  switch (extended) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_ROWID:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    default:
      return "23000";
  }
}

const char* StateOf(int code,
                    int extended,
                    std::string_view message,
                    bool preparing) {
  switch (code) {
    case SQLITE_CONSTRAINT:
      return ConstraintState(extended);
    case SQLITE_AUTH:
      return "0A000";
    case SQLITE_MISMATCH:
      return "22P02";
    case SQLITE_TOOBIG:
      return "54000";
    case SQLITE_INTERRUPT:
      return "57014";
    case SQLITE_RANGE:
      return "08P01";
    default:
      break;
  }
  for (const text_pattern& pattern : kPreparePatterns) {
    if (message.find(pattern.part) != std::string_view::npos) {
      return pattern.sqlstate;
    }
  }
  return preparing ? "42601" : "XX000";
}

// Transactions and savepoints are commands of the member; other databases and
// settings could make members differ.
int Authorize(void* /*context*/,
              int action,
              const char* /*first*/,
              const char* /*second*/,
              const char* /*database*/,
              const char* /*trigger*/) {
  switch (action) {
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
    case SQLITE_TRANSACTION:
    case SQLITE_SAVEPOINT:
      return SQLITE_DENY;
    default:
      return SQLITE_OK;
  }
}

int StopLongStatement(void* /*context*/) {
  return 1;
}

uint32_t TypeOfDeclaration(const char* declaration) {
  std::string text(declaration == nullptr ? "" : declaration);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::toupper(c));
  });
  const auto has = [&](const char* part) {
    return text.find(part) != std::string::npos;
  };
  // The rules of SQLite for the affinity of a column.
  if (has("INT")) {
    return kIntegerOid;
  }
  if (has("REAL") || has("FLOA") || has("DOUB")) {
    return kRealOid;
  }
  return kTextOid;
}

std::vector<sql_column> ColumnsOf(sqlite3_stmt* statement) {
  std::vector<sql_column> columns;
  const int count = sqlite3_column_count(statement);
  columns.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    columns.push_back(
        {sqlite3_column_name(statement, i),
         TypeOfDeclaration(sqlite3_column_decltype(statement, i))});
  }
  return columns;
}

std::optional<std::string> TextOf(sqlite3_stmt* statement, int column) {
  const int type = sqlite3_column_type(statement, column);
  if (type == SQLITE_NULL) {
    return std::nullopt;
  }
  if (type == SQLITE_FLOAT) {
    return fmt::format("{}", sqlite3_column_double(statement, column));
  }
  if (type == SQLITE_BLOB) {
    const auto* const bytes = static_cast<const unsigned char*>(
        sqlite3_column_blob(statement, column));
    std::string text = "\\x";
    for (int i = 0; i < sqlite3_column_bytes(statement, column); ++i) {
      text += fmt::format("{:02x}", bytes[i]);
    }
    return text;
  }
  const auto* const text =
      reinterpret_cast<const char*>(sqlite3_column_text(statement, column));
  return std::string(
      text, static_cast<size_t>(sqlite3_column_bytes(statement, column)));
}

// Column types that occurred in the rows.
struct seen_types {
  bool integer = false;
  bool real = false;
  bool other = false;

  void Add(int type) {
    integer = integer || type == SQLITE_INTEGER;
    real = real || type == SQLITE_FLOAT;
    other = other || type == SQLITE_TEXT || type == SQLITE_BLOB;
  }

  // Columns of SQLite may hold values of any type, so the values decide if
  // they don't agree with the declaration.
  uint32_t TypeFor(uint32_t declared) const {
    if (other) {
      return kTextOid;
    }
    if (real) {
      return kRealOid;
    }
    return integer ? kIntegerOid : declared;
  }
};

// The n of $n; 0 for other names and for n beyond the protocol's limit.
size_t ParameterNumber(const char* name) {
  constexpr size_t kMaxParameters = 65535;
  const size_t number = name != nullptr && name[0] == '$'
                            ? std::strtoul(name + 1, nullptr, 10)
                            : 0;
  return number <= kMaxParameters ? number : 0;
}

bool BindNumber(sqlite3_stmt* statement, int index, const sql_parameter& item) {
  constexpr uint32_t kIntegerOids[] = {20, 21, 23};
  constexpr uint32_t kRealOids[] = {700, 701, 1700};
  const char* const begin = item.value->data();
  const char* const end = begin + item.value->size();
  if (std::find(std::begin(kIntegerOids), std::end(kIntegerOids), item.type) !=
      std::end(kIntegerOids)) {
    int64_t number = 0;
    const auto [stop, error] = std::from_chars(begin, end, number);
    return error == std::errc() && stop == end && begin != end &&
           sqlite3_bind_int64(statement, index, number) == SQLITE_OK;
  }
  if (std::find(std::begin(kRealOids), std::end(kRealOids), item.type) !=
      std::end(kRealOids)) {
    double number = 0;
    const auto [stop, error] = std::from_chars(begin, end, number);
    return error == std::errc() && stop == end && begin != end &&
           sqlite3_bind_double(statement, index, number) == SQLITE_OK;
  }
  return false;
}

void Bind(sqlite3_stmt* statement, const std::vector<sql_parameter>& items) {
  const int count = sqlite3_bind_parameter_count(statement);
  for (int i = 1; i <= count; ++i) {
    const char* const name = sqlite3_bind_parameter_name(statement, i);
    const size_t number = ParameterNumber(name);
    if (number == 0 || number > items.size()) {
      throw sql_error{"42P02", fmt::format("there is no parameter {}",
                                           name == nullptr ? "?" : name)};
    }
    const sql_parameter& item = items[number - 1];
    if (!item.value) {
      sqlite3_bind_null(statement, i);
    } else if (!BindNumber(statement, i, item)) {
      sqlite3_bind_text64(statement, i, item.value->data(), item.value->size(),
                          SQLITE_TRANSIENT, SQLITE_UTF8);
    }
  }
}

// First word of the statement, or of the statement after a WITH clause.
std::string CommandWord(std::string_view text) {
  const auto words = LeadingWords(text, 1);
  std::string first = words.empty() ? "" : words[0];
  if (first != "WITH") {
    return first;
  }
  int depth = 0;
  for (size_t at = 0; at < text.size(); ++at) {
    depth += text[at] == '(' ? 1 : (text[at] == ')' ? -1 : 0);
    if (depth == 0) {
      const auto next = LeadingWords(text.substr(at), 1);
      if (!next.empty() && (next[0] == "INSERT" || next[0] == "REPLACE" ||
                            next[0] == "UPDATE" || next[0] == "DELETE")) {
        return next[0];
      }
    }
  }
  return "SELECT";
}

std::string TagOf(std::string_view text, int64_t rows, int64_t changes) {
  const std::string word = CommandWord(text);
  if (word == "INSERT" || word == "REPLACE") {
    return fmt::format("INSERT 0 {}", changes);
  }
  if (word == "UPDATE" || word == "DELETE") {
    return fmt::format("{} {}", word, changes);
  }
  if (word == "CREATE" || word == "DROP" || word == "ALTER") {
    return fmt::format("{}", fmt::join(LeadingWords(text, 2), " "));
  }
  return fmt::format("SELECT {}", rows);
}

}  // namespace

database::database() {
  sqlite3* handle = nullptr;
  sqlite3_open_v2(":memory:", &handle,
                  SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE |
                      SQLITE_OPEN_MEMORY | SQLITE_OPEN_NOMUTEX,
                  nullptr);
  handle_.reset(handle);
  sqlite3_extended_result_codes(handle, 0);
  sqlite3_exec(handle, "PRAGMA foreign_keys = ON", nullptr, nullptr, nullptr);
}

void database::ThrowError(bool preparing) const {
  const std::string message = sqlite3_errmsg(handle_.get());
  const int extended = sqlite3_extended_errcode(handle_.get());
  throw sql_error{StateOf(extended & 0xFF, extended, message, preparing),
                  message};
}

database::prepared database::Prepare(const std::string& text) const {
  sqlite3_set_authorizer(handle_.get(), Authorize, nullptr);
  sqlite3_stmt* statement = nullptr;
  const char* tail = nullptr;
  const int code =
      sqlite3_prepare_v2(handle_.get(), text.c_str(),
                         static_cast<int>(text.size()) + 1, &statement, &tail);
  sqlite3_set_authorizer(handle_.get(), nullptr, nullptr);
  prepared owned(statement);
  if (code != SQLITE_OK) {
    ThrowError(true);
  }
  if (!TrimStatement(tail).empty()) {
    throw sql_error{
        "42601", "cannot insert multiple commands into a prepared statement"};
  }
  return owned;
}

sql_description database::Describe(const std::string& text) const {
  const prepared statement = Prepare(text);
  sql_description description;
  description.empty = statement == nullptr;
  if (!description.empty) {
    description.read_only = sqlite3_stmt_readonly(statement.get()) != 0;
    const int count = sqlite3_bind_parameter_count(statement.get());
    for (int i = 1; i <= count; ++i) {
      const char* const name = sqlite3_bind_parameter_name(statement.get(), i);
      description.parameters =
          std::max(description.parameters, ParameterNumber(name));
    }
    description.columns = ColumnsOf(statement.get());
  }
  return description;
}

sql_result database::Run(const sql_statement& statement) {
  const prepared handle = Prepare(statement.text);
  sql_result result;
  if (handle == nullptr) {
    return result;
  }
  Bind(handle.get(), statement.parameters);
  result.columns = ColumnsOf(handle.get());
  result.has_rows = !result.columns.empty();
  std::vector<seen_types> types(result.columns.size());
  sqlite3_progress_handler(handle_.get(), kMaxSteps, StopLongStatement,
                           nullptr);
  int code = sqlite3_step(handle.get());
  for (; code == SQLITE_ROW; code = sqlite3_step(handle.get())) {
    std::vector<std::optional<std::string>> row;
    for (size_t i = 0; i < types.size(); ++i) {
      types[i].Add(sqlite3_column_type(handle.get(), static_cast<int>(i)));
      row.push_back(TextOf(handle.get(), static_cast<int>(i)));
    }
    result.rows.push_back(std::move(row));
  }
  sqlite3_progress_handler(handle_.get(), 0, nullptr, nullptr);
  if (code != SQLITE_DONE) {
    ThrowError(false);
  }
  for (size_t i = 0; i < types.size(); ++i) {
    result.columns[i].type = types[i].TypeFor(result.columns[i].type);
  }
  result.tag = TagOf(statement.text, static_cast<int64_t>(result.rows.size()),
                     sqlite3_changes64(handle_.get()));
  return result;
}

void database::Execute(const char* text) {
  if (sqlite3_exec(handle_.get(), text, nullptr, nullptr, nullptr) !=
      SQLITE_OK) {
    ThrowError(false);
  }
}

void database::Begin() {
  Execute("BEGIN IMMEDIATE");
}

void database::Commit() {
  Execute("COMMIT");
}

void database::Rollback() {
  if (in_transaction()) {
    Execute("ROLLBACK");
  }
}

bool database::in_transaction() const {
  return sqlite3_get_autocommit(handle_.get()) == 0;
}

void database::CopyFrom(const database& other) {
  sqlite3_backup* const backup =
      sqlite3_backup_init(handle_.get(), "main", other.handle_.get(), "main");
  if (backup == nullptr) {
    ThrowError(false);
  }
  sqlite3_backup_step(backup, -1);
  if (sqlite3_backup_finish(backup) != SQLITE_OK) {
    ThrowError(false);
  }
}

}  // namespace tarragondale::standin
