// Random numbers and the time of day, which decision libraries get as
// arguments.
#ifndef TARRAGONDALE_SRC_RUNTIME_SYSTEM_SOURCES_H_
#define TARRAGONDALE_SRC_RUNTIME_SYSTEM_SOURCES_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "tarragondale/base.h"

namespace tarragondale::runtime {

inline uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

/// @brief Unix time in milliseconds. Later processes of one name take it as
/// their incarnation, which rises.
inline int64_t UnixMsNow() {
  return ToMs(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_SYSTEM_SOURCES_H_
