// Listens for caller connections and routes answers to them.
#include "src/runtime/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <charconv>
#include <utility>

#include "src/runtime/http_session.h"

namespace tarragondale::runtime {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Delay before the next accept after a failure, for example when the process
// has no free file descriptor.
constexpr duration kAcceptRetry = milliseconds(100);

result<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  error_code error;
  uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* const end = address.data() + address.size();
    const auto [stop, problem] =
        std::from_chars(address.data() + colon + 1, end, port);
    if (problem == std::errc() && stop == end) {
      const auto ip = asio::ip::make_address(address.substr(0, colon), error);
      if (!error) {
        return tcp::endpoint(ip, port);
      }
    }
  }
  return failure{result_code::kSettingInvalid,
                 "the address " + address + " is not IP:port"};
}

}  // namespace

class http_server::impl {
 public:
  impl(http_options options, http_handlers handlers)
      : options_(std::move(options)),
        handlers_(std::move(handlers)),
        shared_{.options = options_,
                .handlers = handlers_,
                .metrics = metrics_},
        acceptor_(context_),
        retry_timer_(context_),
        work_(asio::make_work_guard(context_)) {}

  status Listen() {
    const auto endpoint = ParseEndpoint(options_.address);
    if (!endpoint) {
      return endpoint.error();
    }
    error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(*endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return failure{
          result_code::kSettingInvalid,
          "can't listen on " + options_.address + ": " + error.message()};
    }
    port_ = acceptor_.local_endpoint().port();
    return std::nullopt;
  }

  status Start() {
    if (!acceptor_.is_open()) {
      if (const status problem = Listen()) {
        return problem;
      }
    }
    Accept();
    thread_ = std::thread([this] { context_.run(); });
    return std::nullopt;
  }

  void Answer(entry::answer_caller answer) {
    asio::post(context_, [this, answer = std::move(answer)] {
      const auto exchange = shared_.exchanges.find(answer.exchange);
      if (exchange != shared_.exchanges.end()) {
        const auto session = shared_.sessions.at(exchange->second);
        session->OnAnswer(answer);
      }
    });
  }

  void StartDrain() {
    asio::post(context_, [this] { shared_.draining = true; });
  }

  void StopAccepting() {
    asio::post(context_, [this] {
      shared_.draining = true;
      error_code ignored;
      acceptor_.close(ignored);
      ForEachSession([](http_session& session) { session.CloseIfIdle(); });
    });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    asio::post(context_, [this] {
      error_code ignored;
      acceptor_.close(ignored);
      retry_timer_.cancel();
      ForEachSession([](http_session& session) { session.Close(); });
      work_.reset();
    });
    thread_.join();
  }

  uint16_t port() const { return port_; }
  const http_metrics& metrics() const { return metrics_; }

 private:
  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (!acceptor_.is_open()) {
        return;
      }
      if (error) {
        Log(log_level::kWarning, log_part::kHttp,
            "can't accept a connection: {}.", error.message());
        retry_timer_.expires_after(kAcceptRetry);
        retry_timer_.async_wait([this](const error_code& cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
        return;
      }
      OnConnection(std::move(socket));
      Accept();
    });
  }

  void OnConnection(tcp::socket socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const uint64_t connection = ++shared_.last_connection;
    const auto session =
        std::make_shared<http_session>(std::move(socket), connection, shared_);
    const bool full = shared_.sessions.size() >= options_.caller_connections;
    shared_.sessions.emplace(connection, session);
    metrics_.connections.store(shared_.sessions.size(),
                               std::memory_order_relaxed);
    if (full) {
      session->RefuseConnection();
    } else {
      session->Start();
    }
  }

  template <typename Function>
  void ForEachSession(Function function) {
    const auto sessions = shared_.sessions;  // Closing erases from the map.
    for (const auto& [connection, session] : sessions) {
      function(*session);
    }
  }

  const http_options options_;
  const http_handlers handlers_;
  http_metrics metrics_;
  asio::io_context context_{1};
  http_shared shared_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
  uint16_t port_ = 0;
};

http_server::http_server(http_options options, http_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handlers))) {}

http_server::~http_server() {
  impl_->Stop();
}

status http_server::Listen() {
  return impl_->Listen();
}

status http_server::Start() {
  return impl_->Start();
}

void http_server::Answer(entry::answer_caller answer) {
  impl_->Answer(std::move(answer));
}

void http_server::StartDrain() {
  impl_->StartDrain();
}

void http_server::StopAccepting() {
  impl_->StopAccepting();
}

void http_server::Stop() {
  impl_->Stop();
}

uint16_t http_server::port() const {
  return impl_->port();
}

const http_metrics& http_server::metrics() const {
  return impl_->metrics();
}

}  // namespace tarragondale::runtime
