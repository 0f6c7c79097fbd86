// Lines over a blocking TCP socket, and small helpers for addresses and time.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_LINES_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_LINES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragondale::review {

using milliseconds = std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

/// @brief Milliseconds since the first call in this process.
int64_t NowMs();

/// @brief Sleeps for `span`.
void Pause(milliseconds span);

std::vector<std::string> Words(std::string_view text);

/// @brief A connected socket; closes it at the end.
class line_socket {
 public:
  line_socket() = default;
  explicit line_socket(int fd) : fd_(fd) {}
  ~line_socket() { Close(); }
  line_socket(line_socket&& other) noexcept;
  line_socket& operator=(line_socket&& other) noexcept;
  line_socket(const line_socket&) = delete;
  line_socket& operator=(const line_socket&) = delete;

  /// @param receive_buffer Bytes; 0: the system's default.
  static line_socket Connect(uint16_t port, int receive_buffer = 0);

  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close();

  /// @brief Returns false if the connection broke or `limit` passed.
  bool Send(std::string_view text, milliseconds limit = milliseconds(20'000));
  /// @brief The next line without its end; empty if the connection ended or
  /// `limit` passed.
  std::optional<std::string> Line(milliseconds limit = milliseconds(20'000));
  /// @brief Exactly `count` bytes; empty if the connection ended before.
  std::optional<std::string> Bytes(size_t count);
  /// @brief At most `most` bytes; empty at the end of the connection.
  std::string Some(size_t most, milliseconds limit = milliseconds(20'000));
  /// @brief Whether the other side ended the connection.
  bool ended() const { return ended_; }

 private:
  int fd_ = -1;
  bool ended_ = false;
  std::string buffer_;
};

/// @brief Listens on a free loopback port.
class listener {
 public:
  listener();
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  uint16_t port() const { return port_; }
  /// @brief Empty once `Stop` was called.
  std::optional<line_socket> Accept() const;
  void Stop() const;

 private:
  int fd_ = -1;
  uint16_t port_ = 0;
};

/// @brief A loopback port that is free now.
uint16_t FreePort();

std::string LoopbackAddress(uint16_t port);

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_LINES_H_
