// The rest of the fleet for one VM under measurement: peers that answer and
// send probes as the membership protocol has them, without running them.
#ifndef TARRAGONDALE_SRC_CAPACITY_SCRIPTED_FLEET_H_
#define TARRAGONDALE_SRC_CAPACITY_SCRIPTED_FLEET_H_

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "tarragondale/fleet.h"

namespace tarragondale::capacity {

struct scripted_message {
  time_point at;
  wire::message message;
};

/// @brief Changes of the fleet each day, the target's for 4,700 VMs.
struct churn {
  double failures_per_day = 0;
  double replacements_per_day = 0;
};

/// @brief Peers of VM 0. Each probes one VM for each interval, so that VM 0
/// gets two probes a second on average. A peer's gossip is its own record, one
/// random record and changed records as long as the protocol repeats them.
class scripted_fleet {
 public:
  scripted_fleet(int vms, churn rates, uint64_t seed);

  /// @brief Records of all VMs that run now, for a seed list.
  std::vector<wire::vm_record> Records() const;

  /// @brief Next message to VM 0 until `end`; empty: none.
  std::optional<scripted_message> Next(time_point end);
  /// @brief When the next message is due.
  time_point NextTime() const { return queue_.top().at; }

  /// @brief VM 0 sent this message.
  void Take(time_point now,
            const std::string& vm,
            const wire::message_body& body);

  int changes() const { return changes_; }
  size_t size() const { return peers_.size() + 1; }

 private:
  enum class kind : uint8_t { kProbe, kAnswer, kFailure, kReplacement };

  struct pending {
    time_point at;
    kind what = kind::kProbe;
    std::string peer;
    wire::probe probe;  // To answer.
    bool operator<(const pending& other) const { return at > other.at; }
  };

  struct rumour {
    time_point known;  // When a typical peer has heard of it.
    wire::vm_record record;
  };

  void Schedule(time_point now, kind what, double rate_per_second);
  void Fail(time_point now);
  void Replace(time_point now);
  void Tell(time_point at, wire::vm_record record, wire::vm_state state);
  std::vector<wire::vm_record> Gossip(time_point now, const std::string& peer);
  size_t RandomPeer() { return random_() % peers_.size(); }

  std::vector<wire::vm_record> peers_;
  std::vector<rumour> rumours_;
  std::priority_queue<pending> queue_;
  std::mt19937_64 random_;
  churn rates_;
  uint64_t sequence_ = 0;
  int next_index_;
  int changes_ = 0;
};

}  // namespace tarragondale::capacity

#endif  // TARRAGONDALE_SRC_CAPACITY_SCRIPTED_FLEET_H_
