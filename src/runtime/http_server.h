// HTTP/1.1 front end for callers and operators, by Boost.Beast on one thread.
#ifndef TARRAGONDALE_SRC_RUNTIME_HTTP_SERVER_H_
#define TARRAGONDALE_SRC_RUNTIME_HTTP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "src/runtime/request_decoder.h"
#include "tarragondale/base.h"
#include "tarragondale/entry.h"

namespace tarragondale::runtime {

struct http_options {
  std::string address;              ///< IP:port to listen on; port 0: any.
  uint64_t origin = 0;              ///< `origin` of the ids of early refusals.
  size_t body_bytes = 1U << 20;     ///< Largest request body.
  size_t header_bytes = 16U << 10;  ///< Largest request header.
  duration header_timeout = seconds(5);  ///< For a header, then for a body.
  duration idle_timeout = seconds(60);   ///< Between requests, and to write.
  size_t caller_connections = 10'000;
  /// SHA-256 of the operator key, 32 raw bytes; empty: admin is off.
  std::string operator_key_digest;
};

/// @brief What the front end needs of the daemon. All are called on the HTTP
/// thread and must not block.
struct http_handlers {
  /// Takes a request; false if there is no room (`overloaded`).
  std::function<bool(entry::caller_request)> submit;
  std::function<void(uint64_t connection)> caller_gone;
  /// An answer of the entry is written, `span` after its request was read.
  std::function<void(result_code code, duration span)> answered;
  std::function<bool()> is_ready;
  std::function<std::string()> metrics;  ///< Prometheus text.
  std::function<std::string()> status;   ///< JSON for `/v1/admin/status`.
  std::function<void()> drain;
  /// Starts a switchover; false if another VM coordinates the group.
  std::function<bool(switchover_request)> switchover;
};

/// @brief Counters of the front end.
struct http_metrics {
  std::atomic<uint64_t> connections{0};  ///< Open now.
  std::atomic<uint64_t> requests{0};
  std::atomic<uint64_t> early_refusals{0};
};

/// @brief The front end. Each caller connection carries one request at a time;
/// a second one waits unread. Every exchange is answered at most once; an
/// answer to an exchange that has ended is dropped.
class http_server {
 public:
  http_server(http_options options, http_handlers handlers);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @brief Listens and starts the thread. Failure: `setting_invalid` if the
  /// address can't be listened on.
  status Start();

  /// @brief Takes the address without serving, so that the port is known.
  /// `Start` does it if it was not done before.
  status Listen();

  /// @brief Sends an answer. Thread-safe.
  void Answer(entry::answer_caller answer);

  /// @brief Fails `/readyz` and closes each connection after its next answer,
  /// so that callers move to other VMs; requests are still taken. Thread-safe.
  void StartDrain();

  /// @brief Takes no new connections and closes idle ones. Thread-safe.
  void StopAccepting();

  /// @brief Closes all connections and ends the thread.
  void Stop();

  /// @brief Port that the server listens on, after `Start` or `Listen`.
  uint16_t port() const;

  const http_metrics& metrics() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_HTTP_SERVER_H_
