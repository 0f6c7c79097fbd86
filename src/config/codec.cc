// JSON of routes, pools and key records.
#include <algorithm>
#include <array>

#include "src/config/row_reader.h"
#include "tarragondale/config.h"

namespace tarragondale::config {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 2> kModeNames = {"majority", "primary"};
constexpr int kMaxDepth = 16;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void ReadKinds(object_reader& reader, route_row& row) {
  row.allows_reads = false;
  row.allows_writes = false;
  const json* const kinds = reader.Find("kinds", true);
  if (kinds == nullptr) {
    return;
  }
  constexpr std::string_view kAllowed =
      "must be a list of \"read\" and \"write\", each once";
  if (!kinds->is_array()) {
    return reader.Fail("kinds", kAllowed);
  }
  for (const json& kind : *kinds) {
    bool* const target = kind == "read"    ? &row.allows_reads
                         : kind == "write" ? &row.allows_writes
                                           : nullptr;
    if (target == nullptr || *target) {
      return reader.Fail("kinds", kAllowed);
    }
    *target = true;
  }
}

route_row ReadRoute(const json& value, row_fault& fault) {
  route_row row;
  object_reader reader(value, "", fault);
  reader.String("name", row.name);
  reader.String("pool", row.pool);
  ReadKinds(reader, row);
  reader.Bool("open", row.open);
  reader.Integer("version", false, row.version);
  if (const json* found = reader.Find("organisations", false)) {
    if (!found->is_object()) {
      reader.Fail("organisations", "must be an object");
    } else {
      for (const auto& [name, limit] : found->items()) {
        object_reader limits(limit, fmt::format("organisations.{}.", name),
                             fault);
        organisation_limit& target = row.organisations[name];
        limits.Number("rate", target.rate);
        limits.Number("burst", target.burst);
        limits.RefuseOthers();
      }
    }
  }
  reader.RefuseOthers();
  return row;
}

member_row ReadMember(const json& value, size_t index, row_fault& fault) {
  member_row row;
  object_reader reader(value, fmt::format("members[{}].", index), fault);
  reader.String("name", row.name);
  reader.String("address", row.address);
  reader.String("availability_zone", row.availability_zone);
  reader.String("region", row.region);
  reader.Bool("leaving", row.leaving);
  reader.RefuseOthers();
  return row;
}

pool_row ReadPool(const json& value, row_fault& fault) {
  pool_row row;
  object_reader reader(value, "", fault);
  reader.String("name", row.name);
  reader.String("group", row.group);
  reader.String("database", row.database);
  reader.Integer("slots", true, row.slots);
  reader.Integer("connections", true, row.connections);
  reader.Integer("version", false, row.version);
  if (const json* mode = reader.Find("acknowledge", false)) {
    const auto found =
        std::find_if(kModeNames.begin(), kModeNames.end(),
                     [&](std::string_view name) { return *mode == name; });
    if (found == kModeNames.end()) {
      reader.Fail("acknowledge", "must be \"majority\" or \"primary\"");
    } else {
      row.acknowledge =
          static_cast<acknowledge_mode>(found - kModeNames.begin());
    }
  }
  if (const json* members = reader.Find("members", true)) {
    if (!members->is_array()) {
      reader.Fail("members", "must be a list");
    } else {
      for (const json& member : *members) {
        row.members.push_back(ReadMember(member, row.members.size(), fault));
      }
    }
  }
  reader.RefuseOthers();
  return row;
}

key_record ReadKey(const json& value, row_fault& fault) {
  key_record row;
  object_reader reader(value, "", fault);
  reader.String("id", row.id);
  reader.String("organisation", row.organisation);
  reader.String("salt", row.salt);
  reader.String("digest", row.digest);
  reader.Integer("version", false, row.version);
  reader.RefuseOthers();
  return row;
}

template <typename Read>
auto DecodeRow(std::string_view text, std::string_view place, Read read)
    -> result<decltype(read(json(), std::declval<row_fault&>()))> {
  const result<json> value = ParseStrictJson(text, place);
  if (!value) {
    return value.error();
  }
  row_fault fault(place);
  auto row = read(*value, fault);
  if (fault.found()) {
    return *fault.found();
  }
  return row;
}

// Name of a row in a file, for errors.
std::string PlaceInFile(std::string_view file,
                        std::string_view table,
                        size_t index,
                        const json& row) {
  const bool named =
      row.is_object() && row.contains("name") && row["name"].is_string();
  return fmt::format(
      "{}: {}[{}]{}", file, table, index,
      named ? fmt::format(" {:?}", row["name"].get<std::string>()) : "");
}

template <typename Row, typename Read>
void ReadTable(object_reader& reader,
               const char* table,
               std::string_view file,
               Read read,
               std::vector<Row>& rows,
               std::vector<failure>& errors) {
  const json* const found = reader.Find(table, false);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    return reader.Fail(table, "must be a list");
  }
  for (size_t i = 0; i < found->size(); ++i) {
    row_fault fault(PlaceInFile(file, table, i, (*found)[i]));
    Row row = read((*found)[i], fault);
    if (fault.found()) {
      errors.push_back(*fault.found());
    } else {
      rows.push_back(std::move(row));
    }
  }
}

