// Structured logging: one short sentence for each event on standard error.
#ifndef TARRAGONDALE_BASE_LOG_H_
#define TARRAGONDALE_BASE_LOG_H_

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragondale {

enum class log_level : uint8_t { kDebug, kInfo, kWarning, kError };

/// @brief The part of the program that writes a line; each has a fixed prefix.
enum class log_part : uint8_t {
  kMain,
  kHttp,
  kEntry,
  kGateway,
  kControl,
  kDatabase,
  kPeer,
  kStore,
  kConfig,
  kStandin,
  kSession,
  kPrimary,
};

/// @brief Level with this name (`debug`, `info`, `warning`, `error`).
std::optional<log_level> LogLevelFromName(std::string_view name);

/// @brief Prefix of a part without the colon, for example `gateway`.
std::string_view LogPartName(log_part part);

/// @brief Drops lines below this level from now on. Thread-safe.
void SetLogLevel(log_level level);

/// @brief Takes each finished line, with its end, in place of standard error.
/// Must be thread-safe and must not block.
using log_writer = void (*)(std::string_view line);

/// @brief Sends all lines to `writer` from now on; null: to standard error.
void SetLogWriter(log_writer writer);

/// @brief Writes `<UTC time> <level> <part>: <sentence>` as one line.
/// Thread-safe. Never pass keys or statement text.
void WriteLog(log_level level, log_part part, std::string_view sentence);

/// @brief True if a line of this level would be written.
bool LogEnabled(log_level level);

/// @brief Formats and writes one line.
template <typename... Args>
void Log(log_level level,
         log_part part,
         fmt::format_string<Args...> format,
         Args&&... args) {
  if (LogEnabled(level)) {
    WriteLog(level, part, fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_LOG_H_
