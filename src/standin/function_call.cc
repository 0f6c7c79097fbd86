// Recognises calls by their text.
#include "src/standin/function_call.h"

#include <fmt/format.h>

#include <cctype>
#include <regex>

namespace tarragondale::standin {
namespace {

constexpr std::string_view kPrefix = "TARRAGONDALE_";
// Calls are short; longer texts are not matched, since the matcher recurses.
constexpr size_t kMaxCallLength = 1024;

std::string Unquote(const std::string& literal) {
  std::string text;
  for (size_t i = 1; i + 1 < literal.size(); ++i) {
    text += literal[i];
    i += literal[i] == '\'' ? 1 : 0;
  }
  return text;
}

std::optional<std::string> ParameterValue(const std::string& text,
                                          const sql_statement& statement) {
  // At most three digits follow the sign, see the pattern.
  const size_t number = std::stoul(text.substr(1));
  if (number == 0 || number > statement.parameters.size()) {
    throw sql_error{"42P02", fmt::format("there is no parameter {}", text)};
  }
  return statement.parameters[number - 1].value;
}

}  // namespace

std::optional<function_call> ParseFunctionCall(const sql_statement& statement) {
  const std::string_view trimmed = TrimStatement(statement.text);
  const auto words = LeadingWords(trimmed, 1);
  if (words.empty() || words[0] != "SELECT" ||
      trimmed.size() > kMaxCallLength) {
    return std::nullopt;
  }
  static const std::regex call_pattern(
      R"(select\s*\*\s*from\s+(tarragondale_\w+)\s*\(([^]*)\))",
      std::regex::icase);
  static const std::regex argument_pattern(
      R"(\s*('(?:[^']|'')*'|-?\d+|\$\d{1,3}|null)\s*(,|$))", std::regex::icase);
  std::smatch match;
  const std::string text(trimmed);
  if (!std::regex_match(text, match, call_pattern)) {
    return std::nullopt;
  }
  function_call call;
  call.name = LeadingWords(match[1].str(), 1)[0].substr(kPrefix.size());
  for (char& c : call.name) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  std::string rest = match[2];
  bool more = !TrimStatement(rest).empty();
  while (more) {
    std::smatch argument;
    if (!std::regex_search(rest, argument, argument_pattern,
                           std::regex_constants::match_continuous)) {
      throw sql_error{"42601", "syntax error in the arguments of a function"};
    }
    const std::string value = argument[1];
    if (value[0] == '\'') {
      call.arguments.emplace_back(Unquote(value));
    } else if (value[0] == '$') {
      call.arguments.push_back(ParameterValue(value, statement));
    } else if (std::isalpha(static_cast<unsigned char>(value[0])) != 0) {
      call.arguments.emplace_back(std::nullopt);
    } else {
      call.arguments.emplace_back(value);
    }
    more = argument[2] == ",";
    rest = argument.suffix();
  }
  return call;
}

}  // namespace tarragondale::standin
