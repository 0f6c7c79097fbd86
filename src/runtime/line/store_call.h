// Calls to the platform's store.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_STORE_CALL_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_STORE_CALL_H_

#include <functional>

#include "src/runtime/line/http_channel.h"
#include "tarragondale/store/keyspace.h"

namespace tarragondale::runtime {

/// @brief Calls `done` once, within `limit`. A call without an answer is
/// refused if it was not sent, and has an unknown result otherwise.
void CallStore(http_channel& channel,
               const store::keyspace::call& call,
               duration limit,
               std::function<void(store::keyspace::reply)> done);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_STORE_CALL_H_
