// Settings of the daemon: an INI file that is checked as a whole. The table of
// settings is the single source of names, ranges and defaults.
#ifndef TARRAGONDALE_CONFIG_SETTINGS_H_
#define TARRAGONDALE_CONFIG_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::config {

/// @brief How callers, databases and the platform are met.
enum class edge_kind : uint8_t {
  kHttp,  ///< Callers by HTTP, databases by libpq, a VM list and an etcd store.
  kLine,  ///< The line protocol and the store of the platform in `platform/`.
};

/// @brief How the load that a database member takes well is found out.
enum class capacity_source : uint8_t {
  kReported,  ///< The member answers that it is busy.
  kLearned,   ///< Also from its response times.
};

/// @brief All settings with their defaults. Members without a default must be
/// in the file, if the chosen edge uses them.
struct settings {
  edge_kind edge = edge_kind::kHttp;
  std::string vm_name;
  std::string availability_zone;
  std::string region;
  std::string http_address;  ///< IP:port for callers and operators.
  std::string peer_address;  ///< IP:port for other VMs.
  int64_t memory_mb = 256;   ///< Of this VM; tells how much it can carry.
  std::vector<std::string> store_endpoints;  ///< IP:port, tried in order.
  std::string store_region;                  ///< Region of the service.
  int64_t store_timeout_ms = 1000;
  std::string vm_list_url;
  int64_t body_bytes = 1048576;
  int64_t header_bytes = 16384;
  int64_t header_timeout_ms = 10000;
  int64_t idle_timeout_ms = 60000;
  int64_t caller_connections = 10000;
  int64_t queue_length = 64;
  int64_t request_timeout_ms = 10000;
  int64_t answer_bytes = 4194304;
  int64_t transaction_idle_ms = 10000;
  std::string token_key;            ///< 32 raw bytes.
  std::string operator_key_digest;  ///< 32 raw bytes.
  log_level level = log_level::kInfo;
  std::string caller_address;     ///< IP:port for callers of the line edge.
  std::string readiness_address;  ///< IP:port for the balancer and metrics.
  std::string promotion_address;  ///< IP:port that promotes members.
  std::vector<std::string> seed_peers;  ///< IP:port of some VMs; may be stale.
  std::vector<std::string> zones;       ///< `zone:region`.
  int64_t caller_memory_percent = 25;   ///< Of `memory_mb`, for callers.
  int64_t waiting_statements = 128;     ///< Of one session.
  int64_t waiting_bytes = 4194304;      ///< Of one session's statements.
  int64_t unsent_bytes = 1048576;       ///< Of one caller's answers.
  int64_t line_timeout_ms = 30000;      ///< For a line that has begun.
  int64_t answer_timeout_ms = 30000;    ///< To read an answer.
  int64_t leaving_ms = 7000;
  int64_t grace_ms = 6000;
  int64_t open_files = 4096;
  capacity_source member_capacity = capacity_source::kReported;

  bool operator==(const settings&) const = default;
};

/// @brief What a setting's text must look like.
enum class setting_type : uint8_t {
  kName,         ///< See `IsName`.
  kAddress,      ///< IP:port.
  kAddressList,  ///< IP:port, separated by commas.
  kUrl,          ///< http://IP:port/path.
  kInteger,
  kHex32,  ///< 64 hexadecimal digits; never shown in errors.
  kLogLevel,
  kEdge,
  kZoneList,  ///< `zone:region`, separated by commas.
  kCapacitySource,
};

using setting_member = std::variant<std::string settings::*,
                                    int64_t settings::*,
                                    std::vector<std::string> settings::*,
                                    log_level settings::*,
                                    edge_kind settings::*,
                                    capacity_source settings::*>;

/// @brief One row of the table of settings.
struct setting_info {
  std::string_view section;
  std::string_view name;
  setting_type type;
  setting_member member;
  std::string_view unit;  ///< Empty: none.
  int64_t minimum;        ///< For integers.
  int64_t maximum;        ///< For integers.
  std::string_view meaning;
  /// The only edge that uses the setting; empty: all do.
  std::optional<edge_kind> edge = std::nullopt;
  /// Takes effect at a reload at the line edge; the http edge does not reload.
  bool live = false;
};

/// @brief All settings, ordered by section.
std::span<const setting_info> SettingsTable();

/// @brief What the setting accepts, for errors and docs/settings.md.
std::string AllowedText(const setting_info& row);

/// @brief Default as text; empty if the setting must be in the file.
std::string DefaultText(const setting_info& row);

/// @brief Name of an edge: `http` or `line`.
std::string_view EdgeName(edge_kind edge);

/// @brief When a setting without a default must be in the file.
std::string RequirementText(const setting_info& row);

/// @brief Settings, or every error found.
struct settings_outcome {
  settings value;  ///< Complete only if there are no errors.
  std::vector<failure> errors;
};

/// @brief Checks the text of a settings file. Each error is `setting_invalid`
/// and states `<file>:<line>: <section>.<key>`, the value and what is allowed.
settings_outcome ParseSettings(std::string_view text, std::string_view file);

/// @brief Reads and checks a settings file.
settings_outcome LoadSettings(const std::string& path);

/// @brief Rows of the table whose settings differ.
std::vector<const setting_info*> ChangedSettings(const settings& before,
                                                 const settings& after);

/// @brief Copies one setting.
void CopySetting(const setting_info& row, const settings& from, settings& to);

/// @brief True for `IP:port` with port 1 to 65535; IPv6 in brackets.
bool IsAddress(std::string_view text);

/// @brief An HTTP URL taken apart.
struct http_url {
  std::string address;  ///< IP:port.
  std::string path;     ///< Starts with `/`.
};

/// @brief Takes `http://IP:port/path` apart. Failure: `setting_invalid`.
result<http_url> ParseHttpUrl(std::string_view text);

}  // namespace tarragondale::config

#endif  // TARRAGONDALE_CONFIG_SETTINGS_H_
