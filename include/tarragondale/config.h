// Public header of the config library: INI settings, the tables of routes and
// pools, key records, and the check of a whole configuration.
#ifndef TARRAGONDALE_CONFIG_H_
#define TARRAGONDALE_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/config/settings.h"

namespace tarragondale::config {

/// @brief Rate and burst of an organisation, counted over all VMs.
struct organisation_limit {
  double rate = 0;   ///< Requests per second.
  double burst = 0;  ///< Capacity of the token bucket in requests.

  bool operator==(const organisation_limit&) const = default;
};

/// @brief A route says who may send what kind of request to which pool.
struct route_row {
  std::string name;
  std::string pool;
  bool allows_reads = true;
  bool allows_writes = false;
  /// Open routes need no key; requests on them carry no organisation.
  bool open = false;
  /// Organisations that may use the route. Invariant over all routes: one
  /// organisation has one limit.
  std::map<std::string, organisation_limit, std::less<>> organisations;
  int64_t version = 0;  ///< Configuration version that wrote the row.

  bool operator==(const route_row&) const = default;
};

/// @brief A member of a database group.
struct member_row {
  std::string name;
  std::string address;  ///< IP:port.
  std::string availability_zone;
  std::string region;
  bool leaving = false;  ///< Gets no new work.

  bool operator==(const member_row&) const = default;
};

/// @brief When a write is answered.
enum class acknowledge_mode : uint8_t {
  kMajority,  ///< A majority of members holds it; survives a failover.
  kPrimary    ///< The primary has committed it; a failover may lose it.
};

/// @brief A pool names a database group.
struct pool_row {
  std::string name;
  std::string group;
  std::string database;
  int slots = 1;        ///< Concurrent statements for each member.
  int connections = 1;  ///< Connection cap of each member, over all VMs.
  acknowledge_mode acknowledge = acknowledge_mode::kMajority;
  std::vector<member_row> members;
  int64_t version = 0;

  bool operator==(const pool_row&) const = default;
};

/// @brief A granted key. The secret itself is never kept.
struct key_record {
  std::string id;
  std::string organisation;
  std::string salt;    ///< Hexadecimal.
  std::string digest;  ///< SHA-256 of salt bytes and secret, hexadecimal.
  int64_t version = 0;

  bool operator==(const key_record&) const = default;
};

/// @brief One whole version of the configuration. Shared between threads as
/// `std::shared_ptr<const configuration>` and never changed.
struct configuration {
  int64_t version = 0;
  std::map<std::string, route_row, std::less<>> routes;
  std::map<std::string, pool_row, std::less<>> pools;
  std::map<std::string, key_record, std::less<>> keys;

  bool operator==(const configuration&) const = default;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// @brief Routes and pools of a file that operators write:
/// `{"routes": [...], "pools": [...]}`.
struct tables {
  std::vector<route_row> routes;
  std::vector<pool_row> pools;

  bool operator==(const tables&) const = default;
};

/// @brief Name of a mode in pool rows: `majority` or `primary`.
std::string_view AcknowledgeModeName(acknowledge_mode mode);

/// @brief One-line JSON of a row. Bytes that are not UTF-8 are replaced.
std::string EncodeRoute(const route_row& row);
std::string EncodePool(const pool_row& row);
std::string EncodeKey(const key_record& row);

/// @brief Decodes a row strictly. Failure `table_invalid` names the row and
/// the field: unknown, repeated or missing fields, wrong types, numbers out of
/// range. `row` is how the reason calls the row, for example its store key.
result<route_row> DecodeRoute(std::string_view json, std::string_view row);
result<pool_row> DecodePool(std::string_view json, std::string_view row);
result<key_record> DecodeKey(std::string_view json, std::string_view row);

/// @brief Decodes a file of tables. `errors` receives every row that does not
/// decode, with `file` in the reason; the other rows are returned.
tables DecodeTables(std::string_view json,
                    std::string_view file,
                    std::vector<failure>& errors);

/// @brief JSON of tables with one row a line.
std::string EncodeTables(const tables& value);

/// @brief True for 1 to 63 characters of `a` to `z`, `0` to `9` and `-`.
bool IsName(std::string_view text);

/// @brief Connections that one gateway may open to a member with a cap of
/// `connections`: half of the cap less a reserve of 2, so that an old and a
/// new gateway fit within the cap (docs/design.md, section 5).
int GatewayConnections(int connections);

/// @brief All contradictions in a configuration; empty if it may be applied.
/// Every failure is `table_invalid`.
std::vector<failure> CheckConfiguration(const configuration& value);

/// @brief What operators should look at although the configuration may be
/// applied: keys that no route accepts, groups with an even number of members.
std::vector<std::string> ConfigurationWarnings(const configuration& value);

/// @brief A new key: its record for the store, and the text for the caller,
/// which exists only here.
struct granted_key {
  key_record record;
  std::string bearer;  ///< `<key id>.<secret>`.
};

/// @brief Makes a key of 32 random bytes. Failures: `invalid_field` for a bad
/// organisation name, `internal` without secure random numbers.
result<granted_key> GrantKey(std::string_view organisation);

/// @brief The record of the key that `bearer` proves. The pointer lives as
/// long as the configuration. The time depends neither on the secret nor on
/// whether the id exists. Failures: `key_missing` without a bearer,
/// `key_invalid` for everything else that does not match.
result<const key_record*> VerifyBearer(const configuration& value,
                                       std::optional<std::string_view> bearer);

/// @brief True if SHA-256 of `key` is `digest` (32 raw bytes); constant time.
bool VerifyOperatorKey(std::string_view digest, std::string_view key);

}  // namespace tarragondale::config

#endif  // TARRAGONDALE_CONFIG_H_
