// Checks of a caller's request that need no configuration.
#ifndef TARRAGONDALE_SRC_ENTRY_REQUEST_CHECK_H_
#define TARRAGONDALE_SRC_ENTRY_REQUEST_CHECK_H_

#include "tarragondale/entry.h"

namespace tarragondale::entry {

/// @brief Failure `invalid_field` if a field is missing or out of range.
status CheckRequest(const caller_request& request,
                    const entry_options& options);

/// @brief True for steps that need a route and take a place in admission.
inline bool StartsWork(wire::transaction_step step) {
  return step == wire::transaction_step::kWhole ||
         step == wire::transaction_step::kBegin;
}

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_REQUEST_CHECK_H_
