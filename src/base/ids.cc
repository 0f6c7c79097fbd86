// Text form of identifiers.
#include "tarragondale/base/ids.h"

#include <fmt/format.h>

#include <charconv>

namespace tarragondale {
namespace {

constexpr size_t kDigitsPerPart = 16;
constexpr int kHexadecimal = 16;

std::optional<uint64_t> ParsePart(std::string_view text) {
  uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, value, kHexadecimal);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToText(const request_id& id) {
  return fmt::format("{:016x}{:016x}", id.origin, id.sequence);
}

std::optional<request_id> RequestIdFromText(std::string_view text) {
  if (text.size() != 2 * kDigitsPerPart) {
    return std::nullopt;
  }
  const auto origin = ParsePart(text.substr(0, kDigitsPerPart));
  const auto sequence = ParsePart(text.substr(kDigitsPerPart));
  if (!origin || !sequence) {
    return std::nullopt;
  }
  return request_id{*origin, *sequence};
}

}  // namespace tarragondale
