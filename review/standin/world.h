// A small deployment for the scenarios: the platform, the members of one
// service, and the doors between each VM and the platform.
#ifndef TARRAGONDALE_REVIEW_STANDIN_WORLD_H_
#define TARRAGONDALE_REVIEW_STANDIN_WORLD_H_

#include <memory>
#include <string>
#include <vector>

#include "review/standin/client.h"
#include "review/standin/door.h"
#include "review/standin/group.h"
#include "review/standin/store.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// @brief A route of the operator's configuration.
struct route {
  std::string database;
  std::string kind;
  int64_t timeout_ms = 800;
};

/// @brief Command line of a scenario: address prefix, record file, whether the
/// disruption happens, temporary folder.
struct world {
  world(char** arguments, int vms, const group_options& options);
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  std::string Address(int host, int port) const;
  std::string MemberAddress(int number) const;
  std::string Front(int vm) const { return Address(10 + vm, 8465); }

  /// @param keys By tenant.
  void PutConfiguration(
      int64_t version,
      const std::vector<route>& routes,
      const std::map<std::string, std::vector<std::string>>& keys);
  /// @brief Tells the script to start the VMs, and waits until all are ready.
  bool StartVms();
  /// @brief Process of a VM that the script started.
  int ProcessOf(int vm) const;

  const std::string prefix;
  const bool trouble;
  const std::string folder;
  const int vms;
  const group_options members;
  store platform_store;
  group service;
  promotions platform_promotions;
  std::vector<std::unique_ptr<door>> store_doors;      ///< By VM, from 1.
  std::vector<std::unique_ptr<door>> promotion_doors;  ///< By VM, from 1.
  outcomes seen;
  std::atomic<bool> clients_stop{false};
};

/// @brief Waits until `condition`; false after `limit_ms`.
bool WaitFor(int64_t limit_ms, const std::function<bool()>& condition);

}  // namespace review

#endif  // TARRAGONDALE_REVIEW_STANDIN_WORLD_H_
