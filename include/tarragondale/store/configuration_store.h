// The configuration in the key-value service: its rows, edits by
// compare-and-swap, and the audit trail. Rows and planning are pure.
#ifndef TARRAGONDALE_STORE_CONFIGURATION_STORE_H_
#define TARRAGONDALE_STORE_CONFIGURATION_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/config.h"
#include "tarragondale/store/client.h"

namespace tarragondale::store {

inline constexpr char kRoot[] = "/tarragondale/";
inline constexpr char kVersionKey[] = "/tarragondale/version";
inline constexpr char kRoutesPrefix[] = "/tarragondale/routes/";
inline constexpr char kPoolsPrefix[] = "/tarragondale/pools/";
inline constexpr char kKeysPrefix[] = "/tarragondale/keys/";
inline constexpr char kAuditPrefix[] = "/tarragondale/audit/";

/// @brief Rows of the audit trail that are kept.
inline constexpr int64_t kAuditRows = 1000;

/// @brief Rows that one edit may change: etcd takes 128 operations in a
/// transaction, and version, audit and trimming need three.
inline constexpr size_t kEditRows = 120;

/// @brief The version row. `edit` is unique for each edit.
struct version_row {
  int64_t version = 0;
  std::string writer;
  std::string time;  ///< UTC, ISO 8601.
  std::string edit;

  bool operator==(const version_row&) const = default;
};

struct audit_row {
  int64_t from = 0;
  int64_t to = 0;
  std::string writer;
  std::string time;
  std::string edit;
  std::vector<std::string> change;  ///< For example `put routes/orders`.
  std::string result;

  bool operator==(const audit_row&) const = default;
};

std::string EncodeVersion(const version_row& row);
std::string EncodeAudit(const audit_row& row);
result<version_row> DecodeVersion(std::string_view json);
result<audit_row> DecodeAudit(std::string_view json);
std::string AuditKey(int64_t version);

/// @brief Rows of the store, decoded one by one as they change.
class row_set {
 public:
  /// @brief Takes a row; keys outside the configuration are ignored.
  void Put(const key_value& row);
  void Delete(std::string_view key);

  /// @brief All rows that decode; `version` is that of the version row.
  const config::configuration& value() const { return value_; }
  const version_row& version() const { return version_; }
  /// @brief Revision of the last change of the version row; 0: absent.
  int64_t version_revision() const { return version_revision_; }
  /// @brief Rows that do not decode, by key. Failures: `store_row_invalid`.
  const std::map<std::string, failure, std::less<>>& invalid() const {
    return invalid_;
  }

 private:
  config::configuration value_;
  version_row version_;
  int64_t version_revision_ = 0;
  std::map<std::string, failure, std::less<>> invalid_;
};

/// @brief All rows at one revision.
struct snapshot {
  row_set rows;
  int64_t revision = 0;
};

/// @brief Rows to write and to delete. A route or pool whose version is not 0
/// is based on that version of the row; if the row has changed since, the edit
/// is a conflict. The edit sets the versions of what it writes.
struct edit_change {
  std::vector<config::route_row> routes;
  std::vector<config::pool_row> pools;
  std::vector<config::key_record> keys;
  std::vector<std::string> delete_routes;
  std::vector<std::string> delete_pools;
  std::vector<std::string> delete_keys;
};

/// @brief Who edits, and when.
struct edit_author {
  std::string writer;
  std::string time;
  std::string edit;  ///< Unique.
};

struct edit_plan {
  txn_request txn;
  config::configuration next;
  audit_row audit;  ///< `change` is empty if the edit changes nothing.
};

/// @brief Plans an edit on a snapshot. Failures: `table_invalid` with all
/// reasons, `version_conflict` for a row that is based on an older version,
/// `row_not_found` for a deletion, `store_row_invalid` if a row stays
/// that does not decode.
result<edit_plan> PlanEdit(const snapshot& base,
                           const edit_change& change,
                           const edit_author& author);

struct edit_outcome {
  int64_t from_version = 0;
  int64_t version = 0;
  std::vector<std::string> change;  ///< Empty: nothing had to change.
  bool read_back = false;  ///< An answer was lost; the effect was read back.
  config::configuration_ptr configuration;
};

/// @brief Loads and edits the configuration through a key-value store.
class configuration_store {
 public:
  /// @param pause Called between attempts after a lost answer.
  explicit configuration_store(key_value_store& store,
                               std::function<void()> pause = {});

  /// @brief All rows at one revision.
  result<snapshot> Load();

  /// @brief Edits on the newest version. Failures: those of `PlanEdit`;
  /// `version_conflict` with the other writer, version and changed rows;
  /// `store_unavailable` (nothing took effect); `store_answer_lost` if reading
  /// back failed too.
  result<edit_outcome> Edit(const edit_change& change, std::string_view writer);

  /// @brief Same on a snapshot that the caller has loaded and shown.
  result<edit_outcome> EditFrom(const snapshot& base,
                                const edit_change& change,
                                std::string_view writer);

  /// @brief The newest rows of the audit trail, oldest first.
  result<std::vector<audit_row>> Audit(int64_t last);

 private:
  result<edit_outcome> Commit(const edit_plan& plan);
  result<std::vector<audit_row>> ReadAudit(int64_t first, int64_t limit);

  key_value_store& store_;
  std::function<void()> pause_;
};

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_STORE_CONFIGURATION_STORE_H_
