// Interprets charts and binds the embedded ones to their enums.
#include <algorithm>
#include <cstdlib>

#include "tarragondale/chart.h"

extern "C" {
extern const char tarragondale_chart_failover[];
extern const char tarragondale_chart_vm_lifecycle[];
extern const char tarragondale_chart_connection[];
extern const char tarragondale_chart_transaction[];
extern const char tarragondale_chart_handover[];
}

namespace tarragondale::chart {
namespace {

struct embedded_chart {
  std::string_view name;
  const char* text;
  std::span<const std::string_view> states;
  std::span<const std::string_view> events;
};

template <typename Chart>
embedded_chart Bind(const char* text) {
  return {Chart::kName, text, Chart::kStates, Chart::kEvents};
}

std::span<const embedded_chart> Embedded() {
  static const std::array charts = {
      Bind<failover>(tarragondale_chart_failover),
      Bind<vm_lifecycle>(tarragondale_chart_vm_lifecycle),
      Bind<connection>(tarragondale_chart_connection),
      Bind<transaction>(tarragondale_chart_transaction),
      Bind<handover>(tarragondale_chart_handover)};
  return charts;
}

failure Mismatch(const definition& chart, const char* what) {
  return {result_code::kSettingInvalid,
          "chart " + chart.name + " does not match the names of its " + what};
}

}  // namespace

bool chart_machine::Fire(std::string_view event) {
  const auto found =
      std::find(chart_->events.begin(), chart_->events.end(), event);
  if (found == chart_->events.end()) {
    return false;
  }
  const auto index = static_cast<size_t>(found - chart_->events.begin());
  const size_t next = chart_->next[state_][index];
  if (next == kNone) {
    return false;
  }
  state_ = next;
  return true;
}

std::string_view EmbeddedText(std::string_view name) {
  for (const embedded_chart& chart : Embedded()) {
    if (chart.name == name) {
      return chart.text;
    }
  }
  return {};
}

status CheckNames(const definition& chart,
                  std::span<const std::string_view> states,
                  std::span<const std::string_view> events) {
  if (!std::ranges::equal(chart.states, states)) {
    return Mismatch(chart, "states");
  }
  if (!std::ranges::is_permutation(
          std::vector<std::string_view>(chart.events.begin(),
                                        chart.events.end()),
          events)) {
    return Mismatch(chart, "events");
  }
  return std::nullopt;
}

status CheckEmbedded() {
  for (const embedded_chart& entry : Embedded()) {
    const result<definition> chart = Parse(entry.text);
    if (!chart) {
      return chart.error();
    }
    if (status problem = CheckNames(*chart, entry.states, entry.events)) {
      return problem;
    }
  }
  return std::nullopt;
}

const definition& EmbeddedDefinition(std::string_view name,
                                     std::span<const std::string_view> states,
                                     std::span<const std::string_view> events) {
  result<definition> chart = Parse(EmbeddedText(name));
  const status problem =
      chart ? CheckNames(*chart, states, events) : status(chart.error());
  if (problem) {
    WriteLog(log_level::kError, log_part::kMain, problem->reason);
    std::abort();
  }
  // Kept for the life of the program, since machines refer to it.
  return *new definition(std::move(*chart));
}

}  // namespace tarragondale::chart
