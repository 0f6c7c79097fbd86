// Requests to the key-value service and its answers, with their JSON. Pure.
#ifndef TARRAGONDALE_STORE_MESSAGES_H_
#define TARRAGONDALE_STORE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::store {

struct key_value {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;  ///< Number of writes since the key was created.
  int64_t lease = 0;    ///< 0: none.

  bool operator==(const key_value&) const = default;
};

/// @brief Keys from `key` up to but without `range_end`; only `key` if
/// `range_end` is empty.
struct range_request {
  std::string key;
  std::string range_end;
  int64_t limit = 0;     ///< 0: no limit.
  int64_t revision = 0;  ///< 0: the newest.

  bool operator==(const range_request&) const = default;
};

struct put_request {
  std::string key;
  std::string value;
  int64_t lease = 0;

  bool operator==(const put_request&) const = default;
};

struct delete_request {
  std::string key;
  std::string range_end;

  bool operator==(const delete_request&) const = default;
};

using operation = std::variant<range_request, put_request, delete_request>;

enum class compare_target : uint8_t { kModRevision, kCreateRevision, kVersion };

/// @brief Condition that a number of a key equals `number`; the numbers of an
/// absent key are 0.
struct compare {
  std::string key;
  compare_target target = compare_target::kModRevision;
  int64_t number = 0;

  bool operator==(const compare&) const = default;
};

/// @brief Runs `success` if all compares hold, else `failure`, atomically.
struct txn_request {
  std::vector<compare> compares;
  std::vector<operation> success;
  std::vector<operation> failure;

  bool operator==(const txn_request&) const = default;
};

struct range_answer {
  int64_t revision = 0;  ///< Revision of the store when it answered.
  std::vector<key_value> rows;
  bool more = false;  ///< The limit cut rows off.
};

struct txn_answer {
  int64_t revision = 0;
  bool succeeded = false;
  /// One for each operation that ran; rows only for ranges.
  std::vector<range_answer> answers;
};

struct lease_answer {
  int64_t id = 0;
  int64_t ttl_s = 0;  ///< 0 in answers to a keepalive: the lease has ended.
};

struct watch_request {
  std::string key;
  std::string range_end;
  int64_t start_revision = 0;  ///< 0: from now on.
};

struct watch_event {
  bool deleted = false;
  key_value row;  ///< Without a value if it was deleted.

  bool operator==(const watch_event&) const = default;
};

struct watch_message {
  int64_t revision = 0;
  std::vector<watch_event> events;
  bool cancelled = false;
  /// Above 0: the start revision is compacted; a full load is needed.
  int64_t compact_revision = 0;
  std::string reason;
};

/// @brief End of the range of all keys that start with `prefix`.
std::string PrefixEnd(std::string_view prefix);

std::string EncodeRange(const range_request& request);
std::string EncodeTxn(const txn_request& request);
std::string EncodeLeaseGrant(int64_t ttl_s);
std::string EncodeLeaseId(int64_t id);
std::string EncodeWatch(const watch_request& request);

/// @brief Decoders of answers. Failure `store_row_invalid` for bytes that are
/// no such answer. Both spellings of field names in the mapping of protocol
/// buffers to JSON, `mod_revision` and `modRevision`, are read.
result<range_answer> DecodeRangeAnswer(std::string_view json);
result<txn_answer> DecodeTxnAnswer(std::string_view json);
result<lease_answer> DecodeLeaseAnswer(std::string_view json);
result<watch_message> DecodeWatchMessage(std::string_view json);

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_STORE_MESSAGES_H_
