// Concurrency limit of a member.
#include "src/interactive/concurrency_limit.h"

#include <algorithm>

namespace tarragondale::interactive {
namespace {

// Refusals of statements that were sent together count once: about the time
// that a full queue takes to be worked off.
constexpr duration kReduceInterval = milliseconds(50);
// A member that has turned nothing away for this long has no limit.
constexpr duration kLimitLifetime = milliseconds(2'000);

}  // namespace

void concurrency_limit::OnBusy(int running, time_point now) {
  if (limit_ && now - reduced_at_ < kReduceInterval) {
    return;
  }
  const double present =
      std::min(limit_.value_or(running + 1.0), running + 1.0);
  limit_ = std::max(1.0, present / 2);
  reduced_at_ = now;
}

void concurrency_limit::OnDone(time_point now) {
  if (!limit_) {
    return;
  }
  if (now - reduced_at_ > kLimitLifetime) {
    limit_.reset();
    return;
  }
  *limit_ += 1 / *limit_;
}

}  // namespace tarragondale::interactive
