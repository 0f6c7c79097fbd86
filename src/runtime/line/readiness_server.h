// Answers the balancer's question whether this VM takes sessions, and serves
// metrics.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_READINESS_SERVER_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_READINESS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
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

 private:
  class session;

  handlers handlers_;
  listener listener_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_READINESS_SERVER_H_
