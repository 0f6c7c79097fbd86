// HTTP calls to one service of the platform, without blocking.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_HTTP_CHANNEL_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_HTTP_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief What became of a call.
struct http_outcome {
  bool sent = false;  ///< The call may have arrived.
  platform::http_answer answer;
  std::string error;
};

/// @brief Keeps connections to a service open and runs one call at a time on
/// each. If a kept connection does not answer, the others that were silent
/// meanwhile are closed, and their calls end without an answer. Used by one
/// thread.
///
/// Invariant: a call that ended without an answer has arrived before it ended,
/// or never arrives, whatever the network held up: its connection is reset.
class http_channel {
 public:
  using callback = std::function<void(http_outcome)>;

  /// @param address IP:port.
  http_channel(boost::asio::io_context& context, const std::string& address);
  ~http_channel();
  http_channel(const http_channel&) = delete;
  http_channel& operator=(const http_channel&) = delete;

  /// @brief Sends later calls to `address`; running ones go on.
  void SetAddress(const std::string& address);

  /// @brief Calls `done` once, and never before returning. A call ends without
  /// an answer when nothing of it arrived for `limit`.
  void Call(const platform::http_request& request,
            duration limit,
            callback done);

  /// @brief When a part of a long answer arrived last.
  std::chrono::steady_clock::time_point last_progress() const;

 private:
  class connection;
  struct pool;

  std::shared_ptr<connection> TakeIdle();

  boost::asio::io_context& context_;
  std::string address_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::shared_ptr<pool> pool_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_HTTP_CHANNEL_H_
