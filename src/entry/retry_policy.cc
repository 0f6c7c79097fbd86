// When a request is sent again, and after which delay.
#include "src/entry/retry_policy.h"

#include <algorithm>

namespace tarragondale::entry {
namespace {

constexpr duration kFirstBackoff = milliseconds(10);
constexpr duration kLongestBackoff = milliseconds(500);
constexpr size_t kMaxDoublings = 10;
// Several times a normal round trip between regions with its queue.
constexpr duration kFirstReadLimit = milliseconds(250);
// Writes also wait for a majority of members.
constexpr duration kFirstWriteLimit = milliseconds(1'000);
constexpr duration kShortestLimit = milliseconds(20);
// Part of the time left that one attempt may use.
constexpr double kPartOfTimeLeft = 0.4;
// Retries that are allowed before any request was counted.
constexpr double kFirstRetries = 10;

duration Doubled(duration first, size_t times, duration longest) {
  return std::min(longest,
                  first * (int64_t{1} << std::min(times, kMaxDoublings)));
}

}  // namespace

bool MayPass(result_code code) {
  switch (code) {
    case result_code::kNotOwner:
    case result_code::kGatewayUnreachable:
    case result_code::kDatabaseUnavailable:
    case result_code::kQueueFull:
    case result_code::kNoPrimary:
    case result_code::kNoFreshReplica:
    case result_code::kDraining:
    case result_code::kDatabaseLeaving:
      return true;
    default:
      return false;
  }
}

bool LostOnTheWay(result_code code) {
  return code == result_code::kUnknownTimeout ||
         code == result_code::kUnknownConnectionLost ||
         code == result_code::kUnknownNotReplicated;
}

duration AttemptLimit(wire::request_kind kind, size_t attempts, duration left) {
  const duration first =
      kind == wire::request_kind::kRead ? kFirstReadLimit : kFirstWriteLimit;
  const duration part(static_cast<int64_t>(static_cast<double>(left.count()) *
                                           kPartOfTimeLeft));
  return std::max(kShortestLimit, Doubled(first, attempts, part));
}

retry_policy::retry_policy(const entry_options& options)
    : ratio_(options.retry_ratio),
      budget_(options.retry_floor_rate,
              options.retry_budget_limit,
              kFirstRetries,
              token_bucket::kNotStarted),
      generator_(options.seed) {}

duration retry_policy::Backoff(size_t attempts) {
  const size_t doublings = attempts > 0 ? attempts - 1 : 0;
  const duration full = Doubled(kFirstBackoff, doublings, kLongestBackoff);
  std::uniform_int_distribution<int64_t> jitter(full.count() / 2, full.count());
  return duration(jitter(generator_));
}

}  // namespace tarragondale::entry
