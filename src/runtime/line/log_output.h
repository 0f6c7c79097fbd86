// Log lines to standard output, bounded in volume and never blocking.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_LOG_OUTPUT_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_LOG_OUTPUT_H_

#include <cstdint>
#include <string_view>

namespace tarragondale::runtime {

/// @brief Takes a line into a bounded buffer; drops it if the buffer is full
/// or more lines came in this second than `kMaxLinesPerSecond`. Thread-safe.
void BufferLogLine(std::string_view line);

/// @brief Writes what standard output takes without blocking, and says how
/// many lines were dropped since the last call. Thread-safe.
void FlushLog();

/// @brief Lines that were dropped since the start.
uint64_t DroppedLogLines();

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_LOG_OUTPUT_H_
