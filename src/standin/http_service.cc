// Reads requests and writes answers with Boost.Beast.
#include "src/standin/http_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace tarragondale::standin {
namespace {

namespace http = boost::beast::http;

// Larger than the 1.5 MiB that etcd accepts, in base64.
constexpr size_t kMaxBodyBytes = 4U << 20;
// Paths of unknown requests are not counted beyond this number.
constexpr size_t kMaxCountedPaths = 64;
constexpr int kUnavailable = 503;
constexpr char kRefusal[] =
    R"({"error":"refused by fault injection","code":14,)"
    R"("message":"refused by fault injection"})";

}  // namespace

task<void> chunk_writer::Begin() {
  co_await listener_.PassOut(client_);
  http::response<http::empty_body> header(http::status::ok, 11);
  header.set(http::field::content_type, "application/json");
  header.chunked(true);
  http::response_serializer<http::empty_body> serializer(header);
  co_await http::async_write_header(client_.socket, serializer,
                                    net::use_awaitable);
}

task<void> chunk_writer::Write(std::string_view chunk) {
  co_await listener_.PassOut(client_);
  const std::string bytes = fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
  co_await net::async_write(client_.socket, net::buffer(bytes),
                            net::use_awaitable);
}

http_service::http_service(reactor& loop,
                           const std::string& host,
                           handler handle)
    : loop_(loop),
      handle_(std::move(handle)),
      listener_(loop, host, [this](connection& client) {
        return Serve(client);
      }) {}

void http_service::Stream(std::string path,
                          stream_handler handle,
                          std::function<void()> wake) {
  stream_path_ = std::move(path);
  stream_ = std::move(handle);
  wake_ = std::move(wake);
}

task<void> http_service::Serve(connection& client) {
  boost::beast::flat_buffer buffer;
  bool keep = true;
  while (keep) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::system::error_code error;
    co_await http::async_read(client.socket, buffer, parser,
                              net::redirect_error(net::use_awaitable, error));
    co_await listener_.PassIn(client);
    if (error) {
      co_return;
    }
    const auto& message = parser.get();
    const http_request request{std::string(message.method_string()),
                               std::string(message.target()), message.body()};
    const bool answered = co_await Answer(client, request);
    keep = answered && message.keep_alive();
  }
}

task<bool> http_service::Answer(connection& client,
                                const http_request& request) {
  if (calls_.size() < kMaxCountedPaths || calls_.contains(request.path)) {
    ++calls_[request.path];
  }
  if (listener_.faults().refuse) {
    const http_answer refusal{kUnavailable, kRefusal};
    co_await WriteAnswer(client, refusal);
    co_return true;
  }
  if (!stream_path_.empty() && request.path == stream_path_) {
    co_await ServeStream(client, request);
    co_return false;
  }
  const http_answer answer = handle_(request);
  if (listener_.TakeDrop(request.path + "\n" + request.body)) {
    co_return false;
  }
  co_await WriteAnswer(client, answer);
  co_return true;
}

task<void> http_service::ServeStream(connection& client,
                                     const http_request& request) {
  // The client sends nothing more; a read ends when it closes the connection.
  auto closed = std::make_shared<bool>(false);
  auto byte = std::make_shared<char>();
  client.socket.async_read_some(
      net::buffer(byte.get(), 1),
      [closed, byte, wake = wake_](const boost::system::error_code& /*error*/,
                                   size_t /*count*/) {
        *closed = true;
        wake();
      });
  chunk_writer writer(listener_, client);
  co_await stream_(request, writer, *closed);
}

task<void> http_service::WriteAnswer(connection& client,
                                     const http_answer& answer) {
  co_await listener_.PassOut(client);
  http::response<http::string_body> response(
      static_cast<http::status>(answer.status), 11);
  response.set(http::field::content_type, "application/json");
  response.keep_alive(true);
  response.body() = answer.body;
  response.prepare_payload();
  co_await http::async_write(client.socket, response, net::use_awaitable);
}

}  // namespace tarragondale::standin
