// Program capacity: measures what each role costs on the real libraries, in
// one process. docs/CAPACITY.md extrapolates these figures.
#include <docopt.h>
#include <fmt/format.h>

#include <fstream>
#include <functional>

#include "src/capacity/roles.h"

namespace {

using namespace tarragondale;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] =
    R"(Measures state, processor time and traffic of each role.

Usage:
  capacity [--role=NAME] [--seed=N] [--json=FILE]
  capacity --help

Options:
  --role=NAME  Only this role: membership, configuration, placement, entry,
               gateway, coordinator, control, connections or links.
  --seed=N     Seed of the membership simulations [default: 1].
  --json=FILE  Write the figures as JSON too.
  -h --help    Show this text.
)";

struct role {
  std::string name;
  std::function<void(uint64_t, capacity::figure_list&)> measure;
};

std::vector<role> Roles() {
  const auto unseeded = [](void (*measure)(capacity::figure_list&)) {
    return [measure](uint64_t /*seed*/, capacity::figure_list& figures) {
      measure(figures);
    };
  };
  return {{"connections", unseeded(capacity::MeasureConnections)},
          {"links", unseeded(capacity::MeasureLinks)},
          {"membership", capacity::MeasureMembership},
          {"configuration", unseeded(capacity::MeasureConfiguration)},
          {"placement", unseeded(capacity::MeasurePlacement)},
          {"entry", unseeded(capacity::MeasureEntry)},
          {"gateway", unseeded(capacity::MeasureGateway)},
          {"coordinator", unseeded(capacity::MeasureCoordinator)},
          {"control", capacity::MeasureControlDuty}};
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const uint64_t seed = static_cast<uint64_t>(arguments["--seed"].asLong());
  capacity::figure_list figures;
  for (const role& one : Roles()) {
    if (!arguments["--role"] || arguments["--role"].asString() == one.name) {
      fmt::print(stderr, "capacity: {}\n", one.name);
      one.measure(seed, figures);
    }
  }
  fmt::print("{}", figures.Table());
  if (arguments["--json"]) {
    std::ofstream file(arguments["--json"].asString());
    file << figures.Json();
    return file ? 0 : 1;
  }
  return 0;
}
