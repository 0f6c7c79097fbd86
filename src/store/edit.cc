// Plans an edit: what to write, on which condition, and what to record.
#include <fmt/format.h>

#include <set>

#include "tarragondale/store/configuration_store.h"

namespace tarragondale::store {
namespace {

// Largest value that the service takes.
constexpr size_t kMaxValueBytes = 1024 * 1024;

class planner {
 public:
  planner(const snapshot& base, const edit_author& author)
      : base_(base), version_(base.rows.value().version + 1) {
    plan_.next = base.rows.value();
    plan_.next.version = version_;
    plan_.audit = {version_ - 1, version_, author.writer, author.time,
                   author.edit,  {},       "applied"};
    for (const auto& [key, fault] : base.rows.invalid()) {
      invalid_.insert(key);
    }
  }

  template <typename Row, typename Encode>
  void Put(const std::vector<Row>& rows,
           std::string Row::*name_member,
           std::string_view prefix,
           Encode encode,
           std::map<std::string, Row, std::less<>>& table) {
    for (Row row : rows) {
      const std::string& name = row.*name_member;
      const std::string key = std::string(prefix) + name;
      if (!Touch(key)) {
        continue;
      }
      const auto found = table.find(name);
      const int64_t given = row.version;
      const int64_t stored = found == table.end() ? 0 : found->second.version;
      row.version = stored;
      if (found != table.end() && row == found->second) {
        continue;  // Unchanged.
      }
      // A row that names its version was made from a row that was read; what
      // another operator wrote since must not be overwritten unseen.
      if (given != 0 && given != stored) {
        Fail(
            result_code::kVersionConflict,
            fmt::format("{}: the edit is based on version {}, but the row {}",
                        Shown(key), given,
                        stored == 0 ? "does not exist"
                                    : fmt::format("is of version {}", stored)));
      }
      row.version = version_;
      std::string text = encode(row);
      if (text.size() > kMaxValueBytes) {
        Fail(result_code::kTableInvalid,
             fmt::format("{} is larger than {} bytes", Shown(key),
                         kMaxValueBytes));
      }
      plan_.txn.success.emplace_back(put_request{key, std::move(text), 0});
      plan_.audit.change.push_back("put " + Shown(key));
      invalid_.erase(key);
      table.insert_or_assign(name, row);
    }
  }

  template <typename Table>
  void Delete(const std::vector<std::string>& names,
              std::string_view prefix,
              Table& table) {
    for (const std::string& name : names) {
      const std::string key = std::string(prefix) + name;
      if (!Touch(key)) {
        continue;
      }
      if (table.erase(name) + invalid_.erase(key) == 0) {
        Fail(result_code::kRowNotFound, fmt::format("no row {}", Shown(key)));
      }
      plan_.txn.success.emplace_back(delete_request{key, ""});
      plan_.audit.change.push_back("delete " + Shown(key));
    }
  }

  config::configuration& next() { return plan_.next; }

  result<edit_plan> Finish() {
    CheckNext();
    if (failed_) {
      return *failed_;
    }
    if (plan_.audit.change.empty()) {
      return std::move(plan_);
    }
    plan_.txn.compares = {{kVersionKey, compare_target::kModRevision,
                           base_.rows.version_revision()}};
    auto& success = plan_.txn.success;
    success.emplace_back(
        put_request{AuditKey(version_), EncodeAudit(plan_.audit), 0});
    if (version_ > kAuditRows) {
      success.emplace_back(
          delete_request{kAuditPrefix, AuditKey(version_ - kAuditRows + 1)});
    }
    // The last event of the transaction: whoever sees it has seen the rows.
    success.emplace_back(
        put_request{kVersionKey,
                    EncodeVersion({version_, plan_.audit.writer,
                                   plan_.audit.time, plan_.audit.edit}),
                    0});
    constexpr int64_t kShownConflicts = 20;
    plan_.txn.failure = {
        range_request{kVersionKey, "", 0, 0},
        range_request{AuditKey(version_), PrefixEnd(kAuditPrefix),
                      kShownConflicts, 0}};
    return std::move(plan_);
  }

 private:
  static std::string Shown(std::string_view key) {
    return std::string(key.substr(std::string_view(kRoot).size()));
  }

  // The service refuses a transaction that writes a key twice.
  bool Touch(const std::string& key) {
    if (!touched_.insert(key).second) {
      Fail(result_code::kTableInvalid,
           fmt::format("{} stands twice in the edit", Shown(key)));
      return false;
    }
    return true;
  }

  void CheckNext() {
    if (plan_.audit.change.size() > kEditRows) {
      Fail(result_code::kTableInvalid,
           fmt::format("the edit changes {} rows; at most {} are allowed",
                       plan_.audit.change.size(), kEditRows));
    }
    if (plan_.audit.change.empty()) {
      return;
    }
    for (const std::string& key : invalid_) {
      if (key == kVersionKey) {
        Fail(result_code::kStoreRowInvalid,
             "the version row can't be decoded; restore it by hand");
      } else {
        Fail(result_code::kStoreRowInvalid,
             base_.rows.invalid().find(key)->second.reason);
      }
    }
    for (const failure& each : config::CheckConfiguration(plan_.next)) {
      Fail(each.code, each.reason);
    }
  }

  // All reasons are reported; the first one gives the code.
  void Fail(result_code code, const std::string& reason) {
    if (failed_) {
      failed_->reason += "\n" + reason;
    } else {
      failed_ = failure{code, reason};
    }
  }

  const snapshot& base_;
  const int64_t version_;
  edit_plan plan_;
  std::set<std::string> touched_;
  std::set<std::string> invalid_;
  status failed_;
};

}  // namespace

result<edit_plan> PlanEdit(const snapshot& base,
                           const edit_change& change,
                           const edit_author& author) {
  planner plan(base, author);
  config::configuration& next = plan.next();
  plan.Put(change.routes, &config::route_row::name, kRoutesPrefix,
           config::EncodeRoute, next.routes);
  plan.Put(change.pools, &config::pool_row::name, kPoolsPrefix,
           config::EncodePool, next.pools);
  plan.Put(change.keys, &config::key_record::id, kKeysPrefix, config::EncodeKey,
           next.keys);
  plan.Delete(change.delete_routes, kRoutesPrefix, next.routes);
  plan.Delete(change.delete_pools, kPoolsPrefix, next.pools);
  plan.Delete(change.delete_keys, kKeysPrefix, next.keys);
  return plan.Finish();
}

}  // namespace tarragondale::store
