// Metrics of single database members.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_METRICS_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_METRICS_H_

#include <string>
#include <vector>

#include "tarragondale/interactive.h"

namespace tarragondale::runtime {

/// @brief Learned limits and expected response times in the text format of
/// Prometheus. Not part of the registry, which would keep members that left.
/// Empty if there are none.
std::string MemberMetricsText(
    const std::vector<interactive::member_capacity_estimate>& members);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_METRICS_H_
