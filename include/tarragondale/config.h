// Public header of the config library: INI settings, the tables of routes and
// pools, key records, and the check of a whole configuration.
#ifndef TARRAGONDALE_CONFIG_H_
#define TARRAGONDALE_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/base.h"

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

}  // namespace tarragondale::config

#endif  // TARRAGONDALE_CONFIG_H_
