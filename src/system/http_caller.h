// A caller of daemons over plain HTTP/1.1, for system tests.
#ifndef SRC_SYSTEM_HTTP_CALLER_H_
#define SRC_SYSTEM_HTTP_CALLER_H_

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "tarragondale/base.h"

namespace tarragondale::system_test {

using json = nlohmann::json;
namespace http = boost::beast::http;

/// Longest wait for a condition or an answer; far above any expected time,
/// since tests run beside others on a busy machine.
inline constexpr seconds kPatience{30};

/// @brief What a caller sees of an answer. `status` 0: the connection broke.
struct http_reply {
  int status = 0;
  std::string text;
  json body;
  std::string session;
  std::string request_id;
  std::string retry_after;

  int code() const { return body.is_object() ? body.value("code", -1) : -1; }
  std::string outcome() const {
    return body.is_object() ? body.value("outcome", "") : "";
  }
  bool done() const { return outcome() == "done" && status == 200; }
  std::string transaction() const { return body.value("transaction", ""); }
  std::string served_by() const { return body.value("served_by", ""); }
};

/// @brief Headers of a request; empty ones are not sent.
struct http_headers {
  std::string key;
  std::string idempotency;
  std::string session;
};

/// @brief One connection to a daemon, opened by the first request and again by
/// the first request after it broke.
class http_caller {
 public:
  explicit http_caller(uint16_t port) : port_(port) {}

  http_reply Post(const std::string& path,
                  const json& body,
                  const http_headers& headers = {}) {
    return Send("POST", path, body.dump(), headers) ? Receive() : http_reply{};
  }

  http_reply Get(const std::string& path, const std::string& key = {}) {
    return Send("GET", path, {}, {key, "", ""}) ? Receive() : http_reply{};
  }

  /// @brief Sends a request without waiting for its answer.
  bool Send(const std::string& method,
            const std::string& path,
            const std::string& body,
            const http_headers& headers) {
    if (!stream_ && !Connect()) {
      return false;
    }
    http::request<http::string_body> request(http::string_to_verb(method), path,
                                             11);
    request.set(http::field::host, "127.0.0.1");
    Set(request, "Authorization",
        headers.key.empty() ? "" : "Bearer " + headers.key);
    Set(request, "Idempotency-Key", headers.idempotency);
    Set(request, "Tarragondale-Session", headers.session);
    request.body() = body;
    request.prepare_payload();
    return Run([&](auto done) {
      http::async_write(*stream_, request,
                        [done](auto error, size_t) { done(error); });
    });
  }

  /// @brief Waits for the answer to the last request that was sent.
  http_reply Receive() {
    http_reply reply;
    http::response_parser<http::string_body> parser;
    if (!Run([&](auto done) {
          http::async_read(*stream_, buffer_, parser,
                           [done](auto error, size_t) { done(error); });
        })) {
      return reply;
    }
    const auto& response = parser.get();
    reply.status = static_cast<int>(response.result_int());
    reply.text = response.body();
    reply.body = json::parse(reply.text, nullptr, false);
    reply.session = std::string(response["Tarragondale-Session"]);
    reply.request_id = std::string(response["Tarragondale-Request-Id"]);
    reply.retry_after = std::string(response["Retry-After"]);
    if (!response.keep_alive()) {
      Close();
    }
    return reply;
  }

  void Close() {
    stream_.reset();
    buffer_.clear();
  }

  bool is_open() const { return stream_.has_value(); }

 private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  template <typename Request>
  static void Set(Request& request,
                  const char* name,
                  const std::string& value) {
    if (!value.empty()) {
      request.set(name, value);
    }
  }

  bool Connect() {
    stream_.emplace(context_);
    return Run([&](auto done) {
      stream_->async_connect(
          tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port_),
          [done](auto error) { done(error); });
    });
  }

  // Runs one operation to its end; closes the connection if it fails.
  template <typename Start>
  bool Run(Start start) {
    if (!stream_) {
      return false;
    }
    error_code result;
    stream_->expires_after(kPatience);
    start([&result](error_code error) { result = error; });
    context_.restart();
    context_.run();
    if (result) {
      Close();
    }
    return !result;
  }

  uint16_t port_;
  boost::asio::io_context context_;
  std::optional<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace tarragondale::system_test

#endif  // SRC_SYSTEM_HTTP_CALLER_H_
