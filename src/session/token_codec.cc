// Text of a session token: body, MAC, base64url.
#include "src/session/token_codec.h"

#include "src/session/binary.h"

namespace tarragondale::session {
namespace {

constexpr uint64_t kTokenVersion = 1;
constexpr std::string_view kPurpose = "tarragondale session token";

size_t TextFieldBytes(std::string_view text) {
  return IntegerBytes(text.size()) + text.size();
}

// Length of base64url text without padding.
size_t EncodedBytes(size_t raw) {
  return (raw * 4 + 2) / 3;
}

}  // namespace

size_t token_codec::TextBytes(const token& value) {
  size_t raw = IntegerBytes(kTokenVersion) + 1 +
               TextFieldBytes(value.organisation_) +
               IntegerBytes(value.groups_.size()) + kMacBytes;
  for (const group_position& entry : value.groups_) {
    raw += TextFieldBytes(entry.group) +
           IntegerBytes(static_cast<uint64_t>(entry.position.term)) +
           IntegerBytes(static_cast<uint64_t>(entry.position.position)) +
           IntegerBytes(entry.last_use);
  }
  return EncodedBytes(raw);
}

std::string token_codec::Write(const token& value) {
  std::string body;
  AppendInteger(body, kTokenVersion);
  AppendInteger(body, value.incomplete_ ? 1 : 0);
  AppendText(body, value.organisation_);
  AppendInteger(body, value.groups_.size());
  for (const group_position& entry : value.groups_) {
    AppendText(body, entry.group);
    AppendInteger(body, static_cast<uint64_t>(entry.position.term));
    AppendInteger(body, static_cast<uint64_t>(entry.position.position));
    AppendInteger(body, entry.last_use);
  }
  return body;
}

bool token_codec::Read(std::string_view body, token& value) {
  binary_reader reader(body);
  if (reader.Integer() != kTokenVersion) {
    return false;
  }
  value.incomplete_ = reader.Integer() != 0;
  value.organisation_ = reader.Text();
  const uint64_t count = reader.Integer();
  if (count > kMaxGroups) {
    return false;
  }
  for (uint64_t i = 0; i < count && !reader.failed(); ++i) {
    group_position entry;
    entry.group = reader.Text();
    entry.position.term = static_cast<int64_t>(reader.Integer());
    entry.position.position = static_cast<int64_t>(reader.Integer());
    entry.last_use = reader.Integer();
    if (!value.groups_.empty() && value.groups_.back().group >= entry.group) {
      return false;
    }
    value.groups_.push_back(std::move(entry));
  }
  return reader.Finished();
}

std::string Encode(const token& value, std::string_view key) {
  // An organisation whose name fills the token leaves no room for positions.
  if (token_codec::TextBytes(value) > kMaxTokenBytes) {
    return std::string(kLostToken);
  }
  return Seal(token_codec::Write(value), kPurpose, key);
}

result<token> Decode(std::string_view text,
                     std::string_view key,
                     std::string_view organisation) {
  std::string body;
  token value;
  if (text.size() > kMaxTokenBytes || !Unseal(text, kPurpose, key, body) ||
      !token_codec::Read(body, value)) {
    return failure{result_code::kTokenInvalid,
                   "the session token was not issued by this system"};
  }
  if (!value.organisation().empty() && !organisation.empty() &&
      value.organisation() != organisation) {
    return failure{result_code::kTokenForeign,
                   "the session token belongs to another organisation"};
  }
  return value;
}

}  // namespace tarragondale::session
