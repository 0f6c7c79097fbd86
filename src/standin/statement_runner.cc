// Dispatches statements and keeps the state of the transaction block.
#include "src/standin/statement_runner.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace tarragondale::standin {
namespace {

// Words of BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY and longer.
constexpr size_t kMaxCommandWords = 10;

const std::string& TextArgument(const function_call& call, size_t index) {
  if (!call.arguments[index]) {
    throw sql_error{"22004", "an argument is null"};
  }
  return *call.arguments[index];
}

int64_t TermArgument(const function_call& call) {
  const std::string& text = TextArgument(call, 0);
  int64_t term = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, term);
  if (error != std::errc() || stop != end || text.empty() || term <= 0) {
    throw sql_error{"22P02", "the term is not a positive integer"};
  }
  return term;
}

// True if `words` holds `first` directly followed by `second`.
bool HasPair(const std::vector<std::string>& words,
             std::string_view first,
             std::string_view second) {
  for (size_t i = 0; i + 1 < words.size(); ++i) {
    if (words[i] == first && words[i + 1] == second) {
      return true;
    }
  }
  return false;
}

// BEGIN and its variants accept only these words.
bool KnownBeginWords(const std::vector<std::string>& words) {
  static const std::vector<std::string> known = {
      "BEGIN",      "START",        "WORK",        "TRANSACTION", "ISOLATION",
      "LEVEL",      "READ",         "ONLY",        "WRITE",       "COMMITTED",
      "REPEATABLE", "SERIALIZABLE", "UNCOMMITTED", "DEFERRABLE"};
  return std::all_of(words.begin(), words.end(), [](const std::string& word) {
    return std::find(known.begin(), known.end(), word) != known.end();
  });
}

// Words of a command, with commas between transaction modes taken out.
std::vector<std::string> CommandWords(std::string_view text) {
  std::vector<std::string> words;
  std::string plain(TrimStatement(text).substr(0, 200));
  const auto first = LeadingWords(plain, 1);
  if (!first.empty() && (first[0] == "BEGIN" || first[0] == "START")) {
    std::replace(plain.begin(), plain.end(), ',', ' ');
  }
  return LeadingWords(plain, kMaxCommandWords);
}

}  // namespace

statement_runner::~statement_runner() {
  End();
}

void statement_runner::End() {
  if (open_) {
    member_.EndTransaction(*open_);
    open_.reset();
  }
}

void statement_runner::Fail() {
  if (open_ && open_->explicit_block) {
    member_.AbortTransaction(*open_);
  } else {
    End();
  }
}

char statement_runner::State() const {
  if (!open_ || !open_->explicit_block) {
    return 'I';
  }
  return open_->failed ? 'E' : 'T';
}

bool statement_runner::TakeDiscarded() {
  return std::exchange(discarded_, false);
}

task<sql_result> statement_runner::Run(const sql_statement& statement) {
  try {
    co_return co_await RunChecked(statement);
  } catch (const sql_error&) {
    Fail();
    throw;
  }
}

task<sql_result> statement_runner::RunChecked(const sql_statement& statement) {
  if (member_.listener().faults().refuse) {
    throw sql_error{"57P03", "refused by fault injection"};
  }
  sql_result result;
  if (TrimStatement(statement.text).empty()) {
    co_return result;
  }
  const auto words = CommandWords(statement.text);
  if (open_ && open_->failed && !words.empty() && words[0] != "COMMIT" &&
      words[0] != "END" && words[0] != "ROLLBACK" && words[0] != "ABORT") {
    throw sql_error{"25P02",
                    "current transaction is aborted, commands ignored until "
                    "end of transaction block"};
  }
  if (co_await RunCommand(words, result)) {
    co_return result;
  }
  if (const auto call = ParseFunctionCall(statement)) {
    co_return CallFunction(*call);
  }
  if (!open_) {
    open_ = std::make_unique<transaction>();
    member_.BeginTransaction(*open_);
  }
  co_return co_await member_.Run(*open_, statement);
}

task<bool> statement_runner::RunCommand(const std::vector<std::string>& words,
                                        sql_result& result) {
  const std::string first = words.empty() ? "" : words[0];
  if (first == "BEGIN" || first == "START") {
    co_await Begin(words);
    result.tag = first == "BEGIN" ? "BEGIN" : "START TRANSACTION";
    co_return true;
  }
  if (first == "COMMIT" || first == "END") {
    co_await Commit(result);
    co_return true;
  }
  if (first == "ROLLBACK" || first == "ABORT") {
    if (HasPair(words, "ROLLBACK", "TO")) {
      throw sql_error{"0A000", "savepoints are not supported"};
    }
    End();
    result.tag = "ROLLBACK";
    co_return true;
  }
  if (first == "DISCARD") {
    if (words.size() != 2 || words[1] != "ALL") {
      throw sql_error{"0A000", "only DISCARD ALL is supported"};
    }
    if (open_ && open_->explicit_block) {
      throw sql_error{"25001",
                      "DISCARD ALL cannot run inside a transaction block"};
    }
    commit_term_ = 0;
    commit_position_ = 0;
    discarded_ = true;
    result.tag = "DISCARD ALL";
    co_return true;
  }
  co_return false;
}

