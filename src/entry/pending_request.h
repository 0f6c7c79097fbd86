// State of one admitted request until its answer.
#ifndef TARRAGONDALE_SRC_ENTRY_PENDING_REQUEST_H_
#define TARRAGONDALE_SRC_ENTRY_PENDING_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "src/entry/access_check.h"
#include "tarragondale/entry.h"
#include "tarragondale/session.h"

namespace tarragondale::entry {

enum class attempt_state : uint8_t {
  kOpen,    ///< No answer yet.
  kNotRun,  ///< Certainly without effect.
  kUnknown  ///< Ended, and may have taken effect.
};

/// @brief One `execute_request` that was sent.
struct attempt {
  request_id id;
  std::string vm;
  std::string member;
  attempt_state state = attempt_state::kOpen;
};

enum class request_phase : uint8_t {
  kWaiting,  ///< For a member that can serve it.
  kBackoff,  ///< For the time of the next attempt.
  kSent      ///< For the answer of its last attempt.
};

struct pending_request {
  caller_request request;
  access_grant grant;
  session::token token;
  session::transaction_id transaction;  ///< Steps after `kBegin` only.
  std::string pool;                     ///< Name of the pool row.
  std::string group;
  request_id id;  ///< Id of the first attempt; named in the answer.
  time_point admitted;
  time_point deadline;
  std::string digest;  ///< With an idempotency key only.

  request_phase phase = request_phase::kWaiting;
  /// When this request wants its next tick. A later entry in the timer queue
  /// is valid only if it names this time.
  time_point timer;
  std::vector<attempt> attempts;
  std::vector<std::string> tried;  ///< Members that failed this request.
  std::optional<time_point> waiting_since;
  bool replica_waited = false;
  /// Attempts that ended because the member was not fresh enough.
  size_t freshness_failures = 0;
  /// Why the request has not been served so far.
  failure last{result_code::kNoPrimary, {}};
  int64_t retry_after_ms = 0;

  bool IsRead() const { return request.kind == wire::request_kind::kRead; }

  /// @brief True if running it twice has the effect of running it once.
  bool Repeatable() const {
    switch (request.step) {
      case wire::transaction_step::kWhole:
        return IsRead() || !request.idempotency_key.empty();
      case wire::transaction_step::kBegin:
        return true;
      default:
        return false;
    }
  }

  /// @brief True if any attempt is without an answer.
  bool AnyOpen() const { return Any(attempt_state::kOpen); }

  /// @brief True if the request may have an effect: a read and the begin of a
  /// transaction have none.
  bool MayHaveRun() const {
    const bool has_effect =
        request.step != wire::transaction_step::kBegin && !IsRead();
    return has_effect &&
           (Any(attempt_state::kOpen) || Any(attempt_state::kUnknown));
  }

 private:
  bool Any(attempt_state state) const {
    for (const attempt& one : attempts) {
      if (one.state == state) {
        return true;
      }
    }
    return false;
  }
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_PENDING_REQUEST_H_
