// Program tarragondaled.
#include <docopt.h>
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <thread>

#include "src/runtime/line/log_output.h"
#include "tarragondale/chart.h"
#include "tarragondale/config.h"
#include "tarragondale/runtime.h"

namespace {

using namespace tarragondale;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] = R"(Database proxy with session consistency.

Usage:
  tarragondaled --settings=FILE [--check-config] [--run-seconds=N]
  tarragondaled --help
  tarragondaled --version

Options:
  --settings=FILE   INI file; docs/settings.md lists all keys.
  --check-config    Check the settings and exit.
  --run-seconds=N   Shut down gracefully after this time; 0: never
                    [default: 0].
  -h --help         Show this text.
  --version         Show the version.

SIGTERM and SIGINT start a graceful shutdown, a second signal ends it at once.
Exit codes: 0 after a graceful shutdown, 1 on wrong settings, 2 if a second
signal or the time limit of the shutdown cut requests.
)";

constexpr int kExitOk = 0;
constexpr int kExitSettings = 1;
constexpr int kExitCut = 2;
constexpr duration kPollInterval = milliseconds(20);
constexpr duration kShutdownLimit = seconds(60);

std::atomic<int> signals{0};

void OnSignal(int /*number*/) {
  ++signals;
}

bool SettingsAreValid(const config::settings_outcome& outcome) {
  for (const failure& error : outcome.errors) {
    fmt::print(stderr, "{}\n", error.reason);
  }
  return outcome.errors.empty();
}

// Runs until a signal or the time limit, then shuts down gracefully.
int Run(const config::settings& settings, int64_t run_seconds) {
  auto daemon = runtime::daemon::Start(settings);
  if (!daemon) {
    fmt::print(stderr, "{}\n", daemon.error().reason);
    return kExitSettings;
  }
  const auto now = [] { return std::chrono::steady_clock::now(); };
  const time_point end = now() + seconds(run_seconds);
  while (signals == 0 && (run_seconds == 0 || now() < end)) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const int first = signals;
  (*daemon)->StartDrain();
  const time_point limit = now() + kShutdownLimit;
  while (!(*daemon)->IsDrained() && signals <= std::max(first, 1) &&
         now() < limit) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const bool drained = (*daemon)->IsDrained();
  Log(drained ? log_level::kInfo : log_level::kWarning, log_part::kMain, "{}.",
      drained ? "shutdown is complete" : "shutdown cuts requests");
  return drained ? kExitOk : kExitCut;
}

// Runs until a signal has shut the daemon down.
int RunLineEdge(const config::settings& settings, const std::string& path) {
  // Large blocks go back to the system when they are freed. The allocator would
  // otherwise take them from its heap after the first, where small blocks
  // behind them keep the memory in use.
  constexpr int kLargeBlockBytes = 128 << 10;
  constexpr int kTrimBytes = 1 << 20;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  SetLogWriter(runtime::BufferLogLine);
  auto daemon = runtime::line_daemon::Create(settings, path);
  if (!daemon) {
    fmt::print(stderr, "{}\n", daemon.error().reason);
    return kExitSettings;
  }
  return (*daemon)->Run() ? kExitOk : kExitCut;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                        "tarragondaled 0.1");
  const auto outcome =
      config::LoadSettings(arguments.at("--settings").asString());
  if (!SettingsAreValid(outcome)) {
    return kExitSettings;
  }
  if (const auto problem = chart::CheckEmbedded()) {
    fmt::print(stderr, "{}\n", problem->reason);
    return kExitSettings;
  }
  if (arguments.at("--check-config").asBool()) {
    return kExitOk;
  }
  SetLogLevel(outcome.value.level);
  std::signal(SIGPIPE, SIG_IGN);
  if (outcome.value.edge == config::edge_kind::kLine) {
    return RunLineEdge(outcome.value, arguments.at("--settings").asString());
  }
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  return Run(outcome.value, arguments.at("--run-seconds").asLong());
}
