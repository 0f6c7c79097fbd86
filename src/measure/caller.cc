// HTTP connections by Boost.Beast, and the threads of the open loop.
#include "src/measure/caller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>

namespace tarragondale::measure {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using nlohmann::json;

namespace {

// A request that starts later than this after its schedule counts as late.
constexpr duration kLate = milliseconds(20);

reply Decode(const http::response<http::string_body>& answer) {
  reply decoded;
  decoded.session = std::string(answer["Tarragondale-Session"]);
  decoded.body = json::parse(answer.body(), nullptr, false);
  if (decoded.body.is_object()) {
    decoded.outcome = decoded.body.value("outcome", "unknown");
    decoded.name = decoded.body.value("name", "no_name");
  }
  return decoded;
}

}  // namespace

class caller::connection {
 public:
  explicit connection(uint16_t port) : port_(port), stream_(context_) {}

  // Empty: the connection failed or the time is over.
  std::optional<http::response<http::string_body>> Exchange(
      http::request<http::string_body>& request,
      milliseconds limit) {
    beast::error_code error;
    const auto finish = [&](beast::error_code result, size_t = 0) {
      error = result;
    };
    stream_.expires_after(limit);
    if (!stream_.socket().is_open()) {
      stream_.async_connect(
          net::ip::tcp::endpoint(net::ip::address_v4::loopback(), port_),
          finish);
      if (!Run(error)) {
        return std::nullopt;
      }
      stream_.socket().set_option(net::ip::tcp::no_delay(true));
    }
    http::response_parser<http::string_body> parser;
    http::async_write(stream_, request, finish);
    if (!Run(error)) {
      return std::nullopt;
    }
    http::async_read(stream_, buffer_, parser, finish);
    if (!Run(error)) {
      return std::nullopt;
    }
    auto answer = parser.release();
    if (!answer.keep_alive()) {
      Close();
    }
    return answer;
  }

 private:
  bool Run(const beast::error_code& error) {
    context_.restart();
    context_.run();
    if (error) {
      Close();
    }
    return !error;
  }

  void Close() {
    beast::error_code ignored;
    stream_.socket().close(ignored);
    buffer_.clear();
  }

  const uint16_t port_;
  net::io_context context_{1};
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

caller::caller() = default;
caller::~caller() = default;

reply caller::Execute(const call& request, milliseconds limit) {
  http::request<http::string_body> message(http::verb::post, "/v1/execute", 11);
  message.set(http::field::host, "127.0.0.1");
  message.set(http::field::content_type, "application/json");
  message.set(http::field::authorization, "Bearer " + request.bearer);
  if (!request.idempotency_key.empty()) {
    message.set("Idempotency-Key", request.idempotency_key);
  }
  if (!request.session.empty()) {
    message.set("Tarragondale-Session", request.session);
  }
  message.body() = request.body.dump();
  message.prepare_payload();
  auto& kept = connections_[request.port];
  if (!kept) {
    kept = std::make_unique<connection>(request.port);
  }
  const auto answer = kept->Exchange(message, limit);
  return answer ? Decode(*answer) : reply();
}

open_loop::open_loop(double rate, size_t workers, handler handle)
    : rate_(rate),
      handle_(std::move(handle)),
      start_(std::chrono::steady_clock::now()) {
  for (size_t i = 0; i < workers; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

open_loop::~open_loop() {
  Stop();
}

void open_loop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  stopped_.notify_all();
  for (std::thread& each : threads_) {
    each.join();
  }
  threads_.clear();
}

bool open_loop::WaitUntil(time_point scheduled) {
  std::unique_lock lock(mutex_);
  return !stopped_.wait_until(lock, scheduled, [this] { return stop_; });
}

void open_loop::Run(size_t worker) {
  while (true) {
    const uint64_t index = next_++;
    const time_point scheduled =
        start_ +
        duration(std::llround(static_cast<double>(index) * 1e6 / rate_));
    if (!WaitUntil(scheduled)) {
      return;
    }
    if (std::chrono::steady_clock::now() - scheduled > kLate) {
      ++late_;
    }
    handle_(worker, index, scheduled);
  }
}

}  // namespace tarragondale::measure
