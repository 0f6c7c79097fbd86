// Accepts connections.
#ifndef TARRAGONDALE_SRC_RUNTIME_LISTENER_H_
#define TARRAGONDALE_SRC_RUNTIME_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief Listens on one address. After a failure to accept, most likely for
/// want of descriptors, it pauses and goes on. Belongs to the thread that runs
/// `context`, once `Start` was called.
class listener {
 public:
  using handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// @param part Where failures are logged.
  listener(boost::asio::io_context& context,
           log_part part,
           duration pause,
           handler on_connection);

  /// @brief Sets the buffer sizes in bytes of accepted sockets, which the
  /// kernel doubles. Before `Listen`.
  void SetBuffers(int receive, int send) {
    receive_buffer_ = receive;
    send_buffer_ = send;
  }

  /// @brief Listens on `address` (IP:port). Failure: `setting_invalid`.
  status Listen(const std::string& address, int backlog);

  /// @brief Accepts from now on.
  void Start();

  void Close();

  bool is_open() const { return acceptor_.is_open(); }

  /// @brief Port that it listens on, after `Listen`.
  uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  const log_part part_;
  const duration pause_;
  const handler on_connection_;
  int receive_buffer_ = 0;  ///< 0: the kernel's choice.
  int send_buffer_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_timer_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LISTENER_H_
