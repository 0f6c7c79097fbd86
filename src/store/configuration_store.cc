// Loads and edits the configuration.
#include "tarragondale/store/configuration_store.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace tarragondale::store {
namespace {

constexpr size_t kEditIdBytes = 16;
// Attempts to learn what became of an edit whose answer was lost.
constexpr int kAttempts = 5;
// Edits of others that a conflict names.
constexpr int64_t kShownConflicts = 20;

std::string Now() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(
                         std::chrono::system_clock::now())));
}

range_request Prefix(const char* prefix) {
  return {prefix, PrefixEnd(prefix), 0, 0};
}

std::vector<audit_row> DecodeAuditRows(const std::vector<key_value>& rows) {
  std::vector<audit_row> decoded;
  for (const key_value& row : rows) {
    if (const auto each = DecodeAudit(row.value)) {
      decoded.push_back(*each);
    }
  }
  return decoded;
}

// True if the audit trail shows that this very edit was applied.
bool WasApplied(const edit_plan& plan, const std::vector<audit_row>& later) {
  return std::any_of(later.begin(), later.end(), [&](const audit_row& row) {
    return row.to == plan.audit.to && row.edit == plan.audit.edit;
  });
}

std::string AuditLines(const std::vector<audit_row>& rows) {
  std::string text;
  for (const audit_row& row : rows) {
    text += fmt::format("\nversion {}: {} at {}: {}", row.to, row.writer,
                        row.time, fmt::join(row.change, ", "));
  }
  return text;
}

// Lowest version that a row of the edit is based on; 0: none names one.
int64_t LowestBase(const edit_change& change) {
  int64_t lowest = 0;
  const auto take = [&lowest](const auto& row) {
    if (row.version != 0 && (lowest == 0 || row.version < lowest)) {
      lowest = row.version;
    }
  };
  std::for_each(change.routes.begin(), change.routes.end(), take);
  std::for_each(change.pools.begin(), change.pools.end(), take);
  return lowest;
}

failure Conflict(const edit_plan& plan,
                 const txn_answer& answer,
                 const std::vector<audit_row>& later) {
  std::string text =
      fmt::format("the configuration is no longer version {}", plan.audit.from);
  if (!answer.answers.empty() && !answer.answers[0].rows.empty()) {
    const auto now = DecodeVersion(answer.answers[0].rows[0].value);
    if (now) {
      text +=
          fmt::format("; it is version {} of {}", now->version, now->writer);
    }
  }
  return {result_code::kVersionConflict, text + AuditLines(later)};
}

}  // namespace

configuration_store::configuration_store(key_value_store& store,
                                         std::function<void()> pause)
    : store_(store), pause_(std::move(pause)) {}

result<snapshot> configuration_store::Load() {
  txn_request request;
  request.success = {Prefix(kRoutesPrefix), Prefix(kPoolsPrefix),
                     Prefix(kKeysPrefix), range_request{kVersionKey, "", 0, 0}};
  const auto answer = store_.Txn(request);
  if (!answer) {
    return answer.error();
  }
  if (!answer->succeeded || answer->answers.size() != request.success.size()) {
    return failure{result_code::kStoreUnavailable,
                   "the answer to a read is incomplete"};
  }
  snapshot loaded;
  loaded.revision = answer->revision;
  for (const range_answer& range : answer->answers) {
    for (const key_value& row : range.rows) {
      loaded.rows.Put(row);
    }
  }
  return loaded;
}

result<edit_outcome> configuration_store::Edit(const edit_change& change,
                                               std::string_view writer) {
  const auto base = Load();
  if (!base) {
    return base.error();
  }
  return EditFrom(*base, change, writer);
}

result<edit_outcome> configuration_store::EditFrom(const snapshot& base,
                                                   const edit_change& change,
                                                   std::string_view writer) {
  std::string edit;
  try {
    edit = HexEncode(RandomBytes(kEditIdBytes));
  } catch (const std::exception& error) {
    return failure{result_code::kInternal, error.what()};
  }
  const auto plan = PlanEdit(base, change, {std::string(writer), Now(), edit});
  if (!plan) {
    failure refused = plan.error();
    if (refused.code == result_code::kVersionConflict) {
      const auto later = ReadAudit(LowestBase(change) + 1, kShownConflicts);
      refused.reason += later ? AuditLines(*later) : "";
    }
    return refused;
  }
  if (plan->audit.change.empty()) {
    const int64_t version = base.rows.value().version;
    return edit_outcome{
        version,
        version,
        {},
        false,
        std::make_shared<const config::configuration>(base.rows.value())};
  }
  return Commit(*plan);
}

// A lost transaction is sent again. The compare on the version row lets it take
// effect at most once, and the audit row of its version tells whether it did,
// even if the first copy arrives late or another edit follows.
result<edit_outcome> configuration_store::Commit(const edit_plan& plan) {
  edit_outcome outcome{
      plan.audit.from, plan.audit.to, plan.audit.change, false,
      std::make_shared<const config::configuration>(plan.next)};
  failure last;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    if (attempt > 0 && pause_) {
      pause_();
    }
    const auto answer = store_.Txn(plan.txn);
    if (answer && answer->succeeded) {
      return outcome;
    }
    if (answer) {
      const auto later = answer->answers.size() < 2
                             ? std::vector<audit_row>()
                             : DecodeAuditRows(answer->answers[1].rows);
      outcome.read_back = true;
      if (WasApplied(plan, later)) {
        return outcome;
      }
      return Conflict(plan, *answer, later);
    }
    const bool nothing_sent =
        attempt == 0 && answer.error().code != result_code::kStoreAnswerLost;
    if (nothing_sent) {
      return answer.error();
    }
    last = answer.error();
  }
  return failure{result_code::kStoreAnswerLost,
                 fmt::format("edit {} to version {}: {}", plan.audit.edit,
                             plan.audit.to, last.reason)};
}

result<std::vector<audit_row>> configuration_store::Audit(int64_t last) {
  const auto version = store_.Range({kVersionKey, "", 0, 0});
  if (!version) {
    return version.error();
  }
  if (version->rows.empty()) {
    return std::vector<audit_row>();
  }
  const auto newest = DecodeVersion(version->rows[0].value);
  if (!newest) {
    return newest.error();
  }
  return ReadAudit(
      std::max<int64_t>(1, newest->version - std::max<int64_t>(last, 0) + 1),
      0);
}

result<std::vector<audit_row>> configuration_store::ReadAudit(int64_t first,
                                                              int64_t limit) {
  const auto rows =
      store_.Range({AuditKey(first), PrefixEnd(kAuditPrefix), limit, 0});
  if (!rows) {
    return rows.error();
  }
  return DecodeAuditRows(rows->rows);
}

}  // namespace tarragondale::store
