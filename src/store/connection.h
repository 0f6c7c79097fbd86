// One HTTP connection to the key-value service. Calls wait on the caller's
// thread, each with a deadline; another thread can interrupt them.
#ifndef TARRAGONDALE_SRC_STORE_CONNECTION_H_
#define TARRAGONDALE_SRC_STORE_CONNECTION_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

#include "tarragondale/base.h"

namespace tarragondale::store {

/// @brief Largest answer, and largest watch message: a whole configuration.
inline constexpr size_t kMaxAnswerBytes = 64 * 1024 * 1024;

class connection {
 public:
  struct http_answer {
    unsigned status = 0;
    std::string body;
  };

  connection() : timer_(context_) {}

  /// @brief Connects, or keeps the connection if it goes to this endpoint and
  /// the other side has not closed it.
  status Open(const std::string& endpoint, time_point deadline);

  /// @brief Sends a request. A failure does not tell whether it arrived.
  status Send(const std::string& path,
              const std::string& body,
              time_point deadline);

  /// @brief Receives the whole answer.
  result<http_answer> Receive(time_point deadline);

  /// @brief Receives the head of an answer that is a stream; gives its status.
  result<unsigned> ReceiveHead(time_point deadline);

  /// @brief Next line of the stream that is not empty, without its end; no time
  /// limit.
  result<std::string> ReceiveLine();

  void Close();

  /// @brief Waits; returns early if interrupted.
  void Pause(milliseconds span);

  /// @brief Closes the connection and ends the running call or pause. From any
  /// thread.
  void Interrupt();

  /// @brief Interrupts and makes all later calls fail. From any thread.
  void Stop();
  bool stopped() const { return stopped_; }

 private:
  using parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Run();
  void SetDeadline(time_point deadline);
  bool Usable(const std::string& endpoint);
  status Done(const char* step);

  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_;
  std::optional<boost::beast::tcp_stream> stream_;
  std::string endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  std::string pending_;  ///< Bytes of the stream after the last line.
  size_t scanned_ = 0;   ///< Bytes of `pending_` that contain no line end.
  boost::beast::error_code error_;
  std::atomic<bool> stopped_{false};
};

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_SRC_STORE_CONNECTION_H_
