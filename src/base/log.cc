// Writes log lines to standard error.
#include "tarragondale/base/log.h"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>

namespace tarragondale {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<std::string_view, 12> kPartNames = {
    "main", "http",  "entry",  "gateway", "control", "database",
    "peer", "store", "config", "standin", "session", "primary"};

std::atomic<log_writer>& Writer() {
  static std::atomic<log_writer> writer{nullptr};
  return writer;
}

std::atomic<log_level>& MinimumLevel() {
  static std::atomic<log_level> level{log_level::kInfo};
  return level;
}

}  // namespace

std::optional<log_level> LogLevelFromName(std::string_view name) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) {
      return static_cast<log_level>(i);
    }
  }
  return std::nullopt;
}

void SetLogWriter(log_writer writer) {
  Writer().store(writer, std::memory_order_relaxed);
}

std::string_view LogPartName(log_part part) {
  return kPartNames[static_cast<size_t>(part)];
}

void SetLogLevel(log_level level) {
  MinimumLevel().store(level, std::memory_order_relaxed);
}

bool LogEnabled(log_level level) {
  return level >= MinimumLevel().load(std::memory_order_relaxed);
}

void WriteLog(log_level level, log_part part, std::string_view sentence) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto ms = now.time_since_epoch().count() % 1000;
  const std::string line = fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
      fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
      kLevelNames[static_cast<size_t>(level)], LogPartName(part), sentence);
  if (const log_writer writer = Writer().load(std::memory_order_relaxed)) {
    return writer(line);
  }
  // One call for each line keeps lines of different threads apart.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace tarragondale
