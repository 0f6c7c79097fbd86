// Calls to a key-value service with revisions, leases and conditions, apart
// from any service's names and formats.
#ifndef TARRAGONDALE_STORE_KEYSPACE_H_
#define TARRAGONDALE_STORE_KEYSPACE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::store::keyspace {

// A service that is restored from an older copy loses what it acknowledged
// since, ends all leases, and gives out revisions again. Each restore begins a
// new era. A revision holds its era in the upper bits, so that revisions of a
// later era are above all earlier ones. The service itself knows the number
// alone.

/// @brief Bits of a revision's number. The sum of both stays below 2^53 for
/// readers that hold it as a floating-point number, in the first 8,192 eras.
inline constexpr int kRevisionBits = 40;
/// @brief Largest era that a revision can hold.
inline constexpr int64_t kMaxEra = (int64_t{1} << (62 - kRevisionBits)) - 1;

constexpr int64_t RevisionInEra(int64_t era, int64_t number) {
  return (era << kRevisionBits) | number;
}
constexpr int64_t EraOf(int64_t revision) {
  return revision >> kRevisionBits;
}
/// @brief The revision as the service numbers it in its era.
constexpr int64_t NumberOf(int64_t revision) {
  return revision & ((int64_t{1} << kRevisionBits) - 1);
}

struct item {
  std::string key = {};
  std::string value = {};
  int64_t revision = 0;  ///< Of its last change.
  int64_t lease = 0;     ///< 0: none.

  bool operator==(const item&) const = default;
};

/// @brief One change of a key.
struct change {
  item now;  ///< Without a value if it was removed.
  bool removed = false;

  bool operator==(const change&) const = default;
};

/// @brief Reads all items under a prefix, one page a call. Linearizable.
struct range_call {
  std::string prefix;
  std::string after;  ///< Last key of the previous page; empty: first page.
};

/// @brief Waits for changes after a revision.
struct watch_call {
  std::string prefix;
  int64_t after = 0;
  milliseconds wait{0};
};

struct condition {
  std::string key;
  int64_t revision = 0;  ///< 0: the key must not exist.
};

/// @brief Writes all or nothing.
struct transaction_call {
  std::vector<condition> conditions;
  std::vector<item> writes;  ///< Key, value and lease.
  std::vector<std::string> removals;
};

/// @brief Asks for a lease. Leases do not outlive a restore of the service,
/// and their numbers are given out again.
struct grant_call {
  milliseconds lifetime{0};
};
struct renew_call {
  int64_t lease = 0;
};
struct revoke_call {
  int64_t lease = 0;
};

using call = std::variant<range_call,
                          watch_call,
                          transaction_call,
                          grant_call,
                          renew_call,
                          revoke_call>;

enum class call_status : uint8_t {
  kDone,
  kConflict,   ///< A condition does not hold; nothing was written.
  kNotFound,   ///< The lease has ended.
  kCompacted,  ///< The changes asked for are no longer kept, or the service
               ///< was restored since.
  kRefused,    ///< Nothing was done: overloaded, rate-limited or not connected.
  kUnknown,    ///< No answer; a write may have been or may yet be done.
};

/// @brief The answer to a call; which members are set depends on the call.
struct reply {
  call_status status = call_status::kUnknown;
  std::string reason = {};       ///< For people, if not done.
  std::vector<item> items = {};  ///< Range; or the conditions' present state.
  std::vector<change> changes = {};  ///< Watch.
  bool more = false;                 ///< Range: another page follows.
  /// A write's own. Else the service has reached this; number 0 if the answer
  /// tells the era alone.
  int64_t revision = 0;
  int64_t lease = 0;
  milliseconds lifetime{0};  ///< Of the lease.
};

}  // namespace tarragondale::store::keyspace

#endif  // TARRAGONDALE_STORE_KEYSPACE_H_
