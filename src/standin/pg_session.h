// A client's session with a member, in the PostgreSQL protocol.
#ifndef SRC_STANDIN_PG_SESSION_H_
#define SRC_STANDIN_PG_SESSION_H_

#include "src/standin/endpoint.h"
#include "src/standin/reactor.h"

namespace tarragondale::standin {

class member;

/// @brief Serves a connection until it ends.
task<void> ServePostgres(reactor& loop, member& owner, connection& client);

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_PG_SESSION_H_
