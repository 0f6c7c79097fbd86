// One TCP connection that carries lines.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_CONNECTION_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief Reads lines and writes text, both without blocking. Used by one
/// thread. Invariant: after `closed` was called no handler is called again.
class line_connection : public std::enable_shared_from_this<line_connection> {
 public:
  struct handlers {
    std::function<void(std::string line)> line;
    /// The other side closed, or the connection failed.
    std::function<void(const std::string& reason)> closed;
    /// Optional. The bytes received that belong to no complete line, if they
    /// have changed, and whether lines were completed.
    std::function<void(size_t unread, bool completed)> unread = {};
    /// Optional. Text that had to wait was written.
    std::function<void()> written = {};
  };

  explicit line_connection(boost::asio::ip::tcp::socket socket);

  /// @brief Handlers must be set before `Start` or `Connect`.
  void SetHandlers(handlers handlers) { handlers_ = std::move(handlers); }

  /// @brief Starts reading an accepted connection.
  void Start();

  /// @brief Connects, writes `greeting`, and reads. `closed` is called if that
  /// takes longer than `limit`; `Established` ends the limit.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
               std::string greeting,
               duration limit);
  void Established() { limit_.cancel(); }

  void Write(std::string text);

  /// @brief Bytes of text that the socket has not taken.
  size_t unsent() const {
    return queued_.size() + (writes_ ? writing_.size() : 0);
  }

  /// @brief Stops to take lines and to read, also from within a handler.
  void Pause() { paused_ = true; }
  void Resume();

  /// @brief Whether input has arrived that was not read.
  bool HasArrivedInput() const {
    boost::system::error_code error;
    return socket_.available(error) > 0;
  }

  /// @brief Called once when the socket is closed, in whatever way.
  void OnClose(std::function<void()> hook) { close_hook_ = std::move(hook); }

  /// @brief Reads what has arrived, without waiting, and returns its complete
  /// lines, which no handler gets. For a connection that is about to be closed.
  std::vector<std::string> TakeArrivedLines();

  /// @brief Closes after all text was written, or after `kCloseLimit`. No
  /// handler is called any more.
  void CloseAfterWrites();

  /// @brief Closes at once. No handler is called any more.
  void Close();

 private:
  void SetOptions();
  void Read();
  void TakeLines();
  void WriteNext();
  void Fail(const std::string& reason);

  // Text that waits for a slow reader beyond this closes the connection.
  static constexpr size_t kMaxQueuedBytes = 8U << 20;
  static constexpr size_t kReadBytes = 2048;
  // For a reader that is slow to take the last text.
  static constexpr duration kCloseLimit = seconds(5);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer limit_;
  handlers handlers_;
  platform::line_reader reader_;
  std::array<char, kReadBytes> input_;
  std::string writing_;  ///< Being written.
  std::string queued_;   ///< To be written next.
  std::function<void()> close_hook_;
  size_t reported_unread_ = 0;
  bool connected_ = false;
  bool reads_ = false;  ///< A read is in progress.
  bool takes_ = false;  ///< Within `TakeLines`.
  bool paused_ = false;
  bool writes_ = false;
  bool closing_ = false;
  bool closed_ = false;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_CONNECTION_H_
