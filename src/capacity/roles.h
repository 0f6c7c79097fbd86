// The measurements of the capacity program, one function for each role.
#ifndef TARRAGONDALE_SRC_CAPACITY_ROLES_H_
#define TARRAGONDALE_SRC_CAPACITY_ROLES_H_

#include <cstdint>

#include "src/capacity/measure.h"

namespace tarragondale::capacity {

void MeasureMembership(uint64_t seed, figure_list& figures);
void MeasureConfiguration(figure_list& figures);
void MeasurePlacement(figure_list& figures);
void MeasureEntry(figure_list& figures);
void MeasureGateway(figure_list& figures);
void MeasureCoordinator(figure_list& figures);
void MeasureControlDuty(uint64_t seed, figure_list& figures);
void MeasureConnections(figure_list& figures);
void MeasureLinks(figure_list& figures);

}  // namespace tarragondale::capacity

#endif  // TARRAGONDALE_SRC_CAPACITY_ROLES_H_
