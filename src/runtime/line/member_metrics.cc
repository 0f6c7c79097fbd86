// Metrics of single database members.
#include "src/runtime/line/member_metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace tarragondale::runtime {
namespace {

std::string Escaped(std::string_view label) {
  std::string escaped;
  for (const char c : label) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

}  // namespace

std::string MemberMetricsText(
    const std::vector<interactive::member_capacity_estimate>& members) {
  if (members.empty()) {
    return "";
  }
  std::string limits =
      "# HELP tarragondale_member_limit Statements of this VM that the member "
      "takes well.\n# TYPE tarragondale_member_limit gauge\n";
  std::string responses =
      "# HELP tarragondale_member_response_seconds Expected response time of "
      "the member.\n# TYPE tarragondale_member_response_seconds gauge\n";
  for (const interactive::member_capacity_estimate& each : members) {
    const std::string id = Escaped(each.member);
    fmt::format_to(std::back_inserter(limits),
                   "tarragondale_member_limit{{member=\"{}\"}} {:.1f}\n", id,
                   each.limit);
    fmt::format_to(
        std::back_inserter(responses),
        "tarragondale_member_response_seconds{{member=\"{}\"}} {:.4f}\n", id,
        static_cast<double>(each.response_time.count()) / 1e6);
  }
  return limits + responses;
}

}  // namespace tarragondale::runtime
