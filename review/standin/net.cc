#include "review/standin/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace review {
namespace {

std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in AddressOf(const std::string& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  const size_t colon = address.find(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  const int64_t port =
      std::strtol(address.substr(colon + 1).c_str(), nullptr, 10);
  result.sin_port = htons(static_cast<uint16_t>(port));
  return result;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Decoded(std::string_view text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const std::string digits(text.substr(i + 1, 2));
      result += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

void ParseTarget(std::string_view target, http_call& call) {
  const size_t mark = target.find('?');
  call.path = Decoded(target.substr(0, mark));
  if (mark == std::string_view::npos) {
    return;
  }
  target.remove_prefix(mark + 1);
  while (!target.empty()) {
    const size_t end = target.find('&');
    const std::string_view pair = target.substr(0, end);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      call.query[Decoded(pair.substr(0, equals))] =
          Decoded(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      return;
    }
    target.remove_prefix(end + 1);
  }
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t duration_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

void record::Open(const std::string& path) {
  NowMs();
  record_file.open(path);
}

void record::Line(const std::string& text) {
  const std::lock_guard lock(record_mutex);
  const int64_t now = NowMs();
  const std::string line = std::to_string(now / 1000) + "." +
                           std::to_string(1000 + now % 1000).substr(1) + " " +
                           text;
  record_file << line << std::endl;
}

int Connect(const std::string& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = AddressOf(address);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(socket);
    return -1;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

void CloseSocket(int socket) {
  if (socket >= 0) {
    close(socket);
  }
}

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool input::Fill(int64_t until_ms) {
  pollfd readable{socket_, POLLIN, 0};
  int64_t wait = -1;
  if (until_ms > 0) {
    wait = std::max<int64_t>(0, until_ms - NowMs());
  }
  if (poll(&readable, 1, static_cast<int>(wait)) == 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
  if (count <= 0) {
    ended_ = true;
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(count));
  return true;
}

std::optional<std::string> input::Line(int64_t limit_ms) {
  const int64_t until = limit_ms > 0 ? NowMs() + limit_ms : 0;
  size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

std::optional<std::string> input::Bytes(size_t count) {
  while (buffer_.size() < count) {
    if (!Fill(0)) {
      return std::nullopt;
    }
  }
  std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return bytes;
}

server::server(const std::string& address, handler serve)
    : serve_(std::move(serve)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = AddressOf(address);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      listen(listener_, 256) != 0) {
    record::Line("can't listen on " + address);
    std::_Exit(2);
  }
  thread_ = std::thread([this] { Accept(); });
}

server::~server() {
  Stop();
}

void server::Accept() {
  while (!stopping_) {
    pollfd readable{listener_, POLLIN, 0};
    if (poll(&readable, 1, 50) <= 0) {
      continue;
    }
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    sockets_.push_back(socket);
    served_.emplace_back([this, socket] {
      serve_(socket);
      const std::lock_guard serving(mutex_);
      sockets_.remove(socket);
      close(socket);
    });
  }
}

void server::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  thread_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& each : served_) {
    each.join();
  }
}

void ServeHttp(int socket,
               const std::function<http_answer(const http_call&)>& handle) {
  input stream(socket);
  while (true) {
    const auto first = stream.Line();
    if (!first) {
      return;
    }
    http_call call;
    const size_t blank = first->find(' ');
    call.method = first->substr(0, blank);
    const size_t end = first->rfind(' ');
    ParseTarget(std::string_view(*first).substr(blank + 1, end - blank - 1),
                call);
    size_t length = 0;
    while (true) {
      const auto line = stream.Line();
      if (!line) {
        return;
      }
      if (line->empty()) {
        break;
      }
      const size_t colon = line->find(':');
      const std::string name = Lower(line->substr(0, colon));
      const size_t from = line->find_first_not_of(' ', colon + 1);
      const std::string value =
          from == std::string::npos ? std::string() : line->substr(from);
      call.headers[name] = value;
      if (name == "content-length") {
        length = std::strtoul(value.c_str(), nullptr, 10);
      }
    }
    const auto body = stream.Bytes(length);
    if (!body) {
      return;
    }
    call.body = *body;
    const http_answer answer = handle(call);
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(answer.status) +
                             " -\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(answer.body.size()) + "\r\n\r\n" +
                             answer.body)) {
      return;
    }
  }
}

int HttpGet(const std::string& address, const std::string& path) {
  const int socket = Connect(address);
  if (socket < 0) {
    return 0;
  }
  int status = 0;
  if (SendAll(socket, "GET " + path + " HTTP/1.1\r\nHost: " + address +
                          "\r\nConnection: close\r\n\r\n")) {
    input stream(socket);
    const auto line = stream.Line(1000);
    if (line && line->size() > 12) {
      status = static_cast<int>(std::strtol(line->c_str() + 9, nullptr, 10));
    }
  }
  CloseSocket(socket);
  return status;
}

namespace {
constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}  // namespace

std::string Base64Encode(std::string_view bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (i + j < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + j]);
      }
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size()
                  ? '='
                  : kBase64Digits[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return text;
}

std::string Base64Decode(std::string_view text) {
  std::string bytes;
  uint32_t group = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const size_t digit = kBase64Digits.find(c);
    if (digit == std::string_view::npos) {
      break;
    }
    group = (group << 6U) | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 255U);
    }
  }
  return bytes;
}

}  // namespace review
