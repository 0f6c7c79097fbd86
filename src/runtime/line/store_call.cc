// Joins the platform's encoding of store calls to HTTP.
#include "src/runtime/line/store_call.h"

#include <utility>

#include "platform/platform.h"

namespace tarragondale::runtime {

using store::keyspace::call_status;

void CallStore(http_channel& channel,
               const store::keyspace::call& call,
               duration limit,
               std::function<void(store::keyspace::reply)> done) {
  channel.Call(platform::EncodeStoreCall(call), limit,
               [call, done = std::move(done)](const http_outcome& outcome) {
                 if (outcome.answer.status == 0) {
                   return done({.status = outcome.sent ? call_status::kUnknown
                                                       : call_status::kRefused,
                                .reason = outcome.error});
                 }
                 done(platform::DecodeStoreReply(call, outcome.answer));
               });
}

}  // namespace tarragondale::runtime
