// Digests between VMs: what is sent to whom, and what an answer proves.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_EXCHANGE_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_EXCHANGE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/leadership.h"
#include "tarragondale/wire.h"

namespace tarragondale::runtime {

/// @brief Knows the other VMs and the digests sent to and received from each.
/// No I/O.
class fleet_exchange {
 public:
  struct target {
    std::string vm;
    std::string address;
  };

  /// @param seeds Peer addresses that are asked while no VM is known.
  fleet_exchange(std::string self, std::vector<std::string> seeds)
      : self_(std::move(self)), seeds_(std::move(seeds)) {}

  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  void SetFleet(const std::vector<leadership::vm_registration>& vms);

  /// @brief VMs that get a digest now, at most `kFanOut` of them in turn.
  std::vector<target> Targets();

  /// @brief Fills in the sequence and the echo of a digest to `vm`.
  void Stamp(const std::string& vm, time_point now, wire::fleet_digest& digest);

  struct received {
    /// When this VM sent the digest that the sender had received.
    std::optional<time_point> echo_sent;
    /// Operations that the sender admitted since its last digest.
    std::vector<std::pair<std::string, double>> operations;
  };
  /// @brief Takes a digest; empty for one that is outdated.
  std::optional<received> Take(const std::string& vm,
                               const wire::fleet_digest& digest,
                               time_point now);

  /// @brief Address of a VM; empty if it is not known.
  std::string AddressOf(const std::string& vm) const;

  static constexpr size_t kFanOut = 16;

 private:
  struct peer {
    std::string address;
    bool registered = false;
    int64_t incarnation = 0;
    time_point heard;
    uint64_t last_sent = 0;
    uint64_t last_received = 0;
    std::deque<std::pair<uint64_t, time_point>> sent;  ///< Newest last.
    std::map<std::string, uint64_t> admitted;
  };

  const std::string self_;
  std::vector<std::string> seeds_;
  std::map<std::string, peer> peers_;
  size_t next_target_ = 0;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_EXCHANGE_H_
