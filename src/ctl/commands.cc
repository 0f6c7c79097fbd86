// The commands of tarragondalectl.
#include "src/ctl/commands.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

#include "src/ctl/files.h"
#include "src/ctl/session.h"

namespace tarragondale::ctl {
namespace {

using nlohmann::json;

// An edit of keys does not depend on the version that it is made on, so it is
// repeated after a conflict.
constexpr int kKeyAttempts = 5;

void WarnOf(session& run, const config::configuration& value) {
  for (const std::string& each : config::ConfigurationWarnings(value)) {
    run.Warn(each);
  }
}

exit_code Check(session& run) {
  std::vector<failure> errors;
  const config::tables tables = LoadTables(run.given().files, errors);
  if (errors.empty()) {
    errors = config::CheckConfiguration(Merge({}, tables));
  }
  if (!errors.empty()) {
    return run.Fail(errors);
  }
  WarnOf(run, Merge({}, tables));
  run.Print(fmt::format("{} routes and {} pools are valid",
                        tables.routes.size(), tables.pools.size()),
            {{"routes", tables.routes.size()}, {"pools", tables.pools.size()}});
  return exit_code::kDone;
}

// Reports an edit and waits for the VMs if asked to.
exit_code Report(session& run, const result<store::edit_outcome>& edited) {
  if (!edited) {
    return run.Fail(edited.error());
  }
  const std::string change =
      edited->change.empty()
          ? "nothing to change"
          : fmt::format("{}", fmt::join(edited->change, ", "));
  run.Print(fmt::format("version {}: {}", edited->version, change),
            {{"version", edited->version}, {"change", edited->change}});
  WarnOf(run, *edited->configuration);
  return run.given().wait ? run.WaitInForce(edited->version) : exit_code::kDone;
}

exit_code Apply(session& run) {
  std::vector<failure> errors;
  config::tables tables = LoadTables(run.given().files, errors);
  if (!errors.empty()) {
    return run.Fail(errors);
  }
  store::edit_change change;
  change.routes = std::move(tables.routes);
  change.pools = std::move(tables.pools);
  return Report(run, run.rows().Edit(change, run.given().operator_name));
}

exit_code Delete(session& run) {
  store::edit_change change;
  (run.given().what == command::kDeleteRoute
       ? change.delete_routes
       : change.delete_pools) = {run.given().name};
  return Report(run, run.rows().Edit(change, run.given().operator_name));
}

exit_code Diff(session& run) {
  std::vector<failure> errors;
  const config::tables tables = LoadTables(run.given().files, errors);
  if (!errors.empty()) {
    return run.Fail(errors);
  }
  const auto loaded = run.rows().Load();
  if (!loaded) {
    return run.Fail(loaded.error());
  }
  const config::configuration& base = loaded->rows.value();
  const auto lines = Differences(base, tables);
  errors = config::CheckConfiguration(Merge(base, tables));
  run.Print(fmt::format("{}", fmt::join(lines, "\n")), lines);
  if (!errors.empty()) {
    return run.Fail(errors);
  }
  return lines.empty() ? exit_code::kDone : exit_code::kDifferent;
}

template <typename Row, typename Encode>
exit_code PrintRows(session& run,
                    const std::map<std::string, Row, std::less<>>& rows,
                    Encode encode) {
  const std::string& name = run.given().name;
  if (!name.empty() && !rows.contains(name)) {
    return run.Fail(
        {result_code::kRowNotFound, fmt::format("no row {:?}", name)});
  }
  std::vector<std::string> texts;
  json list = json::array();
  for (const auto& [key, row] : rows) {
    if (name.empty() || key == name) {
      texts.push_back(encode(row));
      list.push_back(json::parse(texts.back()));
    }
  }
  run.Print(fmt::format("{}", fmt::join(texts, "\n")), list);
  return exit_code::kDone;
}

std::string EncodeKeyForList(const config::key_record& key) {
  return json({{"id", key.id},
               {"organisation", key.organisation},
               {"version", key.version}})
      .dump();
}

exit_code Get(session& run) {
  const auto loaded = run.rows().Load();
  if (!loaded) {
    return run.Fail(loaded.error());
  }
  for (const auto& [key, fault] : loaded->rows.invalid()) {
    run.Warn(fault.reason);
  }
  const config::configuration& value = loaded->rows.value();
  switch (run.given().what) {
    case command::kGetRoutes:
      return PrintRows(run, value.routes, config::EncodeRoute);
    case command::kGetPools:
      return PrintRows(run, value.pools, config::EncodePool);
    default:
      return PrintRows(run, value.keys, EncodeKeyForList);
  }
}

result<store::edit_outcome> EditKeys(session& run,
                                     const store::edit_change& change) {
  auto edited = run.rows().Edit(change, run.given().operator_name);
  for (int i = 1; i < kKeyAttempts && !edited &&
                  edited.error().code == result_code::kVersionConflict;
       ++i) {
    edited = run.rows().Edit(change, run.given().operator_name);
  }
  return edited;
}

exit_code GrantKey(session& run) {
  const auto granted = config::GrantKey(run.given().name);
  if (!granted) {
    return run.Fail(granted.error());
  }
  store::edit_change change;
  change.keys = {granted->record};
  const auto edited = EditKeys(run, change);
  // The id lets operators withdraw a key whose grant may have taken effect.
  const bool granted_for_sure = bool(edited);
  if (!granted_for_sure) {
    run.Warn("key id " + granted->record.id);
  } else {
    run.Print(granted->bearer,
              {{"id", granted->record.id}, {"bearer", granted->bearer}});
  }
  return Report(run, edited);
}

exit_code WithdrawKey(session& run) {
  store::edit_change change;
  change.delete_keys = {run.given().name};
  return Report(run, EditKeys(run, change));
}

exit_code Audit(session& run) {
  const auto rows = run.rows().Audit(run.given().last);
  if (!rows) {
    return run.Fail(rows.error());
  }
  std::vector<std::string> lines;
  json list = json::array();
  for (const store::audit_row& row : *rows) {
    lines.push_back(fmt::format("{} {} version {} to {} {}: {}", row.time,
                                row.writer, row.from, row.to, row.result,
                                fmt::join(row.change, ", ")));
    list.push_back(json::parse(store::EncodeAudit(row)));
  }
  run.Print(fmt::format("{}", fmt::join(lines, "\n")), list);
  return exit_code::kDone;
}

exit_code Explain(session& run) {
  const std::string& wanted = run.given().name;
  for (const result_code_info& row : ResultCodes()) {
    const int number = static_cast<int>(row.code);
    if (row.name == wanted || fmt::to_string(number) == wanted) {
      run.Print(fmt::format("{} {}\noutcome: {}\nHTTP status: {}\nRetry-After: "
                            "{}\n{}\n{}",
                            number, row.name, OutcomeName(row.result),
                            row.http_status, row.retry_later ? "yes" : "no",
                            row.meaning, row.action),
                {{"code", number},
                 {"name", row.name},
                 {"outcome", OutcomeName(row.result)},
                 {"http_status", row.http_status},
                 {"retry_later", row.retry_later},
                 {"meaning", row.meaning},
                 {"action", row.action}});
      return exit_code::kDone;
    }
  }
  return run.Fail({result_code::kRowNotFound,
                   fmt::format("{:?} is no result code", wanted)});
}

exit_code Status(session& run) {
  const auto vms = run.Vms();
  if (!vms) {
    return run.Fail(vms.error());
  }
  exit_code code = exit_code::kDone;
  for (const listed_vm& vm : *vms) {
    const auto body =
        run.CallVm(vm.http_address, "GET", "/v1/admin/status", "");
    const auto status = body ? DecodeStatus(*body) : body.error();
    if (status) {
      run.Print(StatusLine(*status), json::parse(*body));
    } else {
      run.Fail(status.error());
      code = exit_code::kUnavailable;
    }
  }
  return code;
}

// Address of a VM given by name or address.
result<std::string> FindVm(session& run, const std::string& name) {
  const auto vms = run.Vms();
  if (!vms) {
    return vms.error();
  }
  for (const listed_vm& vm : *vms) {
    if (vm.name == name || vm.http_address == name) {
      return vm.http_address;
    }
  }
  for (const listed_vm& vm : *vms) {
    const auto body =
        run.CallVm(vm.http_address, "GET", "/v1/admin/status", "");
    const auto status = body ? DecodeStatus(*body) : body.error();
    if (status && status->name == name) {
      return vm.http_address;
    }
  }
  return failure{result_code::kRowNotFound, fmt::format("no VM {:?}", name)};
}

exit_code Drain(session& run) {
  const auto address = FindVm(run, run.given().name);
  if (!address) {
    return run.Fail(address.error());
  }
  const auto answer = run.CallVm(*address, "POST", "/v1/admin/drain", "{}");
  if (!answer) {
    return run.Fail(answer.error());
  }
  run.Print(run.given().name + " drains", {{"vm", run.given().name}});
  return exit_code::kDone;
}

// Any VM may be asked; one that does not take the request names a reason that
// nothing ran, and the next one is asked. After a lost answer none is, since a
// second switchover could start.
exit_code Switchover(session& run) {
  const auto vms = run.Vms();
  if (!vms) {
    return run.Fail(vms.error());
  }
  json body = {{"group", run.given().name}};
  if (!run.given().to.empty()) {
    body["member"] = run.given().to;
  }
  failure last{result_code::kGatewayUnreachable, "no VM is listed"};
  for (const listed_vm& vm : *vms) {
    const auto answer = run.CallVm(vm.http_address, "POST",
                                   "/v1/admin/switchover", body.dump());
    if (answer) {
      run.Print("switchover of " + run.given().name + " was started", body);
      return exit_code::kDone;
    }
    last = answer.error();
    if (last.code != result_code::kGatewayUnreachable &&
        last.code != result_code::kNotOwner &&
        last.code != result_code::kDraining) {
      break;
    }
  }
  return run.Fail(last);
}

exit_code Help(session& run) {
  run.Print(std::string(HelpText()), HelpText());
  return exit_code::kDone;
}

using handler = exit_code (*)(session&);

// In the order of `command`.
constexpr std::array<handler, 16> kHandlers = {
    Help,     Check, Apply,       Get,   Get,     Diff,   Delete, Delete,
    GrantKey, Get,   WithdrawKey, Audit, Explain, Status, Drain,  Switchover};

}  // namespace

int RunCommand(const std::vector<std::string>& words,
               std::ostream& out,
               std::ostream& err) {
  const auto given = ParseArguments(words);
  if (!given) {
    err << given.error().reason << "\n";
    return static_cast<int>(exit_code::kUsage);
  }
  session run(*given, out, err);
  return static_cast<int>(kHandlers[static_cast<size_t>(given->what)](run));
}

}  // namespace tarragondale::ctl
