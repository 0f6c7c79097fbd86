// Reads settings by inih and checks them against the table.
#include "tarragondale/config/settings.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "tarragondale/config.h"

namespace tarragondale::config {
namespace {

constexpr std::string_view kBlanks = " \t\r";
constexpr size_t kDigestBytes = 32;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  std::istringstream in{std::string(text)};
  for (std::string line; std::getline(in, line);) {
    // inih takes an indented line for the continuation of a value; the file
    // format has no continuations.
    lines.emplace_back(Trim(line));
  }
  return lines;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (true) {
    const size_t comma = text.find(',');
    items.emplace_back(Trim(text.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return items;
    }
    text.remove_prefix(comma + 1);
  }
}

bool IsZoneAndRegion(std::string_view text) {
  const size_t colon = text.find(':');
  return colon != std::string_view::npos && IsName(text.substr(0, colon)) &&
         IsName(text.substr(colon + 1));
}

bool Store(const setting_info& row, std::string_view text, settings& value) {
  switch (row.type) {
    case setting_type::kName:
    case setting_type::kAddress:
    case setting_type::kUrl:
      value.*std::get<std::string settings::*>(row.member) = text;
      return row.type == setting_type::kName      ? IsName(text)
             : row.type == setting_type::kAddress ? IsAddress(text)
                                                  : bool(ParseHttpUrl(text));
    case setting_type::kAddressList: {
      auto& list =
          value.*std::get<std::vector<std::string> settings::*>(row.member);
      list = SplitList(text);
      return std::all_of(list.begin(), list.end(), IsAddress);
    }
    case setting_type::kHex32: {
      const auto bytes = HexDecode(text);
      value.*std::get<std::string settings::*>(row.member) =
          bytes.value_or(std::string());
      return bytes && bytes->size() == kDigestBytes;
    }
    case setting_type::kLogLevel: {
      const auto level = LogLevelFromName(text);
      value.*std::get<log_level settings::*>(row.member) =
          level.value_or(log_level::kInfo);
      return level.has_value();
    }
    case setting_type::kEdge: {
      const auto edge = text == EdgeName(edge_kind::kLine) ? edge_kind::kLine
                                                           : edge_kind::kHttp;
      value.*std::get<edge_kind settings::*>(row.member) = edge;
      return text == EdgeName(edge);
    }
    case setting_type::kCapacitySource: {
      const bool learned = text == "learned";
      value.*std::get<capacity_source settings::*>(row.member) =
          learned ? capacity_source::kLearned : capacity_source::kReported;
      return learned || text == "reported";
    }
    case setting_type::kZoneList: {
      auto& list =
          value.*std::get<std::vector<std::string> settings::*>(row.member);
      list = SplitList(text);
      return std::all_of(list.begin(), list.end(), IsZoneAndRegion);
    }
    case setting_type::kInteger:
      break;
  }
  int64_t& number = value.*std::get<int64_t settings::*>(row.member);
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end &&
         number >= row.minimum && number <= row.maximum;
}

// Feeds inih line by line and checks each key that it finds. inih calls the
// handler right after it has read a line, so the line count is the key's line.
class parser {
 public:
  parser(std::string_view text, std::string_view file)
      : lines_(SplitLines(text)), file_(file) {}

  settings_outcome Run() {
    DropUnreadableLines();
    next_ = 0;
    ini_parse_stream(&parser::ReadLine, this, &parser::TakeKey, this);
    for (const setting_info& row : SettingsTable()) {
      const bool used = !row.edge || *row.edge == outcome_.value.edge;
      if (used && DefaultText(row).empty() && !seen_.contains(&row)) {
        Fail(0, fmt::format("{}.{} is missing; allowed: {}", row.section,
                            row.name, AllowedText(row)));
      }
    }
    std::stable_sort(
        errors_.begin(), errors_.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [line, reason] : errors_) {
      outcome_.errors.push_back(
          {result_code::kSettingInvalid, std::move(reason)});
    }
    return std::move(outcome_);
  }

