// Program tarragondale-standin.
#include <docopt.h>
#include <fmt/format.h>

#include <charconv>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include "tarragondale/standin.h"

namespace {

using tarragondale::standin::group_options;
using tarragondale::standin::member_options;
using tarragondale::standin::server;
using tarragondale::standin::server_options;

constexpr char kUsage[] = R"(Test stand-ins for the key-value service, database
groups and the list of VMs, with a control port for fault injection.

Usage:
  tarragondale-standin [options] [--group=SPEC]...
  tarragondale-standin --help

Options:
  --host=ADDRESS             Address to listen on [default: 127.0.0.1].
  --control-port=PORT        Control port, 0 for any [default: 0].
  --store-port=PORT          Key-value service, -1 for none [default: 0].
  --vm-list-port=PORT        List of VMs, -1 for none [default: 0].
  --group=SPEC               Database group <name>:<member>[@<port>],...;
                             the first member is primary of term 1.
  --slots=N                  Concurrent statements of a member [default: 2].
  --connections=N            Connection cap of a member [default: 16].
  --open-ms=N                Time for a new connection [default: 12].
  --statement-ms=N           Time a statement uses its slot [default: 1].
  --lock-timeout-ms=N        Wait for another writer [default: 2000].
  --replication-delay-ms=N   Delay of log entries [default: 1].
  --initial-sql=FILE         Statements that all members hold at the start.
  --run-seconds=N            Ends after this time [default: 600].

Prints one line of JSON with the address of each part, then runs until the
time is over or SIGINT or SIGTERM arrives.
)";

struct usage_error {
  std::string message;
};

int Number(const std::string& text, int lowest, int highest) {
  int value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || text.empty() || value < lowest ||
      value > highest) {
    throw usage_error{fmt::format("'{}' is not an integer from {} to {}", text,
                                  lowest, highest)};
  }
  return value;
}

constexpr int kMaxPort = 65535;
constexpr int kMaxCount = 1'000'000;

group_options ParseGroup(const std::string& spec) {
  const size_t colon = spec.find(':');
  if (colon == std::string::npos) {
    throw usage_error{"group without a colon: " + spec};
  }
  group_options group;
  group.name = spec.substr(0, colon);
  std::istringstream list(spec.substr(colon + 1));
  for (std::string item; std::getline(list, item, ',');) {
    const size_t at = item.find('@');
    member_options member{item.substr(0, at), 0};
    if (at != std::string::npos) {
      member.port =
          static_cast<uint16_t>(Number(item.substr(at + 1), 0, kMaxPort));
    }
    group.members.push_back(std::move(member));
  }
  return group;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw usage_error{"can't read file " + path};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class argument_set {
 public:
  explicit argument_set(std::map<std::string, docopt::value> values)
      : values_(std::move(values)) {}

  std::string Text(const char* name) const {
    return values_.at(name).asString();
  }
  int Integer(const char* name, int lowest, int highest) const {
    return Number(Text(name), lowest, highest);
  }
  tarragondale::milliseconds Milliseconds(const char* name) const {
    return tarragondale::milliseconds(Integer(name, 0, kMaxCount));
  }
  bool Has(const char* name) const { return values_.at(name).isString(); }
  std::vector<std::string> List(const char* name) const {
    const docopt::value& value = values_.at(name);
    return value.isStringList() ? value.asStringList()
                                : std::vector<std::string>();
  }

 private:
  std::map<std::string, docopt::value> values_;
};

server_options OptionsFrom(const argument_set& arguments) {
  server_options options;
  options.host = arguments.Text("--host");
  options.control_port = arguments.Integer("--control-port", 0, kMaxPort);
  options.store_port = arguments.Integer("--store-port", -1, kMaxPort);
  options.vm_list_port = arguments.Integer("--vm-list-port", -1, kMaxPort);
  for (const std::string& spec : arguments.List("--group")) {
    group_options group = ParseGroup(spec);
    group.limits.slots = arguments.Integer("--slots", 1, kMaxCount);
    group.limits.connections = arguments.Integer("--connections", 0, kMaxCount);
    group.limits.open_time = arguments.Milliseconds("--open-ms");
    group.limits.statement_time = arguments.Milliseconds("--statement-ms");
    group.limits.lock_timeout = arguments.Milliseconds("--lock-timeout-ms");
    group.limits.replication_delay =
        arguments.Milliseconds("--replication-delay-ms");
    if (arguments.Has("--initial-sql")) {
      group.initial_sql = ReadFile(arguments.Text("--initial-sql"));
    }
    options.groups.push_back(std::move(group));
  }
  return options;
}

void PrintAddresses(const server& parts, const server_options& options) {
  std::string line =
      fmt::format(R"({{"control":"{}")", parts.Address("control"));
  const auto add = [&](const std::string& part) {
    if (parts.Port(part) != 0) {
      line += fmt::format(R"(,"{}":"{}")", part, parts.Address(part));
    }
  };
  add("store");
  add("vm_list");
  for (const group_options& group : options.groups) {
    for (const member_options& member : group.members) {
      add(member.name);
    }
  }
  std::cout << line << "}" << std::endl;
}

// Waits for SIGINT or SIGTERM, which must be blocked in all threads.
void WaitForEnd(const sigset_t& signals, int run_seconds) {
  const timespec limit{run_seconds, 0};
  sigtimedwait(&signals, nullptr, &limit);
}

int Run(const argument_set& arguments) {
  const server_options options = OptionsFrom(arguments);
  const int run_seconds = arguments.Integer("--run-seconds", 1, kMaxCount);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto parts = server::Start(options);
  if (!parts) {
    std::cerr << "tarragondale-standin: " << parts.error().reason << "\n";
    return 1;
  }
  PrintAddresses(**parts, options);
  WaitForEnd(signals, run_seconds);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(
        argument_set(docopt::docopt(kUsage, {argv + 1, argv + argc}, true)));
  } catch (const usage_error& error) {
    std::cerr << "tarragondale-standin: " << error.message << "\n";
  } catch (const std::exception& error) {
    std::cerr << "tarragondale-standin: " << error.what() << "\n";
  }
  return 2;
}
