// Files of tables.
#include "src/ctl/files.h"

#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

namespace tarragondale::ctl {
namespace {

template <typename Row>
void Join(const char* table,
          const std::string& path,
          std::vector<Row>& added,
          std::vector<Row>& all,
          std::set<std::string>& names,
          std::vector<failure>& errors) {
  for (Row& row : added) {
    if (!names.insert(fmt::format("{}/{}", table, row.name)).second) {
      errors.push_back(
          {result_code::kTableInvalid,
           fmt::format("{}: {}/{} stands twice", path, table, row.name)});
    }
    all.push_back(std::move(row));
  }
}

template <typename Row, typename Encode>
void Compare(const char* table,
             const std::map<std::string, Row, std::less<>>& base,
             const std::vector<Row>& rows,
             Encode encode,
             std::vector<std::string>& lines) {
  for (Row row : rows) {
    const auto found = base.find(row.name);
    if (found != base.end()) {
      row.version = found->second.version;
      if (row == found->second) {
        continue;
      }
      lines.push_back(
          fmt::format("- {}/{} {}", table, row.name, encode(found->second)));
    }
    lines.push_back(fmt::format("+ {}/{} {}", table, row.name, encode(row)));
  }
}

}  // namespace

result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return failure{result_code::kInvalidField,
                   fmt::format("{}: the file can't be read or is empty", path)};
  }
  return text.str();
}

config::tables LoadTables(const std::vector<std::string>& paths,
                          std::vector<failure>& errors) {
  config::tables all;
  std::set<std::string> names;
  for (const std::string& path : paths) {
    const auto text = ReadFile(path);
    if (!text) {
      errors.push_back(text.error());
      continue;
    }
    config::tables part = config::DecodeTables(*text, path, errors);
    Join("routes", path, part.routes, all.routes, names, errors);
    Join("pools", path, part.pools, all.pools, names, errors);
  }
  return all;
}

config::configuration Merge(config::configuration base,
                            const config::tables& changes) {
  for (const auto& row : changes.routes) {
    base.routes.insert_or_assign(row.name, row);
  }
  for (const auto& row : changes.pools) {
    base.pools.insert_or_assign(row.name, row);
  }
  return base;
}

std::vector<std::string> Differences(const config::configuration& base,
                                     const config::tables& changes) {
  std::vector<std::string> lines;
  Compare("routes", base.routes, changes.routes, config::EncodeRoute, lines);
  Compare("pools", base.pools, changes.pools, config::EncodePool, lines);
  return lines;
}

}  // namespace tarragondale::ctl
