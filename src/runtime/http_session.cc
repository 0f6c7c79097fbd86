// One caller connection of the HTTP front end.
#include "src/runtime/http_session.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace tarragondale::runtime {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kLingerBytes = 4096;
constexpr duration kLingerTime = seconds(2);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

http_request ToRequest(http::request<http::string_body> parsed) {
  http_request request;
  request.method = std::string(parsed.method_string());
  request.target = std::string(parsed.target());
  for (const auto& field : parsed) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.body = std::move(parsed.body());
  return request;
}

failure FailureOf(const error_code& error) {
  if (error == http::error::body_limit) {
    return {result_code::kBodyTooLarge, {}};
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return {result_code::kHeaderTooLarge, {}};
  }
  return {result_code::kMalformedHttp, error.message()};
}

}  // namespace

http_session::http_session(tcp::socket socket,
                           uint64_t connection,
                           http_shared& shared)
    : socket_(std::move(socket)),
      connection_(connection),
      shared_(shared),
      timer_(socket_.get_executor()) {}

void http_session::Start() {
  SetTimer(shared_.options.idle_timeout);
  WaitReadable();
}

void http_session::RefuseConnection() {
  Refuse({result_code::kTooManyConnections, {}}, true);
}

void http_session::OnAnswer(const entry::answer_caller& answer) {
  if (state_ == state::kServing && answer.exchange == exchange_) {
    shared_.handlers.answered(
        answer.code, std::chrono::duration_cast<duration>(
                         std::chrono::steady_clock::now() - served_since_));
    Write(EncodeAnswer(answer), false);
  }
}

void http_session::CloseIfIdle() {
  if (state_ == state::kIdle) {
    Close();
  }
}

void http_session::Close() {
  if (state_ == state::kClosed) {
    return;
  }
  state_ = state::kClosed;
  NoteCallerGone();
  EndExchange();
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  shared_.sessions.erase(connection_);
  shared_.metrics.connections.store(shared_.sessions.size(),
                                    std::memory_order_relaxed);
}

void http_session::WaitReadable() {
  if (wait_pending_) {
    return;
  }
  wait_pending_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->wait_pending_ = false;
                       self->OnReadable(error);
                     });
}

void http_session::OnReadable(const error_code& error) {
  if (state_ == state::kIdle) {
    if (error) {
      Close();
    } else {
      BeginRead();
    }
    return;
  }
  if (state_ != state::kServing) {
    return;
  }
  error_code status;
  if (error || socket_.available(status) == 0 || status) {
    // The peer closed, or half-closed: the answer is still written in case it
    // reads, but nothing further is started for it.
    NoteCallerGone();
  }
}

void http_session::BeginRead() {
  state_ = state::kReading;
  SetTimer(shared_.options.header_timeout);
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(shared_.options.header_bytes));
  parser_->body_limit(shared_.options.body_bytes);
  buffer_.max_size(shared_.options.header_bytes + shared_.options.body_bytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, size_t) {
        self->OnHeader(error);
      });
}

void http_session::OnHeader(const error_code& error) {
  if (state_ != state::kReading) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  SetTimer(shared_.options.header_timeout);
  if (!boost::beast::iequals(parser_->get()[http::field::expect],
                             "100-continue")) {
    ReadBody();
    return;
  }
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error) {
          self->Close();
        } else if (self->state_ == state::kReading) {
          self->ReadBody();
        }
      });
}

void http_session::ReadBody() {
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, size_t) {
        self->OnBody(error);
      });
}

void http_session::OnBody(const error_code& error) {
  if (state_ != state::kReading) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  timer_.cancel();
  ++timer_generation_;
  Dispatch();
}

void http_session::OnReadError(const error_code& error) {
  if (error.category() !=
          http::make_error_code(http::error::end_of_stream).category() ||
      error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    Close();
    return;
  }
  Refuse(FailureOf(error), true);
}

void http_session::Dispatch() {
  shared_.metrics.requests.fetch_add(1, std::memory_order_relaxed);
  keep_alive_ = parser_->keep_alive();
  const http_request request = ToRequest(parser_->release());
  parser_.reset();
  state_ = state::kServing;
  if (const status problem = CheckHeaders(request)) {
    Refuse(*problem, true);
    return;
  }
  const auto path = RoutePath(request.method, request.target);
  if (!path) {
    Refuse(path.error(), false);
    return;
  }
  switch (path->target) {
    case endpoint::kHealth:
      Write({200, "text/plain", {}, "ok\n"}, false);
      return;
    case endpoint::kReady: {
      const bool ready = shared_.handlers.is_ready() && !shared_.draining;
      Write({ready ? 200 : 503,
             "text/plain",
             {},
             ready ? "ready\n" : "not ready\n"},
            false);
      return;
    }
    case endpoint::kMetrics:
      Write({200, "text/plain; version=0.0.4", {}, shared_.handlers.metrics()},
            false);
      return;
    case endpoint::kAdminStatus:
    case endpoint::kAdminDrain:
    case endpoint::kAdminSwitchover:
      Administer(request, *path);
      return;
    default:
      Submit(request, *path);
  }
}

