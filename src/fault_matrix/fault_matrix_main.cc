// Runs the fault matrix and writes its report. Ends with failure if a cell
// violates a guarantee, or with --expect-violations if none does.
#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <thread>

#include "src/fault_matrix/scenario.h"

namespace tarragondale::fault_matrix {
namespace {

constexpr char kUsage[] =
    R"(Injects faults at every step of the failover, in virtual time.

Usage:
  fault_matrix [options]

Options:
  --seed=N             Seed of all cells [default: 1].
  --pairs=N            Cells for each pair of faults and trigger [default: 8].
  --only=TEXT          Runs only cells whose name contains TEXT [default: ].
  --threads=N          Threads [default: 4].
  --report=PATH        Writes a Markdown report.
  --expect-violations  Succeeds only if a violation is found.
  -h --help            Shows this text.
)";

const std::array scenarios = {scenario{"failover", FailoverCells}};

struct row_summary {
  size_t cells = 0;
  size_t violations = 0;
  size_t cleared = 0;
  std::vector<int64_t> outages_ms;
};

std::vector<cell_result> RunAll(const std::vector<cell>& cells, long threads) {
  std::vector<cell_result> results(cells.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> workers;
  workers.reserve(static_cast<size_t>(threads));
  for (long i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (size_t at = next++; at < cells.size(); at = next++) {
        results[at] = cells[at].run();
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return results;
}

int64_t Median(std::vector<int64_t> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

int64_t Longest(const std::vector<int64_t>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

void WriteReport(const std::string& path,
                 uint64_t seed,
                 const std::vector<std::string>& row_order,
                 const std::map<std::string, row_summary>& rows,
                 const std::vector<std::string>& found) {
  std::ofstream out(path);
  out << "# Fault matrix\n\nSeed " << seed
      << ". Times are virtual: the longest time between two acknowledged "
         "writes of a cell, in ms.\n\n"
      << "| cells | number | violations | median | longest | cleared "
         "suspicions |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const std::string& name : row_order) {
    const row_summary& row = rows.at(name);
    out << "| " << name << " | " << row.cells << " | " << row.violations
        << " | " << Median(row.outages_ms) << " | " << Longest(row.outages_ms)
        << " | " << row.cleared << " |\n";
  }
  out << "\n## Violations\n\n";
  for (const std::string& line : found) {
    out << "- " << line << '\n';
  }
  if (found.empty()) {
    out << "None.\n";
  }
}

int Main(const std::map<std::string, docopt::value>& options) {
  const scenario_options wanted{
      static_cast<uint64_t>(options.at("--seed").asLong()),
      static_cast<int>(options.at("--pairs").asLong())};
  const std::string only = options.at("--only").asString();
  std::vector<cell> cells;
  for (const scenario& path : scenarios) {
    for (cell& made : path.cells(wanted)) {
      made.name.insert(0, path.name + ": ");
      made.row.insert(0, path.name + ": ");
      if (made.name.find(only) != std::string::npos) {
        cells.push_back(std::move(made));
      }
    }
  }
  const auto results = RunAll(cells, options.at("--threads").asLong());
  std::map<std::string, row_summary> rows;
  std::vector<std::string> row_order;
  std::vector<std::string> found;
  for (size_t i = 0; i < cells.size(); ++i) {
    if (!rows.contains(cells[i].row)) {
      row_order.push_back(cells[i].row);
    }
    row_summary& row = rows[cells[i].row];
    ++row.cells;
    row.violations += results[i].violations.size();
    row.cleared += results[i].cleared_suspicions;
    if (results[i].outage) {
      row.outages_ms.push_back(ToMs(*results[i].outage));
    }
    for (const std::string& violation : results[i].violations) {
      found.push_back(violation + ": " + cells[i].name);
    }
  }
  if (options.at("--report")) {
    WriteReport(options.at("--report").asString(), wanted.seed, row_order, rows,
                found);
  }
  constexpr size_t kPrinted = 20;
  for (size_t i = 0; i < std::min(kPrinted, found.size()); ++i) {
    std::printf("%s\n", found[i].c_str());
  }
  std::printf("%zu cells, %zu violations\n", cells.size(), found.size());
  const bool expected = options.at("--expect-violations").asBool();
  return found.empty() != expected ? 0 : 1;
}

}  // namespace
}  // namespace tarragondale::fault_matrix

int main(int argc, char** argv) {
  try {
    return tarragondale::fault_matrix::Main(docopt::docopt(
        tarragondale::fault_matrix::kUsage, {argv + 1, argv + argc}, true));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fault_matrix: %s\n", error.what());
    return 2;
  }
}
