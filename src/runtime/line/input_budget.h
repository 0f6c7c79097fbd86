// Accounts for the bytes that this VM holds for callers and decides which of
// them must wait or be disconnected.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_INPUT_BUDGET_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_INPUT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/interactive.h"

namespace tarragondale::runtime {

/// @brief Size in bytes of the socket buffers of callers' connections. Left to
/// itself, the kernel lets them grow to some MB each.
inline constexpr int kCallerReceiveBuffer = 32 << 10;
inline constexpr int kCallerSendBuffer = 64 << 10;

/// @brief Limits on what is held for callers.
struct input_limits {
  size_t total_bytes = 64U << 20;
  /// Of one session: statements without an answer. One is always admitted.
  size_t waiting_bytes = 4U << 20;
  size_t waiting_statements = 128;
  /// Of one connection: answers that the caller has not read.
  size_t unsent_bytes = 1U << 20;
  duration line_time = seconds(30);    ///< For a line that has begun.
  duration answer_time = seconds(30);  ///< For the caller to read an answer.
};

/// @brief A statement's bytes as they count in the budget, without what is kept
/// of it for the session.
size_t StatementBytes(const interactive::caller_statement& statement);

/// @brief Counts the bytes held for each session, whose caller is connected to
/// this VM or which is hosted for another VM. Does no I/O.
class input_budget {
 public:
  using session_id = interactive::session_id;

  enum class limit : uint8_t {
    kMemory,       ///< Largest holder when `total_bytes` were used up.
    kSlowLine,     ///< A line wasn't complete in time.
    kUnread,       ///< An answer wasn't read in time.
    kConnections,  ///< Refused or closed for want of descriptors.
  };
  static constexpr size_t kLimits = 4;
  static std::string_view LimitName(limit value);

  void SetLimits(const input_limits& limits) { limits_ = limits; }

  void Open(session_id session) { holders_.try_emplace(session); }
  void Close(session_id session);

  /// @brief Bytes received that are part of no statement yet.
  /// @param progress A line was completed.
  void SetUnread(time_point now,
                 session_id session,
                 size_t bytes,
                 bool progress);
  /// @brief Reading goes on after a pause.
  void Progress(time_point now, session_id session);
  void AddStatement(session_id session, size_t bytes);
  /// @brief The oldest statement was answered.
  void FinishStatement(session_id session);
  /// @brief Bytes of session values and prepared statements.
  void SetKept(session_id session, size_t bytes);
  /// @brief Bytes of answers that the socket has not taken.
  /// @param progress The oldest of them was taken whole.
  void SetUnsent(time_point now,
                 session_id session,
                 size_t bytes,
                 bool progress);

  /// @brief Whether the session's next statement may be taken.
  bool MayRead(session_id session) const;
  /// @brief Records that the session is not read.
  /// @param arrived Input has arrived in the socket's buffer, which is then
  /// counted whole. A caller that waits for its answer sends none.
  void SetPaused(session_id session, bool paused, bool arrived);

  bool exceeded() const { return total_ > limits_.total_bytes; }
  /// @brief The session that holds most, if more than `total_bytes` are held.
  std::optional<session_id> Largest() const;
  /// @brief Sessions without progress for too long.
  std::vector<std::pair<session_id, limit>> Overdue(time_point now) const;

  void Count(limit reason) { ++closed_[static_cast<size_t>(reason)]; }
  uint64_t closed(limit reason) const {
    return closed_[static_cast<size_t>(reason)];
  }
  uint64_t pauses() const { return pauses_; }
  size_t total() const { return total_; }
  size_t held(session_id session) const;

 private:
  struct holder {
    size_t unread = 0;
    size_t waiting = 0;
    size_t kept = 0;
    size_t unsent = 0;
    bool paused = false;
    bool arrived = false;            ///< While it is paused.
    std::vector<size_t> statements;  ///< Bytes of each, the oldest first.
    time_point line_since;           ///< If `unread` is not 0.
    time_point unsent_since;         ///< If `unsent` is not 0.

    size_t bytes() const;
  };

  /// Changes a session's holder and the total with it.
  template <typename Change>
  void Update(session_id session, Change change);

  input_limits limits_;
  std::unordered_map<session_id, holder> holders_;
  size_t total_ = 0;
  std::array<uint64_t, kLimits> closed_{};
  uint64_t pauses_ = 0;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_INPUT_BUDGET_H_
