// Small HTTP server by Boost.Beast.
#include "src/runtime/line/readiness_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "platform/platform.h"
#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/log_output.h"

namespace tarragondale::runtime {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using net::ip::tcp;

namespace {

// The balancer asks once a second; a connection that is silent for longer is
// not its.
constexpr duration kIdleLimit = seconds(15);
constexpr duration kAcceptPause = milliseconds(50);
constexpr duration kNoteInterval = seconds(1);
constexpr uint32_t kMaxHeaderBytes = 8192;

}  // namespace

class readiness_server::session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, const handlers& handlers)
      : stream_(std::move(socket)), handlers_(handlers) {}

  void Read() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxHeaderBytes);
    stream_.expires_after(kIdleLimit);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (!error) {
            self->Answer();
          }
        });
  }

  void Close() { stream_.close(); }

 private:
  void Answer() {
    const auto& request = parser_->get();
    response_ = {};
    response_.version(request.version());
    response_.keep_alive(request.keep_alive());
    response_.set(http::field::content_type, "text/plain");
    const std::string_view path(request.target().data(),
                                request.target().size());
    if (request.method() != http::verb::get) {
      response_.result(http::status::method_not_allowed);
    } else if (path == platform::kReadinessPath || path == "/readyz") {
      const bool ready = handlers_.ready();
      response_.result(ready ? http::status::ok
                             : http::status::service_unavailable);
      response_.body() = ready ? "ready\n" : "not ready\n";
    } else if (path == "/metrics") {
      response_.result(http::status::ok);
      response_.body() = handlers_.metrics();
    } else {
      response_.result(http::status::not_found);
    }
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (!error && self->response_.keep_alive()) {
            self->Read();
          }
        });
  }

  beast::tcp_stream stream_;
  const handlers& handlers_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

readiness_server::readiness_server(net::io_context& context, handlers handlers)
    : handlers_(std::move(handlers)),
      listener_(context,
                log_part::kHttp,
                kAcceptPause,
                [this](tcp::socket socket) { Add(std::move(socket)); }) {}

void readiness_server::Add(tcp::socket socket) {
  std::erase_if(sessions_, [](const auto& each) { return each.expired(); });
  if (sessions_.size() >= kMaxConnections) {
    if (const auto oldest = sessions_.front().lock()) {
      oldest->Close();
    }
    sessions_.pop_front();
    ++closed_;
    if (const time_point now = BootNow(); now >= next_note_) {
      next_note_ = now + kNoteInterval;
      Log(log_level::kWarning, log_part::kHttp,
          "limit readiness_connections: the oldest of {} connections is "
          "closed; {} so far.",
          kMaxConnections, closed_);
    }
  }
  const auto added = std::make_shared<session>(std::move(socket), handlers_);
  sessions_.push_back(added);
  added->Read();
}

status readiness_server::Listen(const std::string& address) {
  if (status problem =
          listener_.Listen(address, net::socket_base::max_listen_connections)) {
    return problem;
  }
  listener_.Start();
  return std::nullopt;
}

}  // namespace tarragondale::runtime
