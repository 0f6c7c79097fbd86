// HTTP connection to the key-value service by Boost.Beast.
#include "src/store/connection.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include "tarragondale/base/endpoint.h"

namespace tarragondale::store {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

status connection::Open(const std::string& endpoint, time_point deadline) {
  if (Usable(endpoint)) {
    return std::nullopt;
  }
  Close();
  if (stopped_) {
    return Done("connect");
  }
  const auto target = ParseEndpoint(endpoint);
  if (!target) {
    return failure{result_code::kStoreUnavailable,
                   fmt::format("{:?} is not IP:port", endpoint)};
  }
  stream_.emplace(context_);
  endpoint_ = endpoint;
  SetDeadline(deadline);
  stream_->async_connect(*target,
                         [this](beast::error_code error) { error_ = error; });
  Run();
  if (!error_) {
    stream_->socket().set_option(net::ip::tcp::no_delay(true), error_);
  }
  return Done("connect");
}

status connection::Send(const std::string& path,
                        const std::string& body,
                        time_point deadline) {
  http::request<http::string_body> request(http::verb::post, path, 11);
  request.set(http::field::host, endpoint_);
  request.set(http::field::content_type, "application/json");
  request.body() = body;
  request.prepare_payload();
  SetDeadline(deadline);
  http::async_write(*stream_, request, [this](beast::error_code error, size_t) {
    error_ = error;
  });
  Run();
  return Done("send");
}

result<connection::http_answer> connection::Receive(time_point deadline) {
  parser_.emplace();
  parser_->body_limit(kMaxAnswerBytes);
  SetDeadline(deadline);
  http::async_read(*stream_, buffer_, *parser_,
                   [this](beast::error_code error, size_t) { error_ = error; });
  Run();
  if (auto failed = Done("receive")) {
    return *failed;
  }
  http_answer answer{parser_->get().result_int(),
                     std::move(parser_->get().body())};
  if (!parser_->keep_alive()) {
    Close();
  }
  return answer;
}

result<unsigned> connection::ReceiveHead(time_point deadline) {
  parser_.emplace();
  parser_->body_limit(boost::none);
  pending_.clear();
  scanned_ = 0;
  SetDeadline(deadline);
  http::async_read_header(
      *stream_, buffer_, *parser_,
      [this](beast::error_code error, size_t) { error_ = error; });
  Run();
  if (auto failed = Done("receive")) {
    return *failed;
  }
  return parser_->get().result_int();
}

result<std::string> connection::ReceiveLine() {
  while (true) {
    const size_t end = pending_.find('\n', scanned_);
    if (end != std::string::npos) {
      std::string line = pending_.substr(0, end);
      pending_.erase(0, end + 1);
      scanned_ = 0;
      if (line.empty()) {
        continue;
      }
      return line;
    }
    scanned_ = pending_.size();
    if (pending_.size() > kMaxAnswerBytes || parser_->is_done()) {
      Close();
      return failure{result_code::kStoreUnavailable,
                     "the stream ended or has too long a line"};
    }
    stream_->expires_never();
    http::async_read_some(
        *stream_, buffer_, *parser_,
        [this](beast::error_code error, size_t) { error_ = error; });
    Run();
    pending_ += parser_->get().body();
    parser_->get().body().clear();
    if (auto failed = Done("receive")) {
      return *failed;
    }
  }
}

void connection::Close() {
  stream_.reset();
  buffer_.clear();
}

void connection::Pause(milliseconds span) {
  if (stopped_) {
    return;
  }
  timer_.expires_after(span);
  timer_.async_wait([](beast::error_code) {});
  Run();
}

void connection::Interrupt() {
  // Runs on the calling thread of the connection, in this or its next call.
  net::post(context_, [this] {
    timer_.cancel();
    if (stream_) {
      beast::error_code ignored;
      stream_->socket().close(ignored);
    }
  });
}

void connection::Stop() {
  stopped_ = true;
  Interrupt();
}

void connection::Run() {
  context_.restart();
  context_.run();
}

void connection::SetDeadline(time_point deadline) {
  stream_->expires_at(deadline);
}

// An idle connection on which bytes or an end of file wait, or that sent more
// bytes than its last answer, can't be used again. Finding this before the
// request is sent keeps its outcome known.
bool connection::Usable(const std::string& endpoint) {
  if (!stream_ || endpoint_ != endpoint || buffer_.size() != 0 || stopped_) {
    return false;
  }
  beast::error_code error;
  char byte = 0;
  stream_->socket().non_blocking(true, error);
  if (error) {
    return false;
  }
  stream_->socket().receive(net::buffer(&byte, 1),
                            net::socket_base::message_peek, error);
  return error == net::error::would_block;
}

status connection::Done(const char* step) {
  if (!error_ && !stopped_) {
    return std::nullopt;
  }
  const std::string reason =
      stopped_ ? "the client was stopped" : error_.message();
  Close();
  return failure{result_code::kStoreUnavailable,
                 fmt::format("{}: {}: {}", endpoint_, step, reason)};
}

}  // namespace tarragondale::store
