// Splits addresses.
#include "tarragondale/base/address.h"

#include <charconv>

namespace tarragondale {

std::optional<host_and_port> SplitAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, problem] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (problem != std::errc() || stop != end) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  return host_and_port{std::string(host), port};
}

}  // namespace tarragondale
