// Addresses as Boost.Asio takes them. Not part of base.h, so that decision
// libraries do not depend on Boost.Asio.
#ifndef TARRAGONDALE_BASE_ENDPOINT_H_
#define TARRAGONDALE_BASE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

#include "tarragondale/base/address.h"

namespace tarragondale {

/// @brief The endpoint of `IP:port`; empty if the text is none.
inline std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  const auto parts = SplitAddress(text);
  if (!parts) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(parts->host, error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, parts->port);
}

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_ENDPOINT_H_
