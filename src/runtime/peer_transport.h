// Messages between VMs over nng: one pull socket to receive, one push socket
// for each VM to send to.
#ifndef TARRAGONDALE_SRC_RUNTIME_PEER_TRANSPORT_H_
#define TARRAGONDALE_SRC_RUNTIME_PEER_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "src/runtime/background_closer.h"
#include "tarragondale/base.h"
#include "tarragondale/wire.h"

namespace tarragondale::runtime {

/// @brief Counters of the transport.
struct peer_metrics {
  std::atomic<uint64_t> sent{0};
  std::atomic<uint64_t> sent_bytes{0};
  std::atomic<uint64_t> received{0};
  std::atomic<uint64_t> received_bytes{0};
  std::atomic<uint64_t> refused_sends{0};  ///< No link, or its buffer is full.
  std::atomic<uint64_t> undecodable{0};
  std::atomic<uint64_t> relinked{0};  ///< Unresponsive links dialled anew.
};

/// @brief Sends each message at most once and never blocks. `Send` returns
/// false only if the message has certainly not left this VM.
class peer_transport {
 public:
  using receiver = std::function<void(wire::message)>;

  /// @param self Name of this VM, the sender of all messages.
  /// @param receive Called on the receiving thread; must not block.
  peer_transport(std::string self, receiver receive);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// @brief Listens on `address` (IP:port). Failure: `setting_invalid`.
  status Start(const std::string& address);

  /// @brief Sends to a VM, dialling it if there is no link yet; a message to a
  /// link that is not up is refused. Thread-safe.
  bool Send(std::string_view vm,
            std::string_view address,
            wire::message_body body);

  /// @brief Dials links anew that carried messages out and none in for `limit`
  /// or did not come up within it, and closes links that were idle for `idle`.
  /// Call about once a second.
  void Maintain(time_point now, duration limit, duration idle);

  /// @brief Closes all sockets and ends the thread.
  void Stop();

  /// @brief Port that the transport listens on, after `Start`.
  uint16_t port() const { return port_; }

  const peer_metrics& metrics() const { return metrics_; }

 private:
  struct link;
  using link_ptr = std::shared_ptr<link>;

  link_ptr Dial(std::string_view address) const;
  void ReceiveLoop();
  void OnMessage(std::string_view bytes);
  bool SendBytes(link& link, const std::string& bytes);

  const std::string self_;
  const receiver receive_;
  const background_closer closer_;
  peer_metrics metrics_;
  std::mutex mutex_;
  std::map<std::string, link_ptr, std::less<>> links_;  // Guarded by mutex_.
  int pull_ = -1;  // nng socket id; -1: none.
  uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_PEER_TRANSPORT_H_
