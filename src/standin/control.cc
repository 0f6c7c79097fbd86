// Dispatches requests of the control port.
#include "src/standin/control.h"

#include <algorithm>
#include <limits>

namespace tarragondale::standin {
namespace {

using json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int64_t kMaxMilliseconds = 3'600'000;

struct control_error {
  int status = kBadRequest;
  std::string message;
};

[[noreturn]] void Fail(const std::string& message, int status = kBadRequest) {
  throw control_error{status, message};
}

int64_t Number(const json& body,
               const char* name,
               int64_t fallback,
               int64_t lowest,
               int64_t highest) {
  const auto found = body.find(name);
  if (found == body.end()) {
    return fallback;
  }
  if (!found->is_number_integer() || found->get<int64_t>() < lowest ||
      found->get<int64_t>() > highest) {
    Fail(fmt::format("{} is not an integer from {} to {}", name, lowest,
                     highest));
  }
  return found->get<int64_t>();
}

milliseconds Milliseconds(const json& body,
                          const char* name,
                          milliseconds fallback) {
  return milliseconds(
      Number(body, name, fallback.count(), 0, kMaxMilliseconds));
}

bool Flag(const json& body, const char* name, bool fallback) {
  const auto found = body.find(name);
  if (found != body.end() && !found->is_boolean()) {
    Fail(fmt::format("{} is not a boolean", name));
  }
  return found == body.end() ? fallback : found->get<bool>();
}

std::string Text(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found != body.end() && !found->is_string()) {
    Fail(fmt::format("{} is not a string", name));
  }
  return found == body.end() ? "" : found->get<std::string>();
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const size_t end = std::min(path.find('/'), path.size());
    if (end > 0) {
      parts.emplace_back(path.substr(0, end));
    }
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return parts;
}

json FaultsToJson(const fault_set& faults) {
  return {{"stopped", faults.stopped},        {"cut_in", faults.cut_in},
          {"cut_out", faults.cut_out},        {"refuse", faults.refuse},
          {"delay_ms", faults.delay.count()}, {"drops_left", faults.drops_left},
          {"drop_match", faults.drop_match}};
}

json PartToJson(const std::string& name,
                const char* kind,
                const endpoint& listener) {
  return {{"name", name},
          {"kind", kind},
          {"address", fmt::format("{}:{}", listener.host(), listener.port())},
          {"connections", listener.ConnectionIds()},
          {"accepted", listener.accepted()},
          {"faults", FaultsToJson(listener.faults())}};
}

json RowsToJson(const sql_result& result) {
  json columns = json::array();
  for (const sql_column& column : result.columns) {
    columns.push_back(column.name);
  }
  json rows = json::array();
  for (const auto& row : result.rows) {
    json cells = json::array();
    for (const auto& cell : row) {
      cells.push_back(cell ? json(*cell) : json());
    }
    rows.push_back(std::move(cells));
  }
  return {{"columns", columns}, {"rows", rows}};
}

json LogToJson(const std::vector<log_entry>& log) {
  json entries = json::array();
  for (const log_entry& entry : log) {
    json statements = json::array();
    for (const sql_statement& statement : entry.statements) {
      json parameters = json::array();
      for (const sql_parameter& parameter : statement.parameters) {
        parameters.push_back(parameter.value ? json(*parameter.value) : json());
      }
      statements.push_back(
          {{"sql", statement.text}, {"params", std::move(parameters)}});
    }
    entries.push_back({{"term", entry.term},
                       {"position", entry.position},
                       {"statements", std::move(statements)}});
  }
  return entries;
}

json LimitsToJson(const member_limits& limits) {
  return {{"slots", limits.slots},
          {"connections", limits.connections},
          {"open_ms", limits.open_time.count()},
          {"statement_ms", limits.statement_time.count()},
          {"lock_timeout_ms", limits.lock_timeout.count()},
          {"replication_delay_ms", limits.replication_delay.count()}};
}

}  // namespace

