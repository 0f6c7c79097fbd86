// Reports of a VM's operations to the relays that it follows in turn.
#include <algorithm>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

// Digests that may be under way to a relay at once.
constexpr size_t kMaxUnconfirmed = 16;

uint64_t ValueOf(const std::map<std::string, uint64_t, std::less<>>& counters,
                 const std::string& organisation) {
  const auto found = counters.find(organisation);
  return found == counters.end() ? 0 : found->second;
}

}  // namespace

std::vector<wire::organisation_usage> follower_reports::Report(
    std::string_view relay,
    uint64_t sequence,
    const std::vector<wire::organisation_usage>& own) {
  const auto [known, added] = sent_.try_emplace(std::string(relay));
  counters& sent = known->second;
  if (relay != relay_) {
    relay_ = relay;
    baseline_ = added || needs_baseline_.erase(std::string(relay)) != 0;
    unconfirmed_.clear();
    counted_before_ = counted_;
    sent_before_ = added ? counted_ : sent;
  }
  std::vector<wire::organisation_usage> report = own;
  sent_report snapshot{sequence, {}};
  for (wire::organisation_usage& each : report) {
    const uint64_t counted = ValueOf(counted_before_, each.organisation);
    // The baseline leaves out what no relay has counted, which the reports
    // after it add.
    const uint64_t reported =
        baseline_ ? counted : std::max(counted, each.admitted);
    snapshot.own[each.organisation] = reported;
    each.admitted =
        ValueOf(sent_before_, each.organisation) + reported - counted;
    sent[each.organisation] = each.admitted;
  }
  unconfirmed_.push_back(std::move(snapshot));
  if (unconfirmed_.size() > kMaxUnconfirmed) {
    unconfirmed_.pop_front();
  }
  return report;
}

void follower_reports::OnReceived(std::string_view relay, uint64_t sequence) {
  if (relay != relay_) {
    return;
  }
  while (!unconfirmed_.empty() && unconfirmed_.front().sequence <= sequence) {
    baseline_ = false;
    for (const auto& [organisation, value] : unconfirmed_.front().own) {
      uint64_t& counted = counted_[organisation];
      counted = std::max(counted, value);
    }
    unconfirmed_.pop_front();
  }
}

void follower_reports::OnCounted(
    const std::vector<wire::organisation_usage>& own) {
  for (const wire::organisation_usage& each : own) {
    uint64_t& counted = counted_[each.organisation];
    counted = std::max(counted, each.admitted);
  }
}

void follower_reports::OnRestart(std::string_view relay) {
  if (sent_.contains(relay)) {
    needs_baseline_.emplace(relay);
  }
  if (relay == relay_) {
    relay_.clear();
  }
}

}  // namespace tarragondale::relay
