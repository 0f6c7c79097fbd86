// Listening socket by Boost.Asio.
#include "src/runtime/listener.h"

#include <fmt/format.h>

#include <utility>

#include "tarragondale/base/endpoint.h"

namespace tarragondale::runtime {

using boost::asio::ip::tcp;

listener::listener(boost::asio::io_context& context,
                   log_part part,
                   duration pause,
                   handler on_connection)
    : part_(part),
      pause_(pause),
      on_connection_(std::move(on_connection)),
      acceptor_(context),
      pause_timer_(context) {}

status listener::Listen(const std::string& address, int backlog) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return failure{result_code::kSettingInvalid,
                   fmt::format("the address {} is not IP:port", address)};
  }
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (receive_buffer_ != 0) {
      // Accepted sockets inherit them.
      acceptor_.set_option(
          boost::asio::socket_base::receive_buffer_size(receive_buffer_),
          error);
      acceptor_.set_option(
          boost::asio::socket_base::send_buffer_size(send_buffer_), error);
    }
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(backlog, error);
  }
  if (error) {
    return failure{
        result_code::kSettingInvalid,
        fmt::format("can't listen on {}: {}", address, error.message())};
  }
  return std::nullopt;
}

void listener::Start() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (!error) {
          on_connection_(std::move(socket));
          return Start();
        }
        Log(log_level::kWarning, part_, "can't accept a connection: {}.",
            error.message());
        pause_timer_.expires_after(pause_);
        pause_timer_.async_wait([this](boost::system::error_code cancelled) {
          if (!cancelled) {
            Start();
          }
        });
      });
}

void listener::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_timer_.cancel();
}

}  // namespace tarragondale::runtime
