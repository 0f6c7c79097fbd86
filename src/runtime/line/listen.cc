// Listening socket by Boost.Asio.
#include "src/runtime/line/listen.h"

#include <fmt/format.h>

#include "src/runtime/line/http_channel.h"

namespace tarragondale::runtime {

using boost::asio::ip::tcp;

status ListenOn(tcp::acceptor& acceptor,
                const std::string& address,
                int backlog) {
  const tcp::endpoint endpoint = ParseEndpoint(address);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(backlog, error);
  }
  if (error) {
    return failure{
        result_code::kSettingInvalid,
        fmt::format("can't listen on {}: {}", address, error.message())};
  }
  return std::nullopt;
}

}  // namespace tarragondale::runtime
