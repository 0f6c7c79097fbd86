// Keeps the last status of a member.
#include "src/pool/status_monitor.h"

#include <algorithm>

namespace tarragondale::pool {

bool status_monitor::OnStatus(time_point now,
                              time_point sent,
                              const wire::member_report& report) {
  limit_.Add(std::chrono::duration_cast<duration>(now - sent));
  const bool changed = !reachable_ || !status_ ||
                       status_->report.role != report.role ||
                       status_->report.term != report.term ||
                       status_->report.promised_term != report.promised_term;
  status_ = known_status{report, sent};
  reachable_ = true;
  declared_unreachable_ = false;
  return changed;
}

bool status_monitor::OnUnreachable(time_point now) {
  const bool changed = !declared_unreachable_;
  reachable_ = false;
  declared_unreachable_ = true;
  if (changed) {
    next_report_ = now;
  }
  return changed;
}

std::vector<std::string> status_monitor::Interested(time_point now) {
  std::erase_if(interest_, [&](const auto& entry) {
    return now - entry.second > options_.interest_lifetime;
  });
  std::vector<std::string> vms;
  for (const auto& [vm, since] : interest_) {
    vms.push_back(vm);
  }
  return vms;
}

wire::member_report status_monitor::Report(time_point now,
                                           const std::string& member,
                                           size_t queue_length,
                                           duration service_time) const {
  wire::member_report report;
  if (status_) {
    report = status_->report;
    if (report.role != wire::member_role::kPrimary && report.age_ms >= 0) {
      report.age_ms += ToMs(now - status_->sampled);
    }
  }
  report.member = member;
  report.reachable = reachable_;
  report.queue_length = static_cast<uint32_t>(queue_length);
  report.service_time_us = static_cast<uint32_t>(service_time.count());
  return report;
}

}  // namespace tarragondale::pool
