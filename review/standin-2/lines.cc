// Lines over a blocking TCP socket.
#include "review/standin-2/lines.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace tarragondale::review {
namespace {

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool Await(int fd, short events, milliseconds limit) {
  pollfd polled{fd, events, 0};
  return poll(&polled, 1, static_cast<int>(limit.count())) == 1;
}

}  // namespace

int64_t NowMs() {
  static const time_point first = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - first)
      .count();
}

void Pause(milliseconds span) {
  std::this_thread::sleep_for(span);
}

std::vector<std::string> Words(std::string_view text) {
  std::vector<std::string> words;
  std::istringstream in{std::string(text)};
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

line_socket::line_socket(line_socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      ended_(other.ended_),
      buffer_(std::move(other.buffer_)) {}

line_socket& line_socket::operator=(line_socket&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  ended_ = other.ended_;
  buffer_ = std::move(other.buffer_);
  return *this;
}

line_socket line_socket::Connect(uint16_t port, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer != 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in to = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return line_socket();
  }
  SetNoDelay(fd);
  return line_socket(fd);
}

void line_socket::Close() {
  if (fd_ >= 0) {
    shutdown(fd_, SHUT_RDWR);
    close(std::exchange(fd_, -1));
  }
}

bool line_socket::Send(std::string_view text, milliseconds limit) {
  while (!text.empty() && open()) {
    if (!Await(fd_, POLLOUT, limit)) {
      return false;
    }
    const ssize_t count =
        send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) {
      ended_ = true;
      return false;
    }
    text.remove_prefix(count < 0 ? 0 : static_cast<size_t>(count));
  }
  return open();
}

std::optional<std::string> line_socket::Line(milliseconds limit) {
  size_t scanned = 0;
  while (true) {
    const size_t end = buffer_.find("\r\n", scanned);
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return line;
    }
    scanned = buffer_.empty() ? 0 : buffer_.size() - 1;
    constexpr size_t kMost = 64U << 10U;
    std::string more = Some(kMost, limit);
    if (more.empty()) {
      return std::nullopt;
    }
    buffer_ += more;
  }
}

std::optional<std::string> line_socket::Bytes(size_t count) {
  while (buffer_.size() < count) {
    const std::string more = Some(count - buffer_.size());
    if (more.empty()) {
      return std::nullopt;
    }
    buffer_ += more;
  }
  std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return bytes;
}

std::string line_socket::Some(size_t most, milliseconds limit) {
  if (!open() || !Await(fd_, POLLIN, limit)) {
    return {};
  }
  std::string bytes(most, '\0');
  const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    ended_ = true;
    return {};
  }
  bytes.resize(static_cast<size_t>(count));
  return bytes;
}

listener::listener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in to = Loopback(0);
  socklen_t size = sizeof(to);
  constexpr int kBacklog = 1024;
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
      listen(fd_, kBacklog) != 0 ||
      getsockname(fd_, reinterpret_cast<sockaddr*>(&to), &size) != 0) {
    throw std::runtime_error("can't listen on loopback");
  }
  port_ = ntohs(to.sin_port);
}

listener::~listener() {
  close(fd_);
}

std::optional<line_socket> listener::Accept() const {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd < 0) {
    return std::nullopt;
  }
  SetNoDelay(fd);
  return line_socket(fd);
}

void listener::Stop() const {
  shutdown(fd_, SHUT_RDWR);
}

uint16_t FreePort() {
  const listener free;
  return free.port();
}

std::string LoopbackAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace tarragondale::review
