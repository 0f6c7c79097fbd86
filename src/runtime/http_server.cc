// Listens for caller connections and routes answers to them.
#include "src/runtime/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <utility>

#include "src/runtime/http_session.h"
#include "src/runtime/listener.h"

namespace tarragondale::runtime {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Delay before the next accept after a failure, for example when the process
// has no free file descriptor.
constexpr duration kAcceptRetry = milliseconds(100);

}  // namespace

class http_server::impl {
 public:
  impl(http_options options, http_handlers handlers)
      : options_(std::move(options)),
        handlers_(std::move(handlers)),
        shared_{.options = options_,
                .handlers = handlers_,
                .metrics = metrics_},
        listener_(
            context_,
            log_part::kHttp,
            kAcceptRetry,
            [this](tcp::socket socket) { OnConnection(std::move(socket)); }),
        work_(asio::make_work_guard(context_)) {}

  status Listen() {
    if (status problem = listener_.Listen(
            options_.address, asio::socket_base::max_listen_connections)) {
      return problem;
    }
    port_ = listener_.port();
    return std::nullopt;
  }

  status Start() {
    if (!listener_.is_open()) {
      if (const status problem = Listen()) {
        return problem;
      }
    }
    listener_.Start();
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
      listener_.Close();
      ForEachSession([](http_session& session) { session.CloseIfIdle(); });
    });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    asio::post(context_, [this] {
      listener_.Close();
      ForEachSession([](http_session& session) { session.Close(); });
      work_.reset();
    });
    thread_.join();
  }

  uint16_t port() const { return port_; }
  const http_metrics& metrics() const { return metrics_; }

 private:
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
  listener listener_;
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
