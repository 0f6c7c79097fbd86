// Measures where reads are served and whether sessions see their writes.
#include <fmt/format.h>

#include <algorithm>
#include <thread>

#include "src/measure/report.h"
#include "src/measure/session_caller.h"

namespace tarragondale::measure {
namespace {

constexpr int kGroups = 3;
constexpr size_t kSessions = 48;
constexpr double kReplicaGoal = 95;  // Per cent, for reads with max_age_ms.
constexpr double kPerCent = 100;

struct phase {
  read_mode mode;
  std::string_view name;
};

constexpr auto kPhases = std::to_array<phase>({
    {read_mode::kMaxAge, "token, max_age_ms 1000"},
    {read_mode::kSessionOnly, "token only"},
    {read_mode::kPrimaryOnly, "baseline: token lost"},
});

std::string Quantiles(const std::vector<double>& values) {
  return fmt::format("{:.1f} / {:.1f} / {:.1f}", Quantile(values, 0.5),
                     Quantile(values, 0.95), Quantile(values, 0.99));
}

double ReplicaShare(const read_figures& figures) {
  const auto replica = static_cast<double>(figures.replica_ms.size());
  const auto primary = static_cast<double>(figures.primary_ms.size());
  return kPerCent * replica / std::max(replica + primary, 1.0);
}

void PrintRow(const phase& row, const read_figures& figures, uint64_t late) {
  std::vector<double> reads = figures.replica_ms;
  reads.insert(reads.end(), figures.primary_ms.begin(),
               figures.primary_ms.end());
  fmt::print(
      "| {} | {} | {:.2f} % | {} | {} | {} | {:.0f} | {} | {} | {} | {} "
      "| {} |\n",
      row.name, reads.size(), ReplicaShare(figures), Quantiles(reads),
      figures.write_ms.size(), Quantiles(figures.write_ms),
      Quantile(figures.age_ms, 0.99), figures.own_write_missed,
      figures.not_monotonic, figures.too_old, late,
      CountsText(figures.refused));
  std::fflush(stdout);
}

}  // namespace

bool MeasureReads(const run_options& options) {
  PrintConditions("reads", options);
  auto target = cluster::Start({options.sizes, kGroups});
  if (!target) {
    fmt::print("The cluster did not start: {}\n", target.error().reason);
    return false;
  }
  std::vector<std::unique_ptr<session_caller>> sessions;
  for (size_t i = 0; i < kSessions; ++i) {
    sessions.push_back(std::make_unique<session_caller>(
        **target, kGroups, i, kSessions, options.seed));
  }
  fmt::print(
      "| reads with | reads | by replicas | read ms p50 / p95 / p99 | writes | "
      "write ms p50 / p95 / p99 | stated age ms p99 | own write missed | not "
      "monotonic | older than asked | late | other answers |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
      "|\n");
  bool within = true;
  for (const phase& each : kPhases) {
    open_loop loop(options.rate, kSessions,
                   [&](size_t worker, uint64_t, time_point scheduled) {
                     sessions[worker]->Step(each.mode, scheduled);
                   });
    std::this_thread::sleep_for(seconds(options.seconds));
    loop.Stop();
    read_figures figures;
    for (const auto& session : sessions) {
      figures.Add(session->Take());
    }
    PrintRow(each, figures, loop.late());
    within = within && figures.own_write_missed == 0 &&
             figures.not_monotonic == 0 && figures.too_old == 0;
    if (each.mode == read_mode::kMaxAge &&
        ReplicaShare(figures) <= kReplicaGoal) {
      fmt::print(stderr, "reads: the share of replicas misses the goal\n");
    }
  }
  return within;
}

}  // namespace tarragondale::measure