task<void> statement_runner::Begin(const std::vector<std::string>& words) {
  if (!KnownBeginWords(words)) {
    throw sql_error{"42601", "syntax error in the transaction mode"};
  }
  if (!open_) {
    open_ = std::make_unique<transaction>();
    member_.BeginTransaction(*open_);
  }
  open_->explicit_block = true;
  open_->read_only = open_->read_only || HasPair(words, "READ", "ONLY");
  if (!HasPair(words, "REPEATABLE", "READ") &&
      !HasPair(words, "LEVEL", "SERIALIZABLE")) {
    co_return;
  }
  // A transaction that may write is serialised with the other writers. All
  // others read a copy of the committed data.
  if (member_.primary() && !open_->read_only) {
    co_await member_.AcquireWriter(*open_);
  } else {
    member_.TakeSnapshot(*open_);
  }
}

task<void> statement_runner::Commit(sql_result& result) {
  result.tag = "COMMIT";
  if (!open_) {
    co_return;
  }
  if (open_->failed && !open_->fenced) {
    End();
    result.tag = "ROLLBACK";
    co_return;
  }
  co_await CommitOpen();
}

task<void> statement_runner::CommitOpen() {
  // The transaction is over in any case, also if the commit fails.
  const std::unique_ptr<transaction> work = std::move(open_);
  try {
    const int64_t position = co_await member_.CommitTransaction(*work);
    if (position > 0) {
      commit_term_ = member_.term();
      commit_position_ = position;
    }
  } catch (...) {
    member_.EndTransaction(*work);
    throw;
  }
}

task<void> statement_runner::FinishImplicit() {
  if (open_ && !open_->explicit_block) {
    co_await CommitOpen();
  }
}

sql_description statement_runner::Describe(const std::string& text) {
  sql_description description;
  const auto words = CommandWords(text);
  static const std::vector<std::string> commands = {
      "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "DISCARD"};
  if (!words.empty() &&
      std::find(commands.begin(), commands.end(), words[0]) != commands.end()) {
    return description;
  }
  // Any parameters do: only the name and their number matter here.
  constexpr size_t kMaxArguments = 3;
  const sql_statement probe{text, std::vector<sql_parameter>(kMaxArguments)};
  if (const auto call = ParseFunctionCall(probe)) {
    if (call->name == "commit_position") {
      description.columns = CommitPosition().columns;
    } else {
      description.columns = call->name == "replication"
                                ? member_.Replication().columns
                                : member_.Status().columns;
    }
    description.parameters = static_cast<size_t>(std::count(
        call->arguments.begin(), call->arguments.end(), std::nullopt));
    return description;
  }
  return member_.Describe(open_.get(), text);
}

sql_result statement_runner::CommitPosition() const {
  sql_result result;
  result.has_rows = true;
  result.columns = {{"term", kIntegerOid}, {"position", kIntegerOid}};
  result.rows.push_back(
      {std::to_string(commit_term_), std::to_string(commit_position_)});
  result.tag = "SELECT 1";
  return result;
}

sql_result statement_runner::CallFunction(const function_call& call) {
  ++member_.counters()[call.name];
  const size_t count = call.arguments.size();
  if (call.name == "status" && count == 0) {
    return member_.Status();
  }
  if (call.name == "replication" && count == 0) {
    return member_.Replication();
  }
  if (call.name == "commit_position" && count == 0) {
    return CommitPosition();
  }
  if (call.name == "fence" && count == 2) {
    return member_.Fence(TermArgument(call), TextArgument(call, 1));
  }
  if (call.name == "promote" && count == 2) {
    return member_.Promote(TermArgument(call), TextArgument(call, 1));
  }
  if (call.name == "follow" && count == 3) {
    return member_.Follow(TermArgument(call), TextArgument(call, 1),
                          TextArgument(call, 2));
  }
  throw sql_error{"42883",
                  fmt::format("function tarragondale_{} with {} arguments does "
                              "not exist",
                              call.name, count)};
}

}  // namespace tarragondale::standin
