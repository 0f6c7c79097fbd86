// Compact binary form of tokens and transaction ids.
#include "src/session/binary.h"

#include "tarragondale/base.h"

namespace tarragondale::session {
namespace {

constexpr int kBitsPerByte = 7;
constexpr int kMaxShift = 63;
constexpr uint64_t kLowBits = 0x7F;
constexpr uint64_t kMoreBit = 0x80;

std::string Mac(std::string_view body,
                std::string_view purpose,
                std::string_view key) {
  std::string message(purpose);
  message.push_back('\0');
  message.append(body);
  return HmacSha256(key, message);
}

}  // namespace

void AppendInteger(std::string& out, uint64_t value) {
  while (value > kLowBits) {
    out.push_back(static_cast<char>((value & kLowBits) | kMoreBit));
    value >>= kBitsPerByte;
  }
  out.push_back(static_cast<char>(value));
}

void AppendText(std::string& out, std::string_view text) {
  AppendInteger(out, text.size());
  out.append(text);
}

size_t IntegerBytes(uint64_t value) {
  size_t count = 1;
  while (value > kLowBits) {
    value >>= kBitsPerByte;
    ++count;
  }
  return count;
}

uint64_t binary_reader::Fail() {
  failed_ = true;
  bytes_ = {};
  return 0;
}

uint64_t binary_reader::Integer() {
  uint64_t value = 0;
  for (int shift = 0; shift <= kMaxShift; shift += kBitsPerByte) {
    if (bytes_.empty()) {
      return Fail();
    }
    const auto byte = static_cast<unsigned char>(bytes_.front());
    bytes_.remove_prefix(1);
    value |= (byte & kLowBits) << shift;
    if ((byte & kMoreBit) == 0) {
      return value;
    }
  }
  return Fail();
}

std::string binary_reader::Text() {
  const uint64_t size = Integer();
  if (size > bytes_.size()) {
    Fail();
    return {};
  }
  std::string text(bytes_.substr(0, size));
  bytes_.remove_prefix(size);
  return text;
}

std::string Seal(std::string_view body,
                 std::string_view purpose,
                 std::string_view key) {
  std::string bytes(body);
  bytes += Mac(body, purpose, key);
  return Base64UrlEncode(bytes);
}

bool Unseal(std::string_view text,
            std::string_view purpose,
            std::string_view key,
            std::string& body) {
  std::optional<std::string> bytes = Base64UrlDecode(text);
  if (!bytes || bytes->size() < kMacBytes) {
    return false;
  }
  const std::string_view all = *bytes;
  const std::string_view content = all.substr(0, all.size() - kMacBytes);
  if (!EqualConstantTime(Mac(content, purpose, key),
                         all.substr(content.size()))) {
    return false;
  }
  body = content;
  return true;
}

}  // namespace tarragondale::session
