// HTTP call with a time limit by Boost.Beast.
#include "tarragondale/store/http_call.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include "tarragondale/base/endpoint.h"

namespace tarragondale::store {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr size_t kMaxBody = 64 * 1024 * 1024;

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
  // An address that is none gives an endpoint that can't be connected to.
  stream.async_connect(
      ParseEndpoint(address).value_or(net::ip::tcp::endpoint()), finish);
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
