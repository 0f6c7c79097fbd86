// A small HTTP/1.1 server on an endpoint.
#ifndef SRC_STANDIN_HTTP_SERVICE_H_
#define SRC_STANDIN_HTTP_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "src/standin/endpoint.h"

namespace tarragondale::standin {

struct http_request {
  std::string method;
  std::string path;
  std::string body;
};

struct http_answer {
  int status = 200;
  std::string body = "{}";
};

/// @brief Writes the parts of a chunked answer.
class chunk_writer {
 public:
  chunk_writer(endpoint& listener, connection& client)
      : listener_(listener), client_(client) {}

  task<void> Begin();
  task<void> Write(std::string_view chunk);

 private:
  endpoint& listener_;
  connection& client_;
};

/// @brief Serves requests of one endpoint.
class http_service {
 public:
  using handler = std::function<http_answer(const http_request&)>;
  /// Streams an answer until the client is gone; `gone` is notified then.
  using stream_handler = std::function<
      task<void>(const http_request&, chunk_writer&, const bool& closed)>;

  http_service(reactor& loop, const std::string& host, handler handle);

  /// @brief Requests for `path` get a streamed answer. `wake` is called when
  /// the client closes the connection.
  void Stream(std::string path,
              stream_handler handle,
              std::function<void()> wake);

  endpoint& listener() { return listener_; }
  const std::map<std::string, int64_t>& calls() const { return calls_; }

 private:
  task<void> Serve(connection& client);
  task<bool> Answer(connection& client, const http_request& request);
  task<void> ServeStream(connection& client, const http_request& request);
  task<void> WriteAnswer(connection& client, const http_answer& answer);

  reactor& loop_;
  handler handle_;
  std::string stream_path_;
  stream_handler stream_;
  std::function<void()> wake_;
  std::map<std::string, int64_t> calls_;  ///< By path.
  endpoint listener_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_HTTP_SERVICE_H_
