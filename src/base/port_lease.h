// Ports of a test process for programs that listen later. Test support.
#ifndef TARRAGONDALE_SRC_BASE_PORT_LEASE_H_
#define TARRAGONDALE_SRC_BASE_PORT_LEASE_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace tarragondale {

/// @brief Leases TCP ports of 127.0.0.1 until it is destroyed.
///
/// A port that was merely found free goes to any socket that asks the kernel
/// for one before the program listens. Leased ports are below those that the
/// kernel hands out, and a UDP socket bound to the number keeps other processes
/// from leasing it.
class port_lease {
 public:
  /// Below `net.ipv4.ip_local_port_range`, whose default begins at 32,768.
  static constexpr uint16_t kFirstPort = 20'000;
  static constexpr uint16_t kLastPort = 31'999;

  port_lease() = default;
  port_lease(const port_lease&) = delete;
  port_lease& operator=(const port_lease&) = delete;
  ~port_lease() {
    for (const int held : held_) {
      close(held);
    }
  }

  /// @brief Leases a port on which nobody listens. Throws if there is none.
  uint16_t Take() {
    constexpr uint32_t kPorts = kLastPort - kFirstPort + 1;
    // Processes begin at different places, which saves attempts.
    const auto begin = static_cast<uint32_t>(getpid()) * 64;
    for (uint32_t i = 0; i < kPorts; ++i) {
      const auto port =
          static_cast<uint16_t>(kFirstPort + (begin + i) % kPorts);
      const std::optional<int> held = Bind(SOCK_DGRAM, port);
      if (!held) {
        continue;
      }
      if (const std::optional<int> probe = Bind(SOCK_STREAM, port)) {
        close(*probe);
        held_.push_back(*held);
        return port;
      }
      close(*held);
    }
    throw std::runtime_error("no port can be leased");
  }

  std::string TakeAddress() { return "127.0.0.1:" + std::to_string(Take()); }

 private:
  static std::optional<int> Bind(int type, uint16_t port) {
    const int bound = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (bound < 0) {
      return std::nullopt;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(bound, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0) {
      close(bound);
      return std::nullopt;
    }
    return bound;
  }

  std::vector<int> held_;
};

}  // namespace tarragondale

#endif  // TARRAGONDALE_SRC_BASE_PORT_LEASE_H_