 private:
  // inih reports only the first line that it can't read, so such lines are
  // blanked one after the other. Lines that exceed its buffer, and unknown
  // sections, are found before.
  void DropUnreadableLines() {
    CheckSectionsAndLengths();
    while (true) {
      next_ = 0;
      const int line = ini_parse_stream(
          &parser::ReadLine, this,
          [](void*, const char*, const char*, const char*) { return 1; }, this);
      if (line <= 0 || static_cast<size_t>(line) > lines_.size() ||
          lines_[static_cast<size_t>(line) - 1].empty()) {
        return;
      }
      Fail(static_cast<size_t>(line),
           "not a [section] or key = value; see docs/settings.md");
      lines_[static_cast<size_t>(line) - 1].clear();
    }
  }

  void CheckSectionsAndLengths() {
    for (size_t i = 0; i < lines_.size(); ++i) {
      std::string& line = lines_[i];
      if (line.find('\0') != std::string::npos || line.size() > kLineBytes) {
        Fail(i + 1, fmt::format("line is longer than {} bytes or contains a "
                                "zero byte",
                                kLineBytes));
        line.clear();
      }
      const size_t end = line.find(']');
      if (line.starts_with('[') && end != std::string::npos) {
        const std::string name = line.substr(1, end - 1);
        const auto table = SettingsTable();
        if (std::none_of(table.begin(), table.end(), [&](const auto& row) {
              return row.section == name;
            })) {
          Fail(i + 1, fmt::format("[{}] is no known section", name));
        }
        const std::string_view rest =
            Trim(std::string_view(line).substr(end + 1));
        if (!rest.empty() && rest.front() != ';' && rest.front() != '#') {
          // inih ignores text after the bracket, which would hide a key.
          Fail(i + 1, fmt::format("text after [{}]", name));
        }
      }
    }
  }

  static char* ReadLine(char* buffer, int size, void* stream) {
    auto& self = *static_cast<parser*>(stream);
    if (self.next_ >= self.lines_.size()) {
      return nullptr;
    }
    const std::string& line = self.lines_[self.next_++];
    const size_t count = line.copy(buffer, static_cast<size_t>(size) - 2);
    buffer[count] = '\n';
    buffer[count + 1] = '\0';
    return buffer;
  }

  static int TakeKey(void* user,
                     const char* section,
                     const char* name,
                     const char* value) {
    static_cast<parser*>(user)->Take(section, name, value);
    return 1;
  }

  void Take(std::string_view section,
            std::string_view name,
            std::string_view value) {
    const auto table = SettingsTable();
    const auto row =
        std::find_if(table.begin(), table.end(), [&](const auto& each) {
          return each.section == section && each.name == name;
        });
    if (row == table.end()) {
      Fail(next_, fmt::format("{}.{} is no known key", section, name));
    } else if (!seen_.insert(&*row).second) {
      Fail(next_, fmt::format("{}.{} stands twice", section, name));
    } else if (!Store(*row, value, outcome_.value)) {
      const std::string shown = row->type == setting_type::kHex32
                                    ? "the value"
                                    : fmt::format("{:?}", value);
      Fail(next_, fmt::format("{}.{}: {} is not allowed; allowed: {}", section,
                              name, shown, AllowedText(*row)));
    }
  }

  void Fail(size_t line, std::string_view reason) {
    const std::string place =
        line == 0 ? file_ : fmt::format("{}:{}", file_, line);
    errors_.emplace_back(line, fmt::format("{}: {}", place, reason));
  }

  // inih's buffer holds 200 bytes with the line end and the final zero.
  static constexpr size_t kLineBytes = 197;

  std::vector<std::string> lines_;
  std::string file_;
  size_t next_ = 0;
  std::set<const setting_info*> seen_;
  std::vector<std::pair<size_t, std::string>> errors_;
  settings_outcome outcome_;
};

}  // namespace

settings_outcome ParseSettings(std::string_view text, std::string_view file) {
  return parser(text, file).Run();
}

settings_outcome LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    settings_outcome outcome;
    outcome.errors.push_back(
        {result_code::kSettingInvalid,
         fmt::format("{}: the file can't be read or is empty", path)});
    return outcome;
  }
  return ParseSettings(text.view(), path);
}

}  // namespace tarragondale::config
