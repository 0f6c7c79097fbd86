// Answers the balancer's question whether this VM takes sessions, and serves
// metrics.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_READINESS_SERVER_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_READINESS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "src/runtime/listener.h"
#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief Used by one thread.
class readiness_server {
 public:
  struct handlers {
    std::function<bool()> ready;
    std::function<std::string()> metrics;  ///< Prometheus text.
  };

  readiness_server(boost::asio::io_context& context, handlers handlers);

  /// @brief Listens on `address` (IP:port). Failure: `setting_invalid`.
  status Listen(const std::string& address);

  /// @brief Connections that were closed to make room for others.
  uint64_t closed() const { return closed_; }

 private:
  class session;

  // The balancer and monitoring need a few.
  static constexpr size_t kMaxConnections = 32;

  void Add(boost::asio::ip::tcp::socket socket);

  handlers handlers_;
  std::deque<std::weak_ptr<session>> sessions_;  ///< The oldest first.
  uint64_t closed_ = 0;
  time_point next_note_;
  listener listener_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_READINESS_SERVER_H_
