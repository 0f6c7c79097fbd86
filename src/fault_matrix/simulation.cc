// Virtual time and network of the fault matrix.
#include "src/fault_matrix/simulation.h"

#include <algorithm>

namespace tarragondale::fault_matrix {

void simulation::At(time_point when, callback run) {
  queue_.push({std::max(when, now_), sequence_++, std::move(run)});
}

bool simulation::RunOne(time_point end) {
  if (queue_.empty() || queue_.top().when > end) {
    now_ = end;
    return false;
  }
  const entry next = queue_.top();
  queue_.pop();
  now_ = next.when;
  next.run();
  return true;
}

int64_t simulation::Random(int64_t bound) {
  return bound <= 0
             ? 0
             : static_cast<int64_t>(random_() % static_cast<uint64_t>(bound));
}

void network::Cut(const std::string& a, const std::string& b, bool cut) {
  cuts_[std::minmax(a, b)] += cut ? 1 : -1;
}

bool network::IsCut(const std::string& a, const std::string& b) const {
  const auto found = cuts_.find(std::minmax(a, b));
  return found != cuts_.end() && found->second > 0;
}

void network::Send(const std::string& from,
                   const std::string& to,
                   simulation::callback run,
                   uint64_t channel) {
  if (IsCut(from, to)) {
    return;
  }
  const location& a = Where(from);
  const location& b = Where(to);
  const duration base(a.zone == b.zone       ? 200
                      : a.region == b.region ? 1400
                                             : 8000);
  time_point when = sim_.now() + base +
                    duration(sim_.Random(base.count() / 2)) +
                    duration(sim_.Random(extra_.count()));
  if (channel != 0) {
    time_point& last = channels_[{channel, to}];
    when = std::max(when, last);
    last = when;
  }
  sim_.At(when, std::move(run));
}

}  // namespace tarragondale::fault_matrix