// Refuses fields that stand twice in one object, and deep nesting.
class duplicate_filter {
 public:
  bool Accept(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxDepth) {
      fault = "nested too deeply";
    } else if (event == json::parse_event_t::object_start) {
      seen_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      seen_.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!seen_.back().insert(name).second && fault.empty()) {
        fault = fmt::format("field {:?} stands twice", name);
      }
    }
    return true;
  }

  std::string fault;

 private:
  std::vector<std::set<std::string>> seen_;
};

}  // namespace

result<json> ParseStrictJson(std::string_view text, std::string_view place) {
  duplicate_filter filter;
  json value;
  try {
    value = json::parse(
        text, [&filter](int depth, json::parse_event_t event, json& parsed) {
          return filter.Accept(depth, event, parsed);
        });
  } catch (const json::exception& error) {
    return failure{result_code::kTableInvalid,
                   fmt::format("{}: not valid JSON: {}", place, error.what())};
  }
  if (!filter.fault.empty()) {
    return failure{result_code::kTableInvalid,
                   fmt::format("{}: {}", place, filter.fault)};
  }
  return value;
}

std::string_view AcknowledgeModeName(acknowledge_mode mode) {
  return kModeNames[static_cast<size_t>(mode)];
}

std::string EncodeRoute(const route_row& row) {
  json kinds = json::array();
  if (row.allows_reads) {
    kinds.push_back("read");
  }
  if (row.allows_writes) {
    kinds.push_back("write");
  }
  json organisations = json::object();
  for (const auto& [name, limit] : row.organisations) {
    organisations[name] = {{"rate", limit.rate}, {"burst", limit.burst}};
  }
  return Dump({{"name", row.name},
               {"pool", row.pool},
               {"kinds", kinds},
               {"open", row.open},
               {"organisations", organisations},
               {"version", row.version}});
}

std::string EncodePool(const pool_row& row) {
  json members = json::array();
  for (const member_row& member : row.members) {
    members.push_back({{"name", member.name},
                       {"address", member.address},
                       {"availability_zone", member.availability_zone},
                       {"region", member.region},
                       {"leaving", member.leaving}});
  }
  return Dump({{"name", row.name},
               {"group", row.group},
               {"database", row.database},
               {"slots", row.slots},
               {"connections", row.connections},
               {"acknowledge", AcknowledgeModeName(row.acknowledge)},
               {"members", members},
               {"version", row.version}});
}

std::string EncodeKey(const key_record& row) {
  return Dump({{"id", row.id},
               {"organisation", row.organisation},
               {"salt", row.salt},
               {"digest", row.digest},
               {"version", row.version}});
}

result<route_row> DecodeRoute(std::string_view json, std::string_view row) {
  return DecodeRow(json, row, ReadRoute);
}

result<pool_row> DecodePool(std::string_view json, std::string_view row) {
  return DecodeRow(json, row, ReadPool);
}

result<key_record> DecodeKey(std::string_view json, std::string_view row) {
  return DecodeRow(json, row, ReadKey);
}

tables DecodeTables(std::string_view json,
                    std::string_view file,
                    std::vector<failure>& errors) {
  tables value;
  const auto parsed = ParseStrictJson(json, file);
  if (!parsed) {
    errors.push_back(parsed.error());
    return value;
  }
  row_fault fault(file);
  object_reader reader(*parsed, "", fault);
  ReadTable(reader, "routes", file, ReadRoute, value.routes, errors);
  ReadTable(reader, "pools", file, ReadPool, value.pools, errors);
  reader.RefuseOthers();
  if (fault.found()) {
    errors.push_back(*fault.found());
  }
  return value;
}

std::string EncodeTables(const tables& value) {
  std::vector<std::string> routes;
  std::vector<std::string> pools;
  std::transform(value.routes.begin(), value.routes.end(),
                 std::back_inserter(routes), EncodeRoute);
  std::transform(value.pools.begin(), value.pools.end(),
                 std::back_inserter(pools), EncodePool);
  return fmt::format("{{\"routes\": [\n{}\n], \"pools\": [\n{}\n]}}\n",
                     fmt::join(routes, ",\n"), fmt::join(pools, ",\n"));
}

}  // namespace tarragondale::config