void http_session::Submit(const http_request& request,
                          const routed_path& path) {
  auto decoded = DecodeCallerRequest(request, path);
  if (!decoded) {
    Refuse(decoded.error(), false);
    return;
  }
  exchange_ = ++shared_.last_exchange;
  served_since_ = std::chrono::steady_clock::now();
  shared_.exchanges.emplace(exchange_, connection_);
  decoded->connection = connection_;
  decoded->exchange = exchange_;
  gone_noted_ = false;
  submitted_ = true;
  if (!shared_.handlers.submit(std::move(*decoded))) {
    Refuse({result_code::kOverloaded, {}}, false);
    return;
  }
  WatchForClose();
}

void http_session::Administer(const http_request& request,
                              const routed_path& path) {
  if (!IsOperator(request)) {
    Refuse({BearerOf(request) ? result_code::kKeyInvalid
                              : result_code::kKeyMissing,
            "this path needs the operator key"},
           false);
    return;
  }
  if (path.target == endpoint::kAdminStatus) {
    Write({200, "application/json", {}, shared_.handlers.status()}, false);
    return;
  }
  if (path.target == endpoint::kAdminDrain) {
    Write({202, "application/json", {}, "{\"accepted\": true}\n"}, true);
    shared_.handlers.drain();
    return;
  }
  auto decoded = DecodeSwitchover(request.body);
  if (!decoded) {
    Refuse(decoded.error(), false);
    return;
  }
  if (!shared_.handlers.switchover(std::move(*decoded))) {
    Refuse({result_code::kNotOwner, "another VM coordinates the group"}, false);
    return;
  }
  Write({202, "application/json", {}, "{\"accepted\": true}\n"}, false);
}

bool http_session::IsOperator(const http_request& request) const {
  const std::string& digest = shared_.options.operator_key_digest;
  const auto key = BearerOf(request);
  return !digest.empty() && key && config::VerifyOperatorKey(digest, *key);
}

void http_session::WatchForClose() {
  if (buffer_.size() == 0) {
    WaitReadable();
  }
}

void http_session::Refuse(const failure& reason, bool close) {
  shared_.metrics.early_refusals.fetch_add(1, std::memory_order_relaxed);
  const request_id id{shared_.options.origin, ++shared_.last_refusal};
  Log(log_level::kDebug, log_part::kHttp, "request {} is refused: {}.",
      ToText(id), InfoOf(reason.code).name);
  Write(EncodeRefusal(id, reason), close);
}

void http_session::Write(http_answer answer, bool close) {
  EndExchange();
  state_ = state::kWriting;
  close_after_write_ = close || !keep_alive_ || shared_.draining;
  response_.emplace(static_cast<http::status>(answer.status), 11);
  response_->set(http::field::content_type, answer.content_type);
  for (const auto& [name, value] : answer.headers) {
    response_->set(name, value);
  }
  response_->keep_alive(!close_after_write_);
  response_->body() = std::move(answer.body);
  response_->prepare_payload();
  SetTimer(shared_.options.idle_timeout);
  http::async_write(
      socket_, *response_,
      [self = shared_from_this()](const error_code& error, size_t) {
        self->OnWritten(error);
      });
}

void http_session::OnWritten(const error_code& error) {
  response_.reset();
  if (state_ != state::kWriting) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (close_after_write_) {
    Linger();
    return;
  }
  state_ = state::kIdle;
  SetTimer(shared_.options.idle_timeout);
  if (buffer_.size() > 0) {
    BeginRead();
    return;
  }
  buffer_ = boost::beast::flat_buffer();  // An idle connection holds no memory.
  WaitReadable();
}

void http_session::Linger() {
  // Closing a socket with unread bytes resets the connection, and the peer
  // could lose the answer.
  state_ = state::kLingering;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  SetTimer(kLingerTime);
  linger_buffer_.resize(kLingerBytes);
  asio::async_read(
      socket_, asio::buffer(linger_buffer_),
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error) {
          self->Close();
        } else if (self->state_ == state::kLingering) {
          self->Linger();
        }
      });
}

void http_session::SetTimer(duration limit) {
  const uint64_t generation = ++timer_generation_;
  timer_.expires_after(limit);
  timer_.async_wait(
      [self = shared_from_this(), generation](const error_code& error) {
        if (!error && generation == self->timer_generation_) {
          self->OnTimer();
        }
      });
}

void http_session::OnTimer() {
  if (state_ != state::kReading) {
    Close();
    return;
  }
  // Ends the pending read before the refusal is written.
  error_code ignored;
  socket_.cancel(ignored);
  Refuse({result_code::kRequestTimeout, {}}, true);
}

void http_session::NoteCallerGone() {
  if (submitted_ && !gone_noted_) {
    gone_noted_ = true;
    shared_.handlers.caller_gone(connection_);
  }
}

void http_session::EndExchange() {
  shared_.exchanges.erase(exchange_);
  exchange_ = 0;
}

}  // namespace tarragondale::runtime
