// A deployment of docs/design.md, section 1.4, in one process: stand-ins and
// six daemons on loopback.
#ifndef SRC_MEASURE_CLUSTER_H_
#define SRC_MEASURE_CLUSTER_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "tarragondale/config.h"
#include "tarragondale/runtime.h"
#include "tarragondale/standin.h"

namespace tarragondale::measure {

struct zone {
  std::string_view name;
  std::string_view region;
};

/// @brief Sizes of one deployment. Delays are those of the table, rounded to
/// the whole milliseconds that the stand-in's settings take.
struct deployment {
  std::string_view name;
  std::array<zone, 3> zones;
  int slots;
  int connections;
  milliseconds zone_delay;    ///< One way, between zones of one region.
  milliseconds region_delay;  ///< One way, between regions.
};

/// @brief The deployment with this name; null if there is none.
const deployment* FindDeployment(std::string_view name);

struct cluster_options {
  const deployment* sizes = nullptr;
  int groups = 1;
  config::acknowledge_mode acknowledge = config::acknowledge_mode::kMajority;
};

/// @brief State of a member as the stand-in shows it, past all faults.
struct member_state {
  std::string name;
  bool primary = false;
  int64_t term = 0;
  int64_t position = 0;
};

/// @brief Stand-ins and daemons. Group i has the name `g<i>` and the members
/// `g<i>-a`, `g<i>-b` and `g<i>-c`, one in each zone.
class cluster {
 public:
  static constexpr int kDaemons = 6;

  /// @brief Starts all parts and waits until every daemon is ready and sees
  /// all VMs and primaries. Failure: the part that is not ready.
  static result<std::unique_ptr<cluster>> Start(const cluster_options& options);

  /// @brief `POST` to the stand-in's control port; the body of the answer.
  nlohmann::json Control(std::string_view method,
                         const std::string& path,
                         const nlohmann::json& body = nullptr);

  /// @brief Members of a group, `g<i>-a` first.
  std::vector<member_state> Members(int group);

  /// @brief The primary of the highest term.
  member_state Primary(int group);

  /// @brief Waits until one member is primary and all members hold the same
  /// position of one term. False if that takes longer than `limit`.
  bool WaitSettled(int group, milliseconds limit);

  /// @brief Sets the replication delays of the replicas by their distance
  /// from the present primary.
  void SetReplicationDelays(int group);

  /// @brief Asks the daemons for a switchover until one accepts it.
  bool Switchover(int group, const std::string& member);

  /// @brief Rows of a reading statement at the primary, past all faults.
  nlohmann::json Select(int group, const std::string& sql);

  const std::string& bearer(size_t i) const { return keys_[i % keys_.size()]; }
  uint16_t http_port(int i) const {
    return daemons_[static_cast<size_t>(i)]->http_port();
  }

 private:
  cluster() = default;
  status StartParts(const cluster_options& options);
  status StartDaemons();
  status WriteConfiguration(const cluster_options& options);
  status WaitReady(int groups);
  bool IsReady(int daemon, int groups);

  const deployment* sizes_ = nullptr;
  std::string operator_key_;
  std::vector<std::string> keys_;
  std::unique_ptr<standin::server> parts_;
  std::vector<std::unique_ptr<runtime::daemon>> daemons_;
};

}  // namespace tarragondale::measure

#endif  // SRC_MEASURE_CLUSTER_H_
