// Buffer of log lines.
#include "src/runtime/line/log_output.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <ctime>
#include <mutex>
#include <string>

namespace tarragondale::runtime {
namespace {

constexpr size_t kMaxBufferedBytes = 256 * 1024;
// An overload would otherwise spend the core on its own description.
constexpr uint64_t kMaxLinesPerSecond = 400;
// At most this much is written at once; a pipe that polls as writable takes it.
constexpr size_t kWriteBytes = 4096;

struct log_buffer {
  std::mutex mutex;
  std::string text;
  time_t second = 0;
  uint64_t lines_in_second = 0;
  uint64_t dropped = 0;
  uint64_t reported = 0;
};

log_buffer& Buffer() {
  static log_buffer buffer;
  return buffer;
}

bool Writable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

}  // namespace

void BufferLogLine(std::string_view line) {
  log_buffer& buffer = Buffer();
  const std::lock_guard lock(buffer.mutex);
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
  if (now.tv_sec != buffer.second) {
    buffer.second = now.tv_sec;
    buffer.lines_in_second = 0;
  }
  if (++buffer.lines_in_second > kMaxLinesPerSecond ||
      buffer.text.size() + line.size() > kMaxBufferedBytes) {
    ++buffer.dropped;
    return;
  }
  buffer.text += line;
}

void FlushLog() {
  log_buffer& buffer = Buffer();
  const std::lock_guard lock(buffer.mutex);
  if (buffer.dropped != buffer.reported) {
    buffer.text += fmt::format("warning main: {} log lines were dropped.\n",
                               buffer.dropped - buffer.reported);
    buffer.reported = buffer.dropped;
  }
  size_t start = 0;
  while (start < buffer.text.size() && Writable()) {
    const ssize_t written =
        write(STDOUT_FILENO, buffer.text.data() + start,
              std::min(kWriteBytes, buffer.text.size() - start));
    if (written <= 0) {
      break;
    }
    start += static_cast<size_t>(written);
  }
  buffer.text.erase(0, start);
}

uint64_t DroppedLogLines() {
  log_buffer& buffer = Buffer();
  const std::lock_guard lock(buffer.mutex);
  return buffer.dropped;
}

}  // namespace tarragondale::runtime
