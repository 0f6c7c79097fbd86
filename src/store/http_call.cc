// HTTP call with a time limit by Boost.Beast.
#include "tarragondale/store/http_call.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace tarragondale::store {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr size_t kMaxBody = 64 * 1024 * 1024;

// `address` has passed `config::IsAddress`, or connecting fails.
net::ip::tcp::endpoint Endpoint(const std::string& address) {
  const size_t colon = std::min(address.rfind(':'), address.size());
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  if (colon < address.size()) {
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
  }
  beast::error_code ignored;
  return {net::ip::make_address(host, ignored), port};
}

}  // namespace

result<http_reply> CallHttp(const std::string& address,
                            const std::string& method,
                            const std::string& path,
                            const std::string& bearer,
                            const std::string& body,
                            milliseconds limit) {
  net::io_context context(1);
  beast::tcp_stream stream(context);
  beast::error_code error;
  const auto finish = [&](beast::error_code result, size_t = 0) {
    error = result;
  };
  const auto run = [&] {
    context.restart();
    context.run();
  };
  stream.expires_after(limit);
  stream.async_connect(Endpoint(address), finish);
  run();
  if (error) {
    return failure{result_code::kGatewayUnreachable,
                   fmt::format("{}: {}", address, error.message())};
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(path);
  request.set(http::field::host, address);
  request.set(http::field::connection, "close");
  if (!bearer.empty()) {
    request.set(http::field::authorization, "Bearer " + bearer);
  }
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = body;
  request.prepare_payload();
  http::async_write(stream, request, finish);
  run();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBody);
  if (!error) {
    http::async_read(stream, buffer, parser, finish);
    run();
  }
  if (error) {
    return failure{result_code::kUnknownConnectionLost,
                   fmt::format("{}: {}", address, error.message())};
  }
  return http_reply{parser.get().result_int(), parser.get().body()};
}

}  // namespace tarragondale::store
