// Plays requests at all VMs of a deployment and counts how they end.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_PLAY_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_PLAY_H_

#include "review/standin-2/fleet.h"
#include "review/standin-2/record.h"

namespace tarragondale::review {

/// @brief Sends writes and reads to each VM of a deployment that was launched,
/// for `span`. Returns 1 if none was served, 0 if one was, and 2 if none could
/// be sent or a VM ended.
int PlayRequests(deployment& at, record& log, milliseconds span);

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_PLAY_H_
