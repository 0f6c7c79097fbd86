// Applies the state of a session to a pooled connection.
#include "src/interactive/link.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace tarragondale::interactive {
namespace {

using step = member_statement::step;

bool HasExtraValue(const link& link, const session& owner) {
  return std::any_of(
      link.values.begin(), link.values.end(),
      [&](const auto& value) { return !owner.values.contains(value.first); });
}

}  // namespace

size_t link::value_bytes() const {
  size_t bytes = 0;
  for (const auto& [name, value] : values) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

std::string PreparedName(const prepared_statement& statement) {
  return fmt::format(
      "{}{:016x}", statement.writes ? 'w' : 'r',
      XXH3_64bits(statement.shape.data(), statement.shape.size()));
}

std::vector<member_statement> Synchronise(link& link,
                                          const session& owner,
                                          const prepared_statement* needed,
                                          size_t max_prepared) {
  std::vector<member_statement> statements;
  if (HasExtraValue(link, owner) || link.prepared.size() >= max_prepared) {
    statements.push_back({.what = step::kReset});
    link.values.clear();
    link.prepared.clear();
  }
  for (const auto& [name, value] : owner.values) {
    const auto known = link.values.find(name);
    if (known == link.values.end() || known->second != value) {
      statements.push_back(
          {.what = step::kSet, .name = name, .argument = value});
      link.values[name] = value;
    }
  }
  if (needed != nullptr) {
    std::string name = PreparedName(*needed);
    if (link.prepared.insert(name).second) {
      statements.push_back({.what = step::kPrepare,
                            .name = std::move(name),
                            .argument = needed->shape,
                            .writes = needed->writes});
    }
  }
  return statements;
}

}  // namespace tarragondale::interactive
