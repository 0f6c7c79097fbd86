// Addresses of the form IP:port.
#ifndef TARRAGONDALE_BASE_ADDRESS_H_
#define TARRAGONDALE_BASE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragondale {

struct host_and_port {
  std::string host;  ///< Without the brackets of an IPv6 address.
  uint16_t port = 0;
};

/// @brief Splits `host:port`; an IPv6 address may be in brackets. The host is
/// not checked. Empty if there is no port of at most 65535.
std::optional<host_and_port> SplitAddress(std::string_view text);

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_ADDRESS_H_
