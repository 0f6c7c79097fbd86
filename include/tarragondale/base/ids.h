// Identifiers that several libraries share.
#ifndef TARRAGONDALE_BASE_IDS_H_
#define TARRAGONDALE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tarragondale {

/// @brief Identifies a request in all VMs and logs.
///
/// `origin` identifies the VM and its incarnation, `sequence` counts its
/// requests from 1. The default value identifies no request.
struct request_id {
  uint64_t origin = 0;
  uint64_t sequence = 0;

  auto operator<=>(const request_id&) const = default;
  /// @brief True if this identifies a request.
  explicit operator bool() const { return sequence != 0; }
};

/// @brief 32 hexadecimal digits.
std::string ToText(const request_id& id);

/// @brief The id with this text; empty optional if the text is malformed.
std::optional<request_id> RequestIdFromText(std::string_view text);

/// @brief A place in the log of a database group.
///
/// Terms order before positions. Positions count log entries from 1; position
/// 0 is the empty log.
struct log_position {
  int64_t term = 0;
  int64_t position = 0;

  auto operator<=>(const log_position&) const = default;
};

}  // namespace tarragondale

template <>
struct std::hash<tarragondale::request_id> {
  size_t operator()(const tarragondale::request_id& id) const noexcept {
    constexpr uint64_t kOddMultiplier = 0x9E3779B97F4A7C15ULL;
    return static_cast<size_t>(id.origin ^ (id.sequence * kOddMultiplier));
  }
};

#endif  // TARRAGONDALE_BASE_IDS_H_
