// Public header of the chart library: loads, validates and interprets the
// state charts in charts/, which are embedded in the program. docs/charts.md
// defines the format.
#ifndef TARRAGONDALE_CHART_H_
#define TARRAGONDALE_CHART_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::chart {

/// @brief Index that stands for "no such transition".
inline constexpr size_t kNone = static_cast<size_t>(-1);

/// @brief A valid chart. States and events are numbered in the order in which
/// the file declares or first uses them.
struct definition {
  std::string name;
  std::vector<std::string> states;
  std::vector<std::string> events;
  size_t initial = 0;
  std::vector<bool> final_states;  ///< One flag for each state.
  /// `next[state][event]` is the state after it, or `kNone`.
  std::vector<std::vector<size_t>> next;
};

/// @brief Reads and checks a chart. Fails with `setting_invalid` and the line
/// on a syntax error, an unknown or unreachable state, a state from which no
/// final state can be reached, a transition out of a final state, or a second
/// transition for the same state and event.
result<definition> Parse(std::string_view text);

/// @brief Text of an embedded chart; empty if there is none of this name.
std::string_view EmbeddedText(std::string_view name);

/// @brief Checks that the chart's states are exactly `states` in this order and
/// that its events are exactly `events` in any order.
status CheckNames(const definition& chart,
                  std::span<const std::string_view> states,
                  std::span<const std::string_view> events);

/// @brief Checks all embedded charts and their enums. For program start.
status CheckEmbedded();

/// @brief Interprets one chart. Keeps a reference to the definition.
class chart_machine {
 public:
  explicit chart_machine(const definition& chart)
      : chart_(&chart), state_(chart.initial) {}

  /// @brief Takes the transition for `event`; false, and no change, if the
  /// state does not take it.
  bool Fire(std::string_view event);

  /// @brief Number of the current state.
  size_t state() const { return state_; }
  std::string_view StateName() const { return chart_->states[state_]; }
  bool InFinalState() const { return chart_->final_states[state_]; }

 private:
  const definition* chart_;
  size_t state_;
};

/// @brief Names of the failover chart.
struct failover {
  enum class state : uint8_t {
    kWatching,
    kConfirming,
    kFencing,
    kPromoting,
    kFollowing,
    kCompleted,
    kCleared,
    kOvertaken,
    kNoMajority,
    kAbandoned
  };
  enum class event : uint8_t {
    kSuspected,
    kStart,
    kReached,
    kConfirmed,
    kFenced,
    kPromoted,
    kCandidateLost,
    kFollowed,
    kOvertaken,
    kTimedOut,
    kRoleLost
  };
  static constexpr std::string_view kName = "failover";
  static constexpr std::array<std::string_view, 10> kStates = {
      "watching",  "confirming", "fencing",   "promoting",   "following",
      "completed", "cleared",    "overtaken", "no_majority", "abandoned"};
  static constexpr std::array<std::string_view, 11> kEvents = {
      "suspected", "start",     "reached",        "confirmed",
      "fenced",    "promoted",  "candidate_lost", "followed",
      "overtaken", "timed_out", "role_lost"};
};

/// @brief Names of the VM lifecycle chart; states as in `wire::vm_state`.
struct vm_lifecycle {
  enum class state : uint8_t { kJoining, kAlive, kSuspect, kLeaving, kDead };
  enum class event : uint8_t { kJoined, kSilent, kRefuted, kLeft, kFailed };
  static constexpr std::string_view kName = "vm_lifecycle";
  static constexpr std::array<std::string_view, 5> kStates = {
      "joining", "alive", "suspect", "leaving", "dead"};
  static constexpr std::array<std::string_view, 5> kEvents = {
      "joined", "silent", "refuted", "left", "failed"};
};

/// @brief Names of the connection chart.
struct connection {
  enum class state : uint8_t {
    kOpening,
    kIdle,
    kBusy,
    kPinned,
    kResetting,
    kSuspect,
    kClosed
  };
  enum class event : uint8_t {
    kOpened,
    kAcquire,
    kRelease,
    kFinished,
    kPin,
    kUnpin,
    kReset,
    kSilent,
    kAnswered,
    kClose
  };
  static constexpr std::string_view kName = "connection";
  static constexpr std::array<std::string_view, 7> kStates = {
      "opening", "idle", "busy", "pinned", "resetting", "suspect", "closed"};
  static constexpr std::array<std::string_view, 10> kEvents = {
      "opened", "acquire", "release", "finished", "pin",
      "unpin",  "reset",   "silent",  "answered", "close"};
};

/// @brief Names of the transaction chart.
struct transaction {
  enum class state : uint8_t {
    kBeginning,
    kOpen,
    kRunning,
    kCommitting,
    kRollingBack,
    kEnded
  };
  enum class event : uint8_t {
    kBegun,
    kExecute,
    kExecuted,
    kCommit,
    kCommitted,
    kRollBack,
    kRolledBack,
    kFail
  };
  static constexpr std::string_view kName = "transaction";
  static constexpr std::array<std::string_view, 6> kStates = {
      "beginning", "open", "running", "committing", "rolling_back", "ended"};
  static constexpr std::array<std::string_view, 8> kEvents = {
      "begun",     "execute",   "executed",    "commit",
      "committed", "roll_back", "rolled_back", "fail"};
};

/// @brief Names of the handover chart.
struct handover {
  enum class state : uint8_t {
    kRecording,
    kStopping,
    kChoosing,
    kPromoting,
    kConfirming,
    kPublishing,
    kDone,
    kAbandoned
  };
  enum class event : uint8_t {
    kRecorded,
    kFailed,
    kStopped,
    kChosen,
    kAlreadyPrimary,
    kRestored,
    kAccepted,
    kRefused,
    kEffective,
    kTimedOut,
    kPublished
  };
  static constexpr std::string_view kName = "handover";
  static constexpr std::array<std::string_view, 8> kStates = {
      "recording",  "stopping",   "choosing", "promoting",
      "confirming", "publishing", "done",     "abandoned"};
  static constexpr std::array<std::string_view, 11> kEvents = {
      "recorded",        "failed",    "stopped",  "chosen",
      "already_primary", "restored",  "accepted", "refused",
      "effective",       "timed_out", "published"};
};

/// @brief The checked definition of an embedded chart. Ends the program if the
/// chart is invalid or does not match the names, which `CheckEmbedded` and a
/// test rule out.
const definition& EmbeddedDefinition(std::string_view name,
                                     std::span<const std::string_view> states,
                                     std::span<const std::string_view> events);

/// @brief A machine for `Chart`, one of the structs above, with typed states
/// and events.
template <typename Chart>
class machine {
 public:
  using state_type = typename Chart::state;
  using event_type = typename Chart::event;

  machine() : machine_(Definition()) {}

  /// @brief See `chart_machine::Fire`.
  bool Fire(event_type event) {
    return machine_.Fire(Chart::kEvents[static_cast<size_t>(event)]);
  }
  state_type state() const { return static_cast<state_type>(machine_.state()); }
  std::string_view StateName() const { return machine_.StateName(); }
  bool InFinalState() const { return machine_.InFinalState(); }

 private:
  static const definition& Definition() {
    static const definition& chart =
        EmbeddedDefinition(Chart::kName, Chart::kStates, Chart::kEvents);
    return chart;
  }

  chart_machine machine_;
};

}  // namespace tarragondale::chart

#endif  // TARRAGONDALE_CHART_H_
