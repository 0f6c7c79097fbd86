// Text of a transaction id.
#include "src/session/binary.h"
#include "tarragondale/session.h"

namespace tarragondale::session {
namespace {

constexpr uint64_t kTransactionVersion = 1;
constexpr std::string_view kPurpose = "tarragondale transaction id";

failure NotFound() {
  return {result_code::kTransactionNotFound,
          "no open transaction of this organisation has this id"};
}

}  // namespace

std::string EncodeTransaction(const transaction_id& value,
                              std::string_view key) {
  std::string body;
  AppendInteger(body, kTransactionVersion);
  AppendText(body, value.gateway);
  AppendText(body, value.group);
  AppendText(body, value.member);
  AppendText(body, value.route);
  AppendInteger(body, static_cast<uint64_t>(value.kind));
  AppendInteger(body, value.id.origin);
  AppendInteger(body, value.id.sequence);
  AppendText(body, value.organisation);
  return Seal(body, kPurpose, key);
}

result<transaction_id> DecodeTransaction(std::string_view text,
                                         std::string_view key) {
  std::string body;
  if (text.size() > kMaxTransactionBytes ||
      !Unseal(text, kPurpose, key, body)) {
    return NotFound();
  }
  binary_reader reader(body);
  if (reader.Integer() != kTransactionVersion) {
    return NotFound();
  }
  transaction_id value;
  value.gateway = reader.Text();
  value.group = reader.Text();
  value.member = reader.Text();
  value.route = reader.Text();
  value.kind = reader.Integer() == 0 ? wire::request_kind::kRead
                                     : wire::request_kind::kWrite;
  value.id.origin = reader.Integer();
  value.id.sequence = reader.Integer();
  value.organisation = reader.Text();
  if (!reader.Finished()) {
    return NotFound();
  }
  return value;
}

result<transaction_id> DecodeTransaction(std::string_view text,
                                         std::string_view key,
                                         std::string_view organisation) {
  result<transaction_id> value = DecodeTransaction(text, key);
  if (value && value->organisation != organisation) {
    return NotFound();
  }
  return value;
}

}  // namespace tarragondale::session
