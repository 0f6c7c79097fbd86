// Blocking sockets, lines and HTTP for the stand-ins of the review. Loopback
// addresses only.
#ifndef TARRAGONDALE_REVIEW_STANDIN_NET_H_
#define TARRAGONDALE_REVIEW_STANDIN_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review {

/// @brief Milliseconds since the first call in this process.
int64_t NowMs();
void SleepMs(int64_t duration_ms);

/// @brief Writes `record.txt` and standard output. Thread-safe.
class record {
 public:
  /// @brief Opens the file; call once before `Line`.
  static void Open(const std::string& path);
  /// @brief Writes one line, preceded by the time.
  static void Line(const std::string& text);
};

/// @brief `IP:PORT`.
int Connect(const std::string& address);
void CloseSocket(int socket);
bool SendAll(int socket, std::string_view bytes);

/// @brief Reads a byte stream line by line or by count.
class input {
 public:
  explicit input(int socket) : socket_(socket) {}

  /// @brief The next line without its CR LF; empty at the end of the stream or
  /// after `limit_ms` (0: no limit).
  std::optional<std::string> Line(int64_t limit_ms = 0);
  std::optional<std::string> Bytes(size_t count);
  /// @brief Whether the stream ended, as opposed to a time limit.
  bool ended() const { return ended_; }

 private:
  bool Fill(int64_t until_ms);

  int socket_;
  std::string buffer_;
  bool ended_ = false;
};

/// @brief Accepts connections and serves each on a thread of its own.
class server {
 public:
  using handler = std::function<void(int socket)>;

  server(const std::string& address, handler serve);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// @brief Closes the listening socket and all connections.
  void Stop();

 private:
  void Accept();

  handler serve_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
  std::mutex mutex_;
  std::list<int> sockets_;
  std::list<std::thread> served_;
};

struct http_call {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};
struct http_answer {
  int status = 200;
  std::string body = "{}";
};

/// @brief Serves HTTP/1.1 with kept connections until the stream ends.
void ServeHttp(int socket,
               const std::function<http_answer(const http_call&)>& handle);
/// @brief Status of `GET path`; 0: no answer.
int HttpGet(const std::string& address, const std::string& path);

std::string Base64Encode(std::string_view bytes);
std::string Base64Decode(std::string_view text);

}  // namespace review

#endif  // TARRAGONDALE_REVIEW_STANDIN_NET_H_
