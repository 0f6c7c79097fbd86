// Ends of the cold times of members.
#include "src/runtime/line/cold_reports.h"

#include <algorithm>

namespace tarragondale::runtime {
namespace {

// An entry that is read again after this time counts as a new report.
constexpr duration kRetention = std::chrono::hours(1);

}  // namespace

void cold_reports::Take(interactive::member_record& record,
                        int64_t revision,
                        time_point now) {
  std::erase_if(reports_, [&](const auto& each) {
    return each.first != record.id && now > each.second.until + kRetention;
  });
  auto found = reports_.find(record.id);
  if (found == reports_.end()) {
    if (record.cold_left <= milliseconds(0)) {
      return;
    }
    found = reports_.try_emplace(record.id).first;
  }
  report& known = found->second;
  if (record.started_ms > known.started_ms) {
    known = {record.started_ms, 0, {}};
  }
  if (revision != known.revision) {
    known.revision = revision;
    known.until = std::max(known.until, now + record.cold_left);
  }
  record.cold_until = known.until;
}

bool IsSameButColdLeft(const interactive::member_record& before,
                       interactive::member_record after) {
  const bool differs = before.cold_left != after.cold_left;
  after.cold_left = before.cold_left;
  return differs && before == after;
}

}  // namespace tarragondale::runtime
