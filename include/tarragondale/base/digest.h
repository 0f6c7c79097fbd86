// Digests, message authentication, text encodings and random secrets, by
// OpenSSL.
#ifndef TARRAGONDALE_BASE_DIGEST_H_
#define TARRAGONDALE_BASE_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tarragondale {

/// @brief SHA-256 of `data`: 32 raw bytes.
std::string Sha256(std::string_view data);

/// @brief HMAC-SHA-256 (RFC 2104) of `data`: 32 raw bytes.
std::string HmacSha256(std::string_view key, std::string_view data);

/// @brief Compares in time that depends only on the lengths.
bool EqualConstantTime(std::string_view a, std::string_view b);

/// @brief `count` bytes from the system's generator of secure random numbers.
std::string RandomBytes(size_t count);

/// @brief Lower-case hexadecimal text.
std::string HexEncode(std::string_view bytes);

/// @brief Bytes of hexadecimal text; empty optional if it is not hexadecimal.
std::optional<std::string> HexDecode(std::string_view text);

/// @brief Base64url without padding (RFC 4648, section 5).
std::string Base64UrlEncode(std::string_view bytes);

/// @brief Bytes of base64url text without padding; empty optional on any
/// other character or a length that no encoding has.
std::optional<std::string> Base64UrlDecode(std::string_view text);

/// @brief Standard base64 with padding (RFC 4648, section 4).
std::string Base64Encode(std::string_view bytes);

/// @brief Bytes of standard base64 text; empty optional if it is malformed.
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_DIGEST_H_
