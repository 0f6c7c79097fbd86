// Cost of the configuration: rows, full load, one edit.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "tarragondale/store.h"

namespace tarragondale::capacity {
namespace {

constexpr int kEdits = 20;

std::vector<store::key_value> EncodeRows(const config::configuration& value) {
  std::vector<store::key_value> rows;
  for (const auto& [name, row] : value.routes) {
    rows.push_back({store::kRoutesPrefix + name, config::EncodeRoute(row)});
  }
  for (const auto& [name, row] : value.pools) {
    rows.push_back({store::kPoolsPrefix + name, config::EncodePool(row)});
  }
  for (const auto& [name, row] : value.keys) {
    rows.push_back({store::kKeysPrefix + name, config::EncodeKey(row)});
  }
  return rows;
}

store::key_value VersionRow(int64_t version) {
  return {store::kVersionKey,
          store::EncodeVersion({version, "operator", "2026-01-01T00:00:00Z",
                                "0123456789abcdef0123456789abcdef"})};
}

// Bytes and time for each row of one table.
void MeasureTable(const std::string& table,
                  const std::string& prefix,
                  const std::vector<store::key_value>& rows,
                  figure_list& figures) {
  store::row_set set;
  size_t bytes = 0;
  int count = 0;
  const int64_t before = LiveBytes();
  const cpu_timer timer;
  for (const store::key_value& row : rows) {
    if (row.key.starts_with(prefix)) {
      set.Put(row);
      bytes += row.key.size() + row.value.size();
      ++count;
    }
  }
  const double time = timer.Microseconds();
  const std::string conditions = fmt::format("{} rows", count);
  const auto each = [count](double sum) { return sum / count; };
  figures.Add("configuration." + table + "_rows", count, "rows", "assumed");
  figures.Add("configuration." + table + "_encoded",
              each(static_cast<double>(bytes)), "bytes", conditions);
  figures.Add("configuration." + table + "_state",
              each(static_cast<double>(LiveBytes() - before)), "bytes",
              conditions);
  figures.Add("configuration." + table + "_decode", each(time), "us",
              conditions);
}

// Answer of the service to a whole load, in its JSON.
std::string LoadAnswer(const std::vector<store::key_value>& rows) {
  nlohmann::json kvs = nlohmann::json::array();
  for (const store::key_value& row : rows) {
    kvs.push_back({{"key", Base64Encode(row.key)},
                   {"value", Base64Encode(row.value)},
                   {"create_revision", "1000000"},
                   {"mod_revision", "1000000"},
                   {"version", "1"}});
  }
  const nlohmann::json answer = {{"header", {{"revision", "1000000"}}},
                                 {"succeeded", true},
                                 {"responses",
                                  {{{"response_range",
                                     {{"header", {{"revision", "1000000"}}},
                                      {"count", std::to_string(rows.size())},
                                      {"kvs", std::move(kvs)}}}}}}};
  return answer.dump();
}

void MeasureLoadAnswer(const std::vector<store::key_value>& rows,
                       figure_list& figures) {
  const std::string text = LoadAnswer(rows);
  const int64_t before = LiveBytes();
  const cpu_timer timer;
  const auto answer = store::DecodeTxnAnswer(text);
  const double time = timer.Microseconds();
  const std::string conditions = fmt::format(
      "{} of {} rows decoded",
      answer && !answer->answers.empty() ? answer->answers[0].rows.size() : 0,
      rows.size());
  figures.Add("store.load_bytes", static_cast<double>(text.size()), "bytes",
              conditions);
  figures.Add("store.load_decode", time, "us", conditions);
  figures.Add("store.load_state", static_cast<double>(LiveBytes() - before),
              "bytes", conditions + "; transient, without the text");
}

// One edit of one route: the row and the version row arrive by the watch.
void MeasureEdit(store::version_rules& rules,
                 const config::configuration& value,
                 const std::string& conditions,
                 figure_list& figures) {
  double time = 0;
  for (int i = 0; i < kEdits; ++i) {
    config::route_row row = value.routes.at(RouteName(i));
    row.version = value.version + 1 + i;
    store::watch_message message;
    message.events = {
        {false, {store::kRoutesPrefix + row.name, config::EncodeRoute(row)}},
        {false, VersionRow(row.version)}};
    const cpu_timer timer;
    const auto decided = rules.Apply(message);
    time += timer.Microseconds();
    if (!decided.publish) {
      fmt::print(stderr, "capacity: an edit was refused\n");
    }
  }
  figures.Add("configuration.apply_edit", time / kEdits, "us", conditions);
}

}  // namespace

void MeasureConfiguration(figure_list& figures) {
  const config::configuration value = MakeConfiguration({});
  const std::vector<store::key_value> rows = EncodeRows(value);
  MeasureTable("route", store::kRoutesPrefix, rows, figures);
  MeasureTable("pool", store::kPoolsPrefix, rows, figures);
  MeasureTable("key", store::kKeysPrefix, rows, figures);
  const std::string conditions =
      fmt::format("{} routes, {} pools, {} keys", value.routes.size(),
                  value.pools.size(), value.keys.size());

  size_t bytes = 0;
  for (const store::key_value& row : rows) {
    bytes += row.key.size() + row.value.size();
  }
  figures.Add("configuration.whole_encoded", static_cast<double>(bytes),
              "bytes", conditions);
  const int64_t before_copy = LiveBytes();
  const cpu_timer copy_timer;
  const auto copy = std::make_shared<const config::configuration>(value);
  figures.Add("configuration.copy", copy_timer.Microseconds(), "us",
              conditions);
  figures.Add("configuration.copy_state",
              static_cast<double>(LiveBytes() - before_copy), "bytes",
              conditions);
  const cpu_timer check_timer;
  const size_t faults = config::CheckConfiguration(*copy).size();
  figures.Add("configuration.check", check_timer.Microseconds(), "us",
              fmt::format("{}, {} faults", conditions, faults));

  const int64_t before_load = LiveBytes();
  const cpu_timer load_timer;
  store::version_rules rules;
  {
    store::snapshot loaded;
    for (const store::key_value& row : rows) {
      loaded.rows.Put(row);
    }
    loaded.rows.Put(VersionRow(value.version));
    rules.Load(loaded);
  }
  figures.Add("configuration.load", load_timer.Microseconds(), "us",
              conditions + "; without the store's JSON envelope");
  figures.Add("configuration.follower_state",
              static_cast<double>(LiveBytes() - before_load), "bytes",
              conditions + "; rows and version in force");
  MeasureEdit(rules, value, conditions, figures);
  MeasureLoadAnswer(rows, figures);
}

}  // namespace tarragondale::capacity
