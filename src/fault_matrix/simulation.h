// Virtual time and a network that can cut, delay, drop and reorder. Test
// support: deterministic for a seed, no threads.
#ifndef SRC_FAULT_MATRIX_SIMULATION_H_
#define SRC_FAULT_MATRIX_SIMULATION_H_

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::fault_matrix {

class simulation {
 public:
  using callback = std::function<void()>;

  explicit simulation(uint64_t seed) : random_(seed) {}

  time_point now() const { return now_; }
  void At(time_point when, callback run);
  void After(duration delay, callback run) { At(now_ + delay, std::move(run)); }
  /// @brief Runs the next callback; false if there is none before `end`.
  bool RunOne(time_point end);
  /// @brief Uniform number in [0, bound).
  int64_t Random(int64_t bound);

 private:
  struct entry {
    time_point when;
    uint64_t sequence;
    callback run;
    bool operator<(const entry& other) const {
      return std::pair(when, sequence) > std::pair(other.when, other.sequence);
    }
  };

  time_point now_ = TimeFromMs(0);
  uint64_t sequence_ = 0;
  std::priority_queue<entry> queue_;
  std::mt19937_64 random_;
};

struct location {
  std::string zone;
  std::string region;
};

/// @brief Delivers callbacks between named nodes with the latencies of design
/// section 1.4. Messages may overtake each other unless they share a channel.
class network {
 public:
  explicit network(simulation& sim) : sim_(sim) {}

  void Place(const std::string& node, const location& where) {
    places_[node] = where;
  }
  const location& Where(const std::string& node) const {
    return places_.at(node);
  }
  /// @brief Cuts or restores both directions; cuts are counted.
  void Cut(const std::string& a, const std::string& b, bool cut);
  bool IsCut(const std::string& a, const std::string& b) const;
  /// @brief Adds up to `most` to every message while set.
  void SetExtraDelay(duration most) { extra_ = most; }

  void Send(const std::string& from,
            const std::string& to,
            simulation::callback run,
            uint64_t channel = 0);

 private:
  simulation& sim_;
  std::map<std::string, location> places_;
  std::map<std::pair<std::string, std::string>, int> cuts_;
  /// Latest delivery on a channel and direction, which keeps its order.
  std::map<std::pair<uint64_t, std::string>, time_point> channels_;
  duration extra_{0};
};

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_SIMULATION_H_
