// Gauges of evacuated availability zones.
#include "src/runtime/line/evacuation_metrics.h"

namespace tarragondale::runtime {

void SetEvacuationMetrics(const interactive::session_broker& broker,
                          telemetry::registry& registry) {
  for (const auto& [zone, each] : broker.Evacuations()) {
    registry
        .Gauge("tarragondale_zone_evacuated",
               "Whether operators evacuate the zone.", {{"zone", zone}})
        .Set(each.since ? 1 : 0);
    registry
        .Gauge("tarragondale_zone_evacuation_complete",
               "Whether this VM sends nothing more to the evacuated zone.",
               {{"zone", zone}})
        .Set(each.since && each.complete ? 1 : 0);
    registry
        .Gauge("tarragondale_zone_evacuation_work",
               "Transactions and statements of this VM at members of a zone "
               "that is or was evacuated.",
               {{"zone", zone}})
        .Set(static_cast<int64_t>(each.work));
  }
}

}  // namespace tarragondale::runtime
