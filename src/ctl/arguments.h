// Command line of tarragondalectl.
#ifndef TARRAGONDALE_SRC_CTL_ARGUMENTS_H_
#define TARRAGONDALE_SRC_CTL_ARGUMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::ctl {

/// @brief Exit codes; docs/ctl.md and --help list them.
enum class exit_code : uint8_t {
  kDone = 0,
  kDifferent = 1,
  kUsage = 2,
  kRefused = 3,
  kConflict = 4,
  kUnavailable = 5,
  kUnknown = 6,
  kNotEverywhere = 7
};

enum class command : uint8_t {
  kHelp,
  kCheck,
  kApply,
  kGetRoutes,
  kGetPools,
  kDiff,
  kDeleteRoute,
  kDeletePool,
  kGrantKey,
  kListKeys,
  kWithdrawKey,
  kAudit,
  kExplain,
  kStatus,
  kDrain,
  kSwitchover
};

struct arguments {
  command what = command::kHelp;
  std::vector<std::string> files;
  std::string name;  ///< Row, organisation, key id, code, VM or group.
  std::string to;    ///< Member for a switchover; empty: the VMs choose.
  bool wait = false;
  bool json = false;
  int64_t last = 20;  ///< Rows of the audit trail.
  std::vector<std::string> store;
  std::vector<std::string> vms;  ///< HTTP addresses.
  std::string vm_list;
  std::string operator_name;
  std::string operator_key_file;
  milliseconds call_limit{0};  ///< Of one call.
  milliseconds wait_limit{0};  ///< Of `--wait`.
};

/// @brief Text of --help.
std::string_view HelpText();

/// @brief Failure: `invalid_field` with the reason for a usage error.
result<arguments> ParseArguments(const std::vector<std::string>& words);

/// @brief Exit code that goes with a failure.
exit_code ExitCodeOf(const failure& cause);

}  // namespace tarragondale::ctl

#endif  // TARRAGONDALE_SRC_CTL_ARGUMENTS_H_
