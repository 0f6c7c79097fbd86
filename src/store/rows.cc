// Rows of the configuration in the store.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tarragondale/store/configuration_store.h"

namespace tarragondale::store {
namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename Read>
auto Decode(std::string_view text, std::string_view what, Read read)
    -> result<decltype(read(json()))> {
  try {
    return read(json::parse(text));
  } catch (const json::exception& error) {
    return failure{result_code::kStoreRowInvalid,
                   fmt::format("{}: {}", what, error.what())};
  }
}

// Decodes a row into its table; its key must contain its name.
template <typename Row>
status PutRow(std::string_view name,
              const result<Row>& decoded,
              std::string Row::*name_member,
              std::map<std::string, Row, std::less<>>& rows) {
  if (!decoded) {
    return failure{result_code::kStoreRowInvalid, decoded.error().reason};
  }
  if ((*decoded).*name_member != name) {
    return failure{result_code::kStoreRowInvalid,
                   fmt::format("{}: the row has the name {:?}", name,
                               (*decoded).*name_member)};
  }
  rows.insert_or_assign(std::string(name), *decoded);
  return std::nullopt;
}

template <typename Rows>
void EraseRow(Rows& rows, std::string_view name) {
  const auto found = rows.find(name);
  if (found != rows.end()) {
    rows.erase(found);
  }
}

}  // namespace

std::string EncodeVersion(const version_row& row) {
  return Dump({{"version", row.version},
               {"writer", row.writer},
               {"time", row.time},
               {"edit", row.edit}});
}

std::string EncodeAudit(const audit_row& row) {
  return Dump({{"from", row.from},
               {"to", row.to},
               {"writer", row.writer},
               {"time", row.time},
               {"edit", row.edit},
               {"change", row.change},
               {"result", row.result}});
}

result<version_row> DecodeVersion(std::string_view text) {
  auto decoded = Decode(text, "version", [](const json& value) {
    return version_row{value.at("version").get<int64_t>(),
                       value.value("writer", ""), value.value("time", ""),
                       value.value("edit", "")};
  });
  if (decoded && decoded->version < 1) {
    return failure{result_code::kStoreRowInvalid,
                   fmt::format("version: {} is less than 1", decoded->version)};
  }
  return decoded;
}

result<audit_row> DecodeAudit(std::string_view text) {
  return Decode(text, "audit", [](const json& value) {
    return audit_row{value.at("from").get<int64_t>(),
                     value.at("to").get<int64_t>(),
                     value.value("writer", ""),
                     value.value("time", ""),
                     value.value("edit", ""),
                     value.value("change", std::vector<std::string>()),
                     value.value("result", "")};
  });
}

std::string AuditKey(int64_t version) {
  return fmt::format("{}{:012}", kAuditPrefix, version);
}

void row_set::Put(const key_value& row) {
  const std::string_view key = row.key;
  const auto name_after = [key](std::string_view prefix) {
    return key.substr(prefix.size());
  };
  status fault;
  // A row that no longer decodes must not stay with its old content.
  Delete(key);
  if (key == kVersionKey) {
    version_revision_ = row.mod_revision;
    auto decoded = DecodeVersion(row.value);
    if (decoded) {
      version_ = *decoded;
      value_.version = version_.version;
    } else {
      fault = decoded.error();
    }
  } else if (key.starts_with(kRoutesPrefix)) {
    const auto name = name_after(kRoutesPrefix);
    fault = PutRow(
        name, config::DecodeRoute(row.value, fmt::format("routes/{}", name)),
        &config::route_row::name, value_.routes);
  } else if (key.starts_with(kPoolsPrefix)) {
    const auto name = name_after(kPoolsPrefix);
    fault = PutRow(name,
                   config::DecodePool(row.value, fmt::format("pools/{}", name)),
                   &config::pool_row::name, value_.pools);
  } else if (key.starts_with(kKeysPrefix)) {
    const auto name = name_after(kKeysPrefix);
    fault =
        PutRow(name, config::DecodeKey(row.value, fmt::format("keys/{}", name)),
               &config::key_record::id, value_.keys);
  }
  if (fault) {
    invalid_.insert_or_assign(row.key, *fault);
  }
}

void row_set::Delete(std::string_view key) {
  EraseRow(invalid_, key);
  const auto name_after = [key](std::string_view prefix) {
    return key.substr(prefix.size());
  };
  if (key == kVersionKey) {
    version_ = {};
    version_revision_ = 0;
    value_.version = 0;
  } else if (key.starts_with(kRoutesPrefix)) {
    EraseRow(value_.routes, name_after(kRoutesPrefix));
  } else if (key.starts_with(kPoolsPrefix)) {
    EraseRow(value_.pools, name_after(kPoolsPrefix));
  } else if (key.starts_with(kKeysPrefix)) {
    EraseRow(value_.keys, name_after(kKeysPrefix));
  }
}

}  // namespace tarragondale::store
