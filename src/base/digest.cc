// Digests and encodings by OpenSSL.
#include "tarragondale/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <memory>
#include <stdexcept>

namespace tarragondale {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kUrlAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::string_view kStandardAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr size_t kDigestBytes = 32;
constexpr size_t kBlockBytes = 64;
constexpr unsigned char kInnerMask = 0x36;
constexpr unsigned char kOuterMask = 0x5C;

unsigned char* Bytes(std::string& data) {
  return reinterpret_cast<unsigned char*>(data.data());
}

// SHA-256 in steps. The algorithm is fetched once and the context belongs to
// the thread, since OpenSSL 3 spends more time on both than on a short digest.
class hasher {
 public:
  hasher& Begin() {
    EVP_DigestInit_ex2(Context(), Algorithm(), nullptr);
    return *this;
  }
  hasher& Add(std::string_view data) {
    EVP_DigestUpdate(Context(), data.data(), data.size());
    return *this;
  }
  void End(unsigned char* out) { EVP_DigestFinal_ex(Context(), out, nullptr); }

 private:
  struct free_context {
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
  };

  static const EVP_MD* Algorithm() {
    static const EVP_MD* const algorithm =
        EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return algorithm;
  }
  static EVP_MD_CTX* Context() {
    thread_local const std::unique_ptr<EVP_MD_CTX, free_context> context(
        EVP_MD_CTX_new());
    return context.get();
  }
};

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

// Value of each character in an alphabet, or -1.
using decode_table = std::array<int8_t, 256>;

constexpr decode_table MakeDecodeTable(std::string_view alphabet) {
  decode_table table{};
  table.fill(-1);
  for (size_t i = 0; i < alphabet.size(); ++i) {
    table[static_cast<unsigned char>(alphabet[i])] = static_cast<int8_t>(i);
  }
  return table;
}

constexpr decode_table kUrlTable = MakeDecodeTable(kUrlAlphabet);
constexpr decode_table kStandardTable = MakeDecodeTable(kStandardAlphabet);

std::optional<std::string> DecodeBits(std::string_view text,
                                      const decode_table& table) {
  if (text.size() % 4 == 1) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  uint32_t buffer = 0;
  int bits = 0;
  for (const char c : text) {
    const int8_t value = table[static_cast<unsigned char>(c)];
    if (value < 0) {
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
  hasher().Begin().Add(data).End(Bytes(digest));
  return digest;
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  // RFC 2104, section 2. Two plain digests are several times cheaper than
  // OpenSSL's HMAC(), which looks its algorithms up in each call.
  std::array<unsigned char, kBlockBytes> block{};
  if (key.size() > kBlockBytes) {
    const std::string short_key = Sha256(key);
    std::copy(short_key.begin(), short_key.end(), block.begin());
  } else {
    std::copy(key.begin(), key.end(), block.begin());
  }
  const auto masked = [&](unsigned char mask) {
    std::string text(kBlockBytes, '\0');
    for (size_t i = 0; i < kBlockBytes; ++i) {
      text[i] = static_cast<char>(block[i] ^ mask);
    }
    return text;
  };
  std::string digest(kDigestBytes, '\0');
  hasher inner;
  inner.Begin().Add(masked(kInnerMask)).Add(data).End(Bytes(digest));
  inner.Begin().Add(masked(kOuterMask)).Add(digest).End(Bytes(digest));
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
  return DecodeBits(text, kUrlTable);
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
  return DecodeBits(text.substr(0, used), kStandardTable);
}

}  // namespace tarragondale
