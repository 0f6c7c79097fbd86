// One HTTP call with a time limit, for small services of the platform and the
// admin interface of VMs.
#ifndef TARRAGONDALE_STORE_HTTP_CALL_H_
#define TARRAGONDALE_STORE_HTTP_CALL_H_

#include <string>

#include "tarragondale/base.h"

namespace tarragondale::store {

struct http_reply {
  unsigned status = 0;
  std::string body;
};

/// @brief One HTTP call on a connection of its own. Blocks for at most `limit`.
/// Failures: `gateway_unreachable` if nothing was sent,
/// `unknown_connection_lost` if the call may have arrived.
/// @param address IP:port.
/// @param bearer Key for `Authorization: Bearer`; empty: none.
result<http_reply> CallHttp(const std::string& address,
                            const std::string& method,
                            const std::string& path,
                            const std::string& bearer,
                            const std::string& body,
                            milliseconds limit);

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_STORE_HTTP_CALL_H_