member* part_set::FindMember(std::string_view name) const {
  for (const auto& group : groups) {
    if (member* const found = group->Find(name)) {
      return found;
    }
  }
  return nullptr;
}

database_group* part_set::FindGroup(std::string_view name) const {
  for (const auto& group : groups) {
    if (group->name() == name) {
      return group.get();
    }
  }
  return nullptr;
}

endpoint* part_set::FindListener(std::string_view part) const {
  if (part == "store") {
    return store ? &store->listener() : nullptr;
  }
  if (part == "vm_list") {
    return vms ? &vms->listener() : nullptr;
  }
  member* const found = FindMember(part);
  return found == nullptr ? nullptr : &found->listener();
}

http_answer control::Handle(const http_request& request) {
  constexpr auto kReplace = json::error_handler_t::replace;
  int status = kBadRequest;
  std::string problem;
  try {
    const json body = request.body.empty()
                          ? json::object()
                          : json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Fail("body is not a JSON object");
    }
    const json answer = Dispatch(request.method, SplitPath(request.path), body);
    return {200, answer.dump(-1, ' ', false, kReplace)};
  } catch (const control_error& error) {
    status = error.status;
    problem = error.message;
  } catch (const sql_error& error) {
    problem = error.sqlstate + ": " + error.message;
  } catch (const std::exception& error) {
    problem = error.what();
  }
  return {status, json{{"error", problem}}.dump(-1, ' ', false, kReplace)};
}

json control::Dispatch(const std::string& method,
                       const std::vector<std::string>& path,
                       const json& body) {
  const bool get = method == "GET";
  const bool post = method == "POST";
  if (path.size() == 2 && path[0] == "v1") {
    if (get && path[1] == "parts") {
      return ListParts();
    }
    if (get && path[1] == "vms" && parts_.vms) {
      return {{"vms", parts_.vms->latest()},
              {"lag_ms", parts_.vms->lag().count()}};
    }
    if (post && path[1] == "vms" && parts_.vms) {
      return ChangeVms(body);
    }
  }
  if (path.size() == 4 && path[0] == "v1" && path[1] == "parts") {
    return post ? ChangePart(path[2], path[3], body)
                : ReadPart(path[2], path[3]);
  }
  if (post && path.size() == 4 && path[0] == "v1" && path[1] == "groups" &&
      path[3] == "link") {
    if (database_group* const group = parts_.FindGroup(path[2])) {
      return ChangeLink(*group, body);
    }
  }
  Fail("not found", kNotFound);
}

json control::ListParts() const {
  json list = json::array();
  if (parts_.store) {
    list.push_back(PartToJson("store", "key_value", parts_.store->listener()));
  }
  if (parts_.vms) {
    list.push_back(PartToJson("vm_list", "vm_list", parts_.vms->listener()));
  }
  for (const auto& group : parts_.groups) {
    for (const auto& item : group->members()) {
      json part = PartToJson(item->name(), "member", item->listener());
      part["group"] = group->name();
      part["sessions"] = item->connections();
      part["replication_cut"] = item->replication_cut();
      part["limits"] = LimitsToJson(item->limits());
      list.push_back(std::move(part));
    }
  }
  return {{"parts", std::move(list)}};
}

json control::ReadPart(const std::string& name, const std::string& what) {
  endpoint* const listener = parts_.FindListener(name);
  if (listener == nullptr) {
    Fail("there is no such part", kNotFound);
  }
  member* const item = parts_.FindMember(name);
  if (what == "counters") {
    json counters = {{"accepted", listener->accepted()}};
    if (item != nullptr) {
      counters.update(json(item->counters()));
    } else {
      counters.update(json(name == "store" ? parts_.store->http().calls()
                                           : parts_.vms->http().calls()));
    }
    return {{"counters", std::move(counters)}};
  }
  if (what == "connections") {
    return {{"connections", listener->ConnectionIds()}};
  }
  if (what == "log" && item != nullptr) {
    return {{"log", LogToJson(item->log())}};
  }
  if (what == "status" && item != nullptr) {
    return RowsToJson(item->Status());
  }
  Fail("not found", kNotFound);
}

