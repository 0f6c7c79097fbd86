// Digests and encodings by OpenSSL.
#include "tarragondale/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace tarragondale {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kUrlAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::string_view kStandardAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr size_t kDigestBytes = 32;

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

unsigned char* Bytes(std::string& data) {
  return reinterpret_cast<unsigned char*>(data.data());
}

std::string EncodeBits(std::string_view bytes, std::string_view alphabet) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  uint32_t buffer = 0;
  int bits = 0;
  for (const char c : bytes) {
    buffer = (buffer << 8) | static_cast<unsigned char>(c);
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      text.push_back(alphabet[(buffer >> bits) & 63]);
    }
  }
  if (bits > 0) {
    text.push_back(alphabet[(buffer << (6 - bits)) & 63]);
  }
  return text;
}

std::optional<std::string> DecodeBits(std::string_view text,
                                      std::string_view alphabet) {
  if (text.size() % 4 == 1) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  uint32_t buffer = 0;
  int bits = 0;
  for (const char c : text) {
    const size_t value = alphabet.find(c);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    buffer = (buffer << 6) | static_cast<uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>((buffer >> bits) & 255));
    }
  }
  // Bits that encode nothing must be zero, so that each value has one text.
  if ((buffer & ((1U << bits) - 1)) != 0) {
    return std::nullopt;
  }
  return bytes;
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

}  // namespace

std::string Sha256(std::string_view data) {
  std::string digest(kDigestBytes, '\0');
  EVP_Digest(data.data(), data.size(), Bytes(digest), nullptr, EVP_sha256(),
             nullptr);
  return digest;
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  std::string digest(kDigestBytes, '\0');
  unsigned int length = kDigestBytes;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data),
       data.size(), Bytes(digest), &length);
  return digest;
}

bool EqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomBytes(size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(Bytes(bytes), static_cast<int>(count)) != 1) {
    // Without secure random numbers no secret may be made.
    throw std::runtime_error("the system has no secure random numbers");
  }
  return bytes;
}

std::string HexEncode(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto value = static_cast<unsigned char>(c);
    text.push_back(kHexDigits[value >> 4]);
    text.push_back(kHexDigits[value & 15]);
  }
  return text;
}

std::optional<std::string> HexDecode(std::string_view text) {
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (size_t i = 0; i < text.size(); i += 2) {
    const int high = HexValue(text[i]);
    const int low = HexValue(text[i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

std::string Base64UrlEncode(std::string_view bytes) {
  return EncodeBits(bytes, kUrlAlphabet);
}

std::optional<std::string> Base64UrlDecode(std::string_view text) {
  return DecodeBits(text, kUrlAlphabet);
}

std::string Base64Encode(std::string_view bytes) {
  std::string text = EncodeBits(bytes, kStandardAlphabet);
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

std::optional<std::string> Base64Decode(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  const size_t end = text.find_last_not_of('=');
  const size_t used = end == std::string_view::npos ? 0 : end + 1;
  if (text.size() - used > 2) {
    return std::nullopt;
  }
  return DecodeBits(text.substr(0, used), kStandardAlphabet);
}

}  // namespace tarragondale
