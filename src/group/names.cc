// Table of names of the notices.
#include <array>

#include "tarragondale/group.h"

namespace tarragondale::group {

std::string_view NoticeKindName(notice_kind kind) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "suspected", "suspicion_cleared", "refused",     "started",  "promoted",
      "completed", "overtaken",         "no_majority", "abandoned"};
  return kNames[static_cast<size_t>(kind)];
}

}  // namespace tarragondale::group
