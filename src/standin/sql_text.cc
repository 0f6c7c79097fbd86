// Finds the borders and leading words of statements.
#include <cctype>

#include "src/standin/sql.h"

namespace tarragondale::standin {
namespace {

// Position after the comment, quoted text or single character at `at`.
size_t SkipToken(std::string_view text, size_t at) {
  const auto end_after = [&](std::string_view close, size_t from) {
    const size_t found = text.find(close, from);
    return found == std::string_view::npos ? text.size() : found + close.size();
  };
  if (text.substr(at).starts_with("--")) {
    return end_after("\n", at);
  }
  if (text.substr(at).starts_with("/*")) {
    return end_after("*/", at + 2);
  }
  const char first = text[at];
  if (first == '\'' || first == '"' || first == '`') {
    return end_after(std::string_view(&first, 1), at + 1);
  }
  return at + 1;
}

bool IsSpace(char c) {
  return std::isspace(static_cast<unsigned char>(c)) != 0;
}

bool IsWordCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

size_t SkipBlank(std::string_view text, size_t at) {
  while (at < text.size()) {
    const std::string_view rest = text.substr(at);
    if (rest.starts_with("--") || rest.starts_with("/*")) {
      at = SkipToken(text, at);
    } else if (IsSpace(text[at])) {
      ++at;
    } else {
      break;
    }
  }
  return at;
}

// Bodies of triggers hold semicolons; SQLite knows where they end.
bool MayHoldSemicolons(std::string_view statement) {
  for (const std::string& word : LeadingWords(statement, 3)) {
    if (word == "TRIGGER") {
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<std::string> SplitStatements(std::string_view text) {
  std::vector<std::string> statements;
  size_t begin = 0;
  size_t at = 0;
  while (at < text.size()) {
    const bool semicolon = text[at] == ';';
    at = SkipToken(text, at);
    const std::string_view candidate = text.substr(begin, at - begin);
    if (semicolon && (!MayHoldSemicolons(candidate) ||
                      sqlite3_complete(std::string(candidate).c_str()) != 0)) {
      statements.emplace_back(candidate);
      begin = at;
    }
  }
  statements.emplace_back(text.substr(begin));
  std::erase_if(statements, [](const std::string& statement) {
    return TrimStatement(statement).empty();
  });
  return statements;
}

std::string_view TrimStatement(std::string_view text) {
  text.remove_prefix(SkipBlank(text, 0));
  while (!text.empty() && (IsSpace(text.back()) || text.back() == ';')) {
    text.remove_suffix(1);
  }
  return text;
}

std::vector<std::string> LeadingWords(std::string_view text, size_t limit) {
  std::vector<std::string> words;
  size_t at = SkipBlank(text, 0);
  while (words.size() < limit && at < text.size() &&
         IsWordCharacter(text[at])) {
    std::string word;
    while (at < text.size() && IsWordCharacter(text[at])) {
      word += static_cast<char>(
          std::toupper(static_cast<unsigned char>(text[at++])));
    }
    words.push_back(std::move(word));
    at = SkipBlank(text, at);
  }
  return words;
}

}  // namespace tarragondale::standin
