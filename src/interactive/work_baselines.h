// Expected work of statements, learned by route and kind.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_WORK_BASELINES_H_
#define TARRAGONDALE_SRC_INTERACTIVE_WORK_BASELINES_H_

#include <map>
#include <string>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Statements that are expected to need similar work.
struct work_key {
  std::string route;
  statement_kind kind = statement_kind::kRead;
  bool writes = false;
  bool in_transaction = false;

  auto operator<=>(const work_key&) const = default;
};

/// @brief Expected response times without the round trip, at a member of usual
/// speed. They change slowly, over hundreds of statements, so that a member
/// that is slow for seconds doesn't become the usual.
class work_baselines {
 public:
  /// @brief Geometric mean, against which a response time is judged.
  duration Typical(const work_key& key) const { return Find(key).typical; }
  /// @brief Arithmetic mean, for predictions.
  duration Mean(const work_key& key) const { return Find(key).mean; }

  /// @param work Response time without the round trip.
  /// @param slowness Of the member that answered (`capacity_estimate`).
  void Add(const work_key& key, duration work, double slowness);

  bool Knows(const work_key& key) const { return known_.contains(key); }
  size_t size() const { return known_.size(); }

 private:
  struct baseline {
    duration typical = milliseconds(15);
    duration mean = milliseconds(15);
    int samples = 0;
  };
  baseline Find(const work_key& key) const;

  std::map<work_key, baseline> known_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_WORK_BASELINES_H_
