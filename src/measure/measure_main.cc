// Program measure.
#include <docopt.h>
#include <fmt/format.h>

#include <csignal>

#include "src/measure/report.h"

namespace {

using namespace tarragondale;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] = R"(Measures a deployment on stand-ins.

Usage:
  measure failover --deployment=NAME [options]
  measure reads --deployment=NAME [options]
  measure --help

Options:
  --deployment=NAME  lin-shun-fa or blue-mahoe.
  --trials=N         Trials of each fault [default: 10].
  --rate=N           Requests/s; 0: 60 for failover, 300 for reads [default: 0].
  --seconds=N        Time of each phase of reads [default: 10].
  --seed=N           Seed of the callers [default: 1].
  --commit=TEXT      Commit that is shown [default: unknown].
  --log=LEVEL        Least severe level of log lines [default: error].
  -h --help          Show this text.

Exit codes: 0 if no bound was broken, 1 if one was, 2 on wrong options.
)";

constexpr double kFailoverRate = 60;
constexpr double kReadRate = 300;
constexpr int kExitOptions = 2;

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const bool failover = arguments["failover"].asBool();
  measure::run_options options;
  options.sizes = measure::FindDeployment(arguments["--deployment"].asString());
  const auto level = LogLevelFromName(arguments["--log"].asString());
  options.trials = static_cast<int>(arguments["--trials"].asLong());
  options.rate = static_cast<double>(arguments["--rate"].asLong());
  options.seconds = arguments["--seconds"].asLong();
  options.seed = static_cast<uint64_t>(arguments["--seed"].asLong());
  options.commit = arguments["--commit"].asString();
  if (options.sizes == nullptr || !level || options.trials < 1 ||
      options.rate < 0 || options.seconds < 1) {
    fmt::print(stderr, "measure: an option is out of range; see --help\n");
    return kExitOptions;
  }
  if (options.rate == 0) {
    options.rate = failover ? kFailoverRate : kReadRate;
  }
  SetLogLevel(*level);
  std::signal(SIGPIPE, SIG_IGN);
  const bool within = failover ? measure::MeasureFailover(options)
                               : measure::MeasureReads(options);
  return within ? 0 : 1;
}