json control::ChangePart(const std::string& name,
                         const std::string& action,
                         const json& body) {
  endpoint* const target = parts_.FindListener(name);
  if (target == nullptr) {
    Fail("there is no such part", kNotFound);
  }
  member* const item = parts_.FindMember(name);
  if (action == "stop") {
    target->Stop();
  } else if (action == "cut") {
    return Cut(name, *target, body);
  } else if (action == "slow") {
    target->Slow(Milliseconds(body, "delay_ms", milliseconds(0)));
  } else if (action == "drop_answers") {
    target->DropAnswers(
        static_cast<int>(
            Number(body, "count", -1, -1, std::numeric_limits<int>::max())),
        Text(body, "match"));
  } else if (action == "refuse") {
    target->Refuse();
  } else if (action == "heal") {
    target->Heal();
    if (item != nullptr) {
      item->set_replication_cut(false);
    }
  } else if (action == "settings" && item != nullptr) {
    return ChangeSettings(*item, body);
  } else if (action == "select" && item != nullptr) {
    return RowsToJson(item->Select(Text(body, "sql")));
  } else {
    Fail("not found", kNotFound);
  }
  return FaultsToJson(target->faults());
}

json control::Cut(const std::string& name, endpoint& target, const json& body) {
  const std::string direction = Text(body, "direction");
  if (!direction.empty() && direction != "both" && direction != "in" &&
      direction != "out") {
    Fail("direction is not both, in or out");
  }
  const bool in = direction != "out";
  const bool out = direction != "in";
  const auto connections = body.find("connections");
  if (connections == body.end() || *connections == "all") {
    target.Cut(in, out);
    if (member* const item = parts_.FindMember(name)) {
      item->set_replication_cut(Flag(body, "replication", true));
    }
    return FaultsToJson(target.faults());
  }
  std::vector<uint64_t> ids;
  if (connections->is_array()) {
    for (const json& id : *connections) {
      if (!id.is_number_unsigned()) {
        Fail("connections holds an item that is not a connection id");
      }
      ids.push_back(id.get<uint64_t>());
    }
  } else if (*connections != "existing") {
    Fail("connections is not all, existing or a list of ids");
  }
  const bool none = connections->is_array() && ids.empty();
  return {{"cut", none ? 0 : target.CutConnections(ids, in, out)}};
}

json control::ChangeSettings(member& target, const json& body) {
  constexpr int64_t kMaxCount = 100'000;
  member_limits limits = target.limits();
  limits.slots =
      static_cast<int>(Number(body, "slots", limits.slots, 1, kMaxCount));
  limits.connections = static_cast<int>(
      Number(body, "connections", limits.connections, 0, kMaxCount));
  limits.open_time = Milliseconds(body, "open_ms", limits.open_time);
  limits.statement_time =
      Milliseconds(body, "statement_ms", limits.statement_time);
  limits.lock_timeout =
      Milliseconds(body, "lock_timeout_ms", limits.lock_timeout);
  limits.replication_delay =
      Milliseconds(body, "replication_delay_ms", limits.replication_delay);
  target.limits() = limits;
  return LimitsToJson(limits);
}

json control::ChangeLink(database_group& group, const json& body) {
  const std::string a = Text(body, "a");
  const std::string b = Text(body, "b");
  if (group.Find(a) == nullptr || group.Find(b) == nullptr || a == b) {
    Fail("a and b are not two members of the group");
  }
  group.SetLink(a, b, !Flag(body, "cut", true));
  return {{"cut_links", group.cut_links()}};
}

json control::ChangeVms(const json& body) {
  parts_.vms->set_lag(Milliseconds(body, "lag_ms", parts_.vms->lag()));
  const auto vms = body.find("vms");
  if (vms != body.end()) {
    if (const auto problem = parts_.vms->Replace(*vms)) {
      Fail(*problem);
    }
  }
  return {{"vms", parts_.vms->latest()}, {"lag_ms", parts_.vms->lag().count()}};
}

}  // namespace tarragondale::standin
