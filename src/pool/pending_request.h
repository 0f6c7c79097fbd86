// A request on its way through the gateway; shared by queue, transaction and
// evidence.
#ifndef TARRAGONDALE_SRC_POOL_PENDING_REQUEST_H_
#define TARRAGONDALE_SRC_POOL_PENDING_REQUEST_H_

#include <memory>
#include <string>

#include "tarragondale/pool.h"

namespace tarragondale::pool {

enum class request_stage : uint8_t { kQueued, kRunning, kEvidence };

struct pending_request {
  std::string sender;
  wire::execute_request request;
  time_point arrived;
  time_point deadline;
  time_point started;  ///< When it got its connection and slot.
  request_stage stage = request_stage::kQueued;
  int repeats = 0;        ///< Times that it ran again after a lost connection.
  bool answered = false;  ///< An answer was sent; never send another.
};

using pending_ptr = std::shared_ptr<pending_request>;

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_PENDING_REQUEST_H_
