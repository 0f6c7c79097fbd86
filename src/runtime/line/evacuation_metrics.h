// Metrics of evacuated availability zones.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_EVACUATION_METRICS_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_EVACUATION_METRICS_H_

#include "tarragondale/interactive.h"
#include "tarragondale/telemetry.h"

namespace tarragondale::runtime {

/// @brief Sets the gauges of all zones that are or were evacuated.
void SetEvacuationMetrics(const interactive::session_broker& broker,
                          telemetry::registry& registry);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_EVACUATION_METRICS_H_
