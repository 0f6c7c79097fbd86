// Command line of tarragondalectl by docopt.
#include "src/ctl/arguments.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

#include "tarragondale/config.h"

namespace tarragondale::ctl {
namespace {

constexpr char kHelp[] =
    R"(Operators' tool for Tarragondale.

Usage:
  tarragondalectl check FILE... [options]
  tarragondalectl apply FILE... [--wait] [options]
  tarragondalectl diff FILE... [options]
  tarragondalectl routes get [NAME] [options]
  tarragondalectl pools get [NAME] [options]
  tarragondalectl delete route NAME [--wait] [options]
  tarragondalectl delete pool NAME [--wait] [options]
  tarragondalectl keys grant ORGANISATION [--wait] [options]
  tarragondalectl keys list [options]
  tarragondalectl keys withdraw ID [--wait] [options]
  tarragondalectl audit [--last N] [options]
  tarragondalectl explain CODE [options]
  tarragondalectl status [options]
  tarragondalectl drain VM [options]
  tarragondalectl switchover GROUP [--to MEMBER] [options]
  tarragondalectl --help

Options:
  --store ENDPOINTS         Key-value service, IP:port, separated by commas.
  --vms ADDRESSES           HTTP addresses of VMs, IP:port, separated by commas.
  --vm-list URL             List of VMs, http://IP:port/path.
  --operator NAME           Name for the audit trail.
  --operator-key-file FILE  File that holds the operator key.
  --wait                    Wait until every live VM has the new version.
  --last N                  Rows of the audit trail [default: 20].
  --to MEMBER               Member that becomes primary.
  --call-limit MS           Time limit of one call in ms [default: 2000].
  --wait-limit MS           Time limit of --wait in ms [default: 30000].
  --json                    Print JSON.
  -h, --help                Print this text.

Exit codes:
  0  done; diff: no difference
  1  diff: there are differences
  2  wrong usage
  3  refused; nothing was changed
  4  another operator changed the configuration first; nothing was changed
  5  the key-value service or a VM can't be reached; nothing was changed
  6  unknown whether the change took effect; read back before any new change
  7  done, but not confirmed by every live VM before the time limit
)";

using values = std::map<std::string, docopt::value>;

struct command_words {
  const char* first;
  const char* second;  // Null: there is one word.
  command what;
  const char* name;  // Argument that becomes `name`; null: none.
};

constexpr std::array kCommands = std::to_array<command_words>({
    {"check", nullptr, command::kCheck, nullptr},
    {"apply", nullptr, command::kApply, nullptr},
    {"diff", nullptr, command::kDiff, nullptr},
    {"delete", "route", command::kDeleteRoute, "NAME"},
    {"delete", "pool", command::kDeletePool, "NAME"},
    {"routes", "get", command::kGetRoutes, "NAME"},
    {"pools", "get", command::kGetPools, "NAME"},
    {"keys", "grant", command::kGrantKey, "ORGANISATION"},
    {"keys", "list", command::kListKeys, nullptr},
    {"keys", "withdraw", command::kWithdrawKey, "ID"},
    {"audit", nullptr, command::kAudit, nullptr},
    {"explain", nullptr, command::kExplain, "CODE"},
    {"status", nullptr, command::kStatus, nullptr},
    {"drain", nullptr, command::kDrain, "VM"},
    {"switchover", nullptr, command::kSwitchover, "GROUP"},
});

failure Usage(std::string reason) {
  return {result_code::kInvalidField, std::move(reason)};
}

bool Flag(const values& all, const char* name) {
  const auto found = all.find(name);
  return found != all.end() && found->second.isBool() && found->second.asBool();
}

std::string Text(const values& all, const char* name) {
  const auto found = all.find(name);
  return found != all.end() && found->second.isString()
             ? found->second.asString()
             : "";
}

std::vector<std::string> List(const values& all, const char* name) {
  std::vector<std::string> items;
  const std::string text = Text(all, name);
  size_t start = 0;
  while (start < text.size()) {
    const size_t end = std::min(text.find(',', start), text.size());
    items.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return items;
}

std::optional<int64_t> Positive(const values& all, const char* name) {
  constexpr int64_t kMax = 86400000;
  const std::string text = Text(all, name);
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      value < 1 || value > kMax) {
    return std::nullopt;
  }
  return value;
}

bool NeedsStore(command what) {
  return what != command::kHelp && what != command::kCheck &&
         what != command::kExplain && what != command::kStatus &&
         what != command::kDrain && what != command::kSwitchover;
}

bool Edits(command what) {
  return what == command::kApply || what == command::kDeleteRoute ||
         what == command::kDeletePool || what == command::kGrantKey ||
         what == command::kWithdrawKey;
}

// What the command needs beyond its grammar.
status CheckNeeds(const arguments& parsed) {
  const bool asks_vms = parsed.wait || parsed.what == command::kStatus ||
                        parsed.what == command::kDrain ||
                        parsed.what == command::kSwitchover;
  if (NeedsStore(parsed.what) && parsed.store.empty()) {
    return Usage("--store is needed");
  }
  if (Edits(parsed.what) && parsed.operator_name.empty()) {
    return Usage("--operator is needed: every change is recorded with a name");
  }
  if (asks_vms && parsed.vms.empty() == parsed.vm_list.empty()) {
    return Usage("one of --vms and --vm-list is needed");
  }
  if (asks_vms && parsed.operator_key_file.empty()) {
    return Usage("--operator-key-file is needed");
  }
  for (const auto* list : {&parsed.store, &parsed.vms}) {
    for (const std::string& address : *list) {
      if (!config::IsAddress(address)) {
        return Usage(fmt::format("{:?} is not IP:port", address));
      }
    }
  }
  if (!parsed.vm_list.empty()) {
    if (const auto url = config::ParseHttpUrl(parsed.vm_list); !url) {
      return Usage("--vm-list: " + url.error().reason);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string_view HelpText() {
  return kHelp;
}

result<arguments> ParseArguments(const std::vector<std::string>& words) {
  values all;
  try {
    all = docopt::docopt_parse(kHelp, words, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    return arguments();
  } catch (const std::exception& error) {
    return Usage(
        fmt::format("the command is not known or incomplete; see "
                    "tarragondalectl --help {}",
                    error.what()));
  }
  arguments parsed;
  for (const command_words& each : kCommands) {
    if (Flag(all, each.first) &&
        (each.second == nullptr || Flag(all, each.second))) {
      parsed.what = each.what;
      parsed.name = each.name == nullptr ? "" : Text(all, each.name);
    }
  }
  if (all["FILE"].isStringList()) {
    parsed.files = all["FILE"].asStringList();
  }
  parsed.to = Text(all, "--to");
  parsed.wait = Flag(all, "--wait");
  parsed.json = Flag(all, "--json");
  parsed.store = List(all, "--store");
  parsed.vms = List(all, "--vms");
  parsed.vm_list = Text(all, "--vm-list");
  parsed.operator_name = Text(all, "--operator");
  parsed.operator_key_file = Text(all, "--operator-key-file");
  const auto last = Positive(all, "--last");
  const auto call_limit = Positive(all, "--call-limit");
  const auto wait_limit = Positive(all, "--wait-limit");
  if (!last || !call_limit || !wait_limit) {
    return Usage(
        "--last, --call-limit and --wait-limit take integers from 1 to "
        "86400000");
  }
  parsed.last = *last;
  parsed.call_limit = milliseconds(*call_limit);
  parsed.wait_limit = milliseconds(*wait_limit);
  if (auto missing = CheckNeeds(parsed)) {
    return *missing;
  }
  return parsed;
}

exit_code ExitCodeOf(const failure& cause) {
  if (cause.code == result_code::kVersionConflict) {
    return exit_code::kConflict;
  }
  if (cause.code == result_code::kStoreUnavailable ||
      cause.code == result_code::kGatewayUnreachable) {
    return exit_code::kUnavailable;
  }
  return InfoOf(cause.code).result == outcome::kUnknown ? exit_code::kUnknown
                                                        : exit_code::kRefused;
}

}  // namespace tarragondale::ctl
