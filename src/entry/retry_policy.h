// When a request is sent again, and after which delay.
#ifndef TARRAGONDALE_SRC_ENTRY_RETRY_POLICY_H_
#define TARRAGONDALE_SRC_ENTRY_RETRY_POLICY_H_

#include <random>

#include "src/entry/token_bucket.h"
#include "tarragondale/entry.h"

namespace tarragondale::entry {

/// @brief True for `not_run` codes whose cause may pass, so that another
/// attempt may succeed.
bool MayPass(result_code code);

/// @brief True for `unknown` codes after which a repeatable request is sent
/// again.
bool LostOnTheWay(result_code code);

/// @brief Longest wait for one attempt before the next is sent.
///
/// Doubles with each attempt and takes at most a part of the time left, so that
/// one silent gateway never uses up the deadline. Earlier attempts stay open:
/// a request that is only slow is answered by its first attempt.
duration AttemptLimit(wire::request_kind kind, size_t attempts, duration left);

/// @brief Backoff and the budget of retries.
class retry_policy {
 public:
  explicit retry_policy(const entry_options& options);

  /// @brief Earns the share of a retry that goes with one request.
  void RequestAdmitted() { budget_.Add(ratio_); }

  /// @brief Takes one retry from the budget.
  bool TakeRetry(time_point now) { return budget_.Take(now); }

  /// @brief Capped exponential backoff with jitter after `attempts` attempts:
  /// between half of the full delay and all of it.
  duration Backoff(size_t attempts);

 private:
  double ratio_;
  token_bucket budget_;
  std::mt19937_64 generator_;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_RETRY_POLICY_H_
