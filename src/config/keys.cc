// Grants keys and verifies bearer texts.
#include <fmt/format.h>

#include "tarragondale/config.h"

namespace tarragondale::config {
namespace {

constexpr size_t kIdBytes = 8;
constexpr size_t kSaltBytes = 16;
constexpr size_t kSecretBytes = 32;
// Longer texts are no keys; the limit bounds the work for them.
constexpr size_t kMaxBearer = 256;

std::string KeyDigest(std::string_view salt, std::string_view secret) {
  return Sha256(std::string(salt).append(secret));
}

// Compared when no record has the id, so that the answer takes as long.
const key_record& AbsentKey() {
  static const key_record record{"", "", std::string(kSaltBytes * 2, '0'),
                                 std::string(kSecretBytes * 2, '0'), 0};
  return record;
}

}  // namespace

result<granted_key> GrantKey(std::string_view organisation) {
  if (!IsName(organisation)) {
    return failure{
        result_code::kInvalidField,
        fmt::format("organisation: {:?} is not 1 to 63 characters of a-z, 0-9 "
                    "and -",
                    organisation)};
  }
  try {
    const std::string salt = RandomBytes(kSaltBytes);
    const std::string secret = Base64UrlEncode(RandomBytes(kSecretBytes));
    granted_key granted;
    granted.record.id = HexEncode(RandomBytes(kIdBytes));
    granted.record.organisation = organisation;
    granted.record.salt = HexEncode(salt);
    granted.record.digest = HexEncode(KeyDigest(salt, secret));
    granted.bearer = granted.record.id + "." + secret;
    return granted;
  } catch (const std::exception& error) {
    return failure{result_code::kInternal, error.what()};
  }
}

result<const key_record*> VerifyBearer(const configuration& value,
                                       std::optional<std::string_view> bearer) {
  if (!bearer || bearer->empty()) {
    return failure{result_code::kKeyMissing, "the request carries no key"};
  }
  // The reason never says which part of the key was wrong.
  const failure invalid{result_code::kKeyInvalid,
                        "the key is unknown, wrong or withdrawn"};
  const size_t dot = bearer->find('.');
  if (bearer->size() > kMaxBearer || dot == std::string_view::npos) {
    return invalid;
  }
  const auto found = value.keys.find(bearer->substr(0, dot));
  const bool exists = found != value.keys.end();
  const key_record& record = exists ? found->second : AbsentKey();
  const std::string digest =
      KeyDigest(HexDecode(record.salt).value_or(""), bearer->substr(dot + 1));
  const bool equal =
      EqualConstantTime(HexDecode(record.digest).value_or(""), digest);
  if (!exists || !equal) {
    return invalid;
  }
  return &record;
}

bool VerifyOperatorKey(std::string_view digest, std::string_view key) {
  return EqualConstantTime(digest, Sha256(key));
}

}  // namespace tarragondale::config
