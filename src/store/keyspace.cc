// Names of the outcomes of calls.
#include "tarragondale/store/keyspace.h"

#include <array>

namespace tarragondale::store::keyspace {

std::string_view CallStatusName(call_status status) {
  using namespace std::string_view_literals;
  constexpr std::array kNames = {"done"sv,      "conflict"sv, "not_found"sv,
                                 "compacted"sv, "refused"sv,  "unknown"sv};
  return kNames[static_cast<size_t>(status)];
}

}  // namespace tarragondale::store::keyspace
