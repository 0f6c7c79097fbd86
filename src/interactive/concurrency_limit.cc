// Concurrency limit of a database member.
#include "src/interactive/concurrency_limit.h"

#include <algorithm>

namespace tarragondale::interactive {
namespace {

// Minimum time between two reductions, so that rejections of statements that
// were sent together count once. About the time that a member needs to process
// a full queue.
constexpr duration kReduceInterval = milliseconds(50);
// The limit is removed when a statement completes more than this long after the
// last reduction.
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
