// Evacuated availability zones, as known to this VM.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_EVACUATION_H_
#define TARRAGONDALE_SRC_INTERACTIVE_EVACUATION_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Which availability zones are evacuated, and which ones return from an
/// evacuation. Decides nothing about groups and links.
class evacuation_state {
 public:
  struct zone {
    /// When this VM learned of the evacuation; empty: it has ended.
    std::optional<time_point> since;
    std::optional<time_point> ended;
    bool limit_enforced = false;
    bool complete = false;
  };

  struct changes {
    std::vector<std::string> started;
    std::vector<std::string> ended;
  };

  explicit evacuation_state(const broker_options& options)
      : options_(options) {}

  /// @brief Replaces the set of evacuated zones.
  changes Set(const zone_set& evacuated, time_point now);

  /// @brief Whether any zone is evacuated or returns. False for fleets without
  /// evacuations, which then pay for nothing else.
  bool active() const { return active_; }

  /// @brief Ends the state `active` once the last zone has returned.
  void Expire(time_point now);

  bool IsEvacuated(std::string_view name) const;

  /// @brief Whether the zone has been evacuated for `evacuation_limit` or
  /// longer.
  bool IsPastLimit(std::string_view name, time_point now) const;

  /// @brief The next limit that has not been enforced yet.
  std::optional<time_point> NextLimit() const;

  /// @brief Marks the limits that have passed as enforced; false if there are
  /// none.
  bool TakePassedLimits(time_point now);

  /// @brief Whether the zone returns from an evacuation and a statement with
  /// this hash should run elsewhere. The share of such statements falls
  /// linearly to 0 within `evacuation_return`.
  bool IsWithheld(std::string_view name, uint64_t hash, time_point now) const;

  /// @brief All zones that are or were evacuated.
  std::map<std::string, zone, std::less<>>& zones() { return zones_; }
  const std::map<std::string, zone, std::less<>>& zones() const {
    return zones_;
  }

 private:
  const broker_options& options_;
  std::map<std::string, zone, std::less<>> zones_;
  bool active_ = false;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_EVACUATION_H_
