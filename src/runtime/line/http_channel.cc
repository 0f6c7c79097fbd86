// HTTP calls by Boost.Beast.
#include "src/runtime/line/http_channel.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "src/runtime/line/log_output.h"
#include "tarragondale/base/endpoint.h"

namespace tarragondale::runtime {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr size_t kMaxAnswerBytes = 16U << 20;
// Calls overlap rarely: a watch, a renewal and a read.
constexpr size_t kMaxIdleConnections = 3;

// An address that is none gives an endpoint that can't be connected to.
net::ip::tcp::endpoint EndpointOf(const std::string& address) {
  return ParseEndpoint(address).value_or(net::ip::tcp::endpoint());
}

}  // namespace

// Shared with the connections, which outlive the channel by a callback.
struct http_channel::pool {
  std::vector<std::shared_ptr<connection>> connections;
  std::chrono::steady_clock::time_point last_progress;
};

// One call at a time; `busy_` from its start to its callback.
class http_channel::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(net::io_context& context, std::shared_ptr<pool> of)
      : stream_(context), pool_(std::move(of)) {}

  // A socket that is destroyed while open would not be reset.
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool busy() const { return busy_; }
  bool open() const { return open_; }

  void Start(const net::ip::tcp::endpoint& endpoint,
             const std::string& host,
             const platform::http_request& call,
             duration limit,
             callback done) {
    busy_ = true;
    sent_ = false;
    done_ = std::move(done);
    request_ = {};
    request_.version(11);
    request_.method_string(call.method);
    request_.target(call.target);
    request_.set(http::field::host, host);
    for (const platform::http_header& header : call.headers) {
      request_.set(header.name, header.value);
    }
    if (!call.body.empty()) {
      request_.set(http::field::content_type, "application/json");
    }
    request_.body() = call.body;
    request_.prepare_payload();
    limit_ = limit;
    stream_.expires_after(limit);
    started_ = std::chrono::steady_clock::now();
    kept_ = open_;
    if (open_) {
      return Write();
    }
    buffer_.clear();
    stream_.async_connect(
        endpoint, [self = shared_from_this()](beast::error_code error) {
          if (error) {
            return self->Finish(error);
          }
          self->open_ = true;
          self->heard_ = std::chrono::steady_clock::now();
          if (const beast::error_code failed = self->SetOptions()) {
            return self->Finish(failed);
          }
          self->Write();
        });
  }

  // Resets the connection (see `SetOptions`).
  void Close() {
    open_ = false;
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }

 private:
  // With a linger time of 0, closing resets the connection and discards what
  // was not delivered. Otherwise the system would go on delivering a call that
  // was given up, which could then take effect at any later time. The timer of
  // `stream_` closes the socket itself, so this is set before the first call.
  beast::error_code SetOptions() {
    beast::error_code error;
    stream_.socket().set_option(net::ip::tcp::no_delay(true), error);
    if (!error) {
      stream_.socket().set_option(net::socket_base::linger(true, 0), error);
    }
    return error;
  }

  void Write() {
    sent_ = true;
    http::async_write(
        stream_, request_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (error) {
            return self->Finish(error);
          }
          self->Read();
        });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxAnswerBytes);
    ReadSome();
  }

  // An answer that keeps arriving is not given up, however large it is.
  void ReadSome() {
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (error || self->parser_->is_done()) {
            return self->Finish(error);
          }
          self->heard_ = std::chrono::steady_clock::now();
          self->pool_->last_progress = self->heard_;
          self->stream_.expires_after(self->limit_);
          self->ReadSome();
        });
  }

  void Finish(beast::error_code error) {
    http_outcome outcome;
    outcome.sent = sent_;
    if (error) {
      outcome.error = error.message();
      if (error == beast::error::timeout && kept_ && heard_ < started_) {
        EndSilentConnections();
      }
      Close();
    } else {
      heard_ = std::chrono::steady_clock::now();
      outcome.answer.status = parser_->get().result_int();
      for (const auto& field : parser_->get()) {
        outcome.answer.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
      }
      outcome.answer.body = std::move(parser_->get().body());
      if (!parser_->keep_alive()) {
        Close();
      }
    }
    if (open_) {
      stream_.expires_never();
    }
    busy_ = false;
    // The callback may start the next call on this connection.
    const callback done = std::exchange(done_, {});
    done(std::move(outcome));
  }

  // Connections tend to go silent together, when something on their path
  // forgets them. Those that have not been heard since the unanswered call was
  // sent are not trusted with another wait; their own calls end, too.
  void EndSilentConnections() {
    size_t ended = 0;
    for (const auto& other : pool_->connections) {
      if (other.get() != this && other->open_ && other->heard_ < started_) {
        other->Close();
        ++ended;
      }
    }
    Log(log_level::kWarning, log_part::kStore,
        "a connection that was kept open has been silent for {} ms; {} others "
        "are closed.",
        ToMs(std::chrono::steady_clock::now() - heard_), ended);
  }

  beast::tcp_stream stream_;
  std::shared_ptr<pool> pool_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  callback done_;
  duration limit_{0};                              ///< Without progress.
  std::chrono::steady_clock::time_point started_;  ///< The present call.
  std::chrono::steady_clock::time_point heard_;    ///< Opened, or read from.
  bool kept_ = false;  ///< It was open before the present call.
  bool busy_ = false;
  bool open_ = false;
  bool sent_ = false;
};

http_channel::http_channel(net::io_context& context, const std::string& address)
    : context_(context),
      address_(address),
      endpoint_(EndpointOf(address)),
      pool_(std::make_shared<pool>()) {}

http_channel::~http_channel() {
  for (const auto& each : pool_->connections) {
    each->Close();
  }
  pool_->connections.clear();
}

std::chrono::steady_clock::time_point http_channel::last_progress() const {
  return pool_->last_progress;
}

void http_channel::SetAddress(const std::string& address) {
  if (address == address_) {
    return;
  }
  address_ = address;
  endpoint_ = EndpointOf(address);
  // Connections of running calls are kept alive by those calls.
  for (const auto& each : pool_->connections) {
    if (!each->busy()) {
      each->Close();
    }
  }
  pool_->connections.clear();
}

void http_channel::Call(const platform::http_request& request,
                        duration limit,
                        callback done) {
  TakeIdle()->Start(endpoint_, address_, request, limit, std::move(done));
}

std::shared_ptr<http_channel::connection> http_channel::TakeIdle() {
  // Those that ended are forgotten, beyond a few that stay open.
  std::erase_if(pool_->connections, [](const auto& each) {
    return !each->busy() && !each->open();
  });
  std::shared_ptr<connection> idle;
  size_t open_count = 0;
  for (const auto& each : pool_->connections) {
    if (!each->busy()) {
      idle = each;
      ++open_count;
    }
  }
  if (open_count > kMaxIdleConnections) {
    std::erase_if(pool_->connections, [&](const auto& each) {
      const bool surplus = !each->busy() && each != idle;
      if (surplus) {
        each->Close();
      }
      return surplus;
    });
  }
  if (!idle) {
    idle = std::make_shared<connection>(context_, pool_);
    pool_->connections.push_back(idle);
  }
  return idle;
}

}  // namespace tarragondale::runtime
