// Public header of the session library: the session token that carries a
// caller's positions between VMs, and the text that names a transaction.
#ifndef TARRAGONDALE_SESSION_H_
#define TARRAGONDALE_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/wire.h"

namespace tarragondale::session {

/// @brief Highest number of groups in a token.
inline constexpr size_t kMaxGroups = 16;

/// @brief Longest token text in bytes.
inline constexpr size_t kMaxTokenBytes = 1024;

/// @brief Longest transaction id text in bytes.
inline constexpr size_t kMaxTransactionBytes = 1024;

/// @brief Value of the session header of a caller that lost its token.
inline constexpr std::string_view kLostToken = "lost";

/// @brief Highest position of one group that a session wrote or read.
struct group_position {
  std::string group;
  log_position position;
  /// Logical time of the last use within the session; the lowest is dropped
  /// first. Ties are broken by the group's name.
  uint64_t last_use = 0;

  bool operator==(const group_position&) const = default;
};

/// @brief What a session demands of a member of one group.
struct freshness {
  bool primary_only = false;  ///< The session's position is not known.
  log_position minimum;       ///< {0, 0}: any position.
};

/// @brief Positions of a session.
///
/// For each group a token states a position, `none` (a group that is missing
/// from a complete token) or `unknown` (missing from an incomplete token; read
/// it from the primary). `none` orders before all positions and `unknown`
/// after them. `Advance` and `Merge` only ever raise this value.
///
/// Invariants: at most kMaxGroups groups, ordered by name; the encoded text is
/// at most kMaxTokenBytes long.
class token {
 public:
  token() = default;
  /// @param organisation Empty: bound to no organisation.
  explicit token(std::string organisation);

  /// @brief Token of a caller that lost its own: complete for no group.
  static token Lost(std::string organisation);

  const std::string& organisation() const { return organisation_; }
  const std::vector<group_position>& groups() const { return groups_; }
  bool incomplete() const { return incomplete_; }

  /// @brief Binds a token that is bound to no organisation.
  void Bind(std::string_view organisation);

  /// @brief Freshness that the session demands of `group`.
  freshness Requirement(std::string_view group) const;

  /// @brief Records a position that the session wrote or read.
  ///
  /// If the group's position is unknown, a position that was not read from
  /// the primary may be older than what the session saw and is not recorded.
  void Advance(std::string_view group,
               log_position position,
               bool from_primary);

  /// @brief Raises each group to the higher value of both tokens.
  ///
  /// Commutative and idempotent. Associative as long as the groups fit into
  /// one token; beyond that, which groups become `unknown` depends on the
  /// order, but no group's value ever falls. The organisation is kept.
  void Merge(const token& other);

  bool operator==(const token&) const = default;

 private:
  friend class token_codec;
  group_position* Find(std::string_view group);
  const group_position* Find(std::string_view group) const;
  void Insert(group_position entry);
  void DropLeastRecentlyUsed();
  void KeepWithinBounds();

  std::string organisation_;
  std::vector<group_position> groups_;
  bool incomplete_ = false;
};

/// @brief Text of a token: base64url of version, organisation, positions and
/// their HMAC-SHA-256.
/// @param key Secret that all VMs share, raw bytes.
std::string Encode(const token& value, std::string_view key);

/// @brief Verifies and reads a token's text.
/// @param organisation Organisation of the request; empty on open routes.
/// @return Failures: `token_invalid` for text that `Encode` did not write with
///   this key, `token_foreign` if token and request are bound to different
///   organisations. Positions grant nothing, so a token or request that is
///   bound to no organisation goes with any other.
result<token> Decode(std::string_view text,
                     std::string_view key,
                     std::string_view organisation);

/// @brief Names an interactive transaction and where it runs.
struct transaction_id {
  std::string gateway;  ///< VM that holds the transaction's connection.
  std::string group;
  std::string member;
  std::string route;  ///< Checked again at each step, at every entry.
  wire::request_kind kind = wire::request_kind::kRead;
  request_id id;             ///< Request that began the transaction.
  std::string organisation;  ///< Empty on open routes.

  bool operator==(const transaction_id&) const = default;
};

/// @brief Text of a transaction id, ending with an HMAC-SHA-256.
std::string EncodeTransaction(const transaction_id& value,
                              std::string_view key);

/// @brief Verifies and reads the text of a transaction id.
/// @return Failure `transaction_not_found` for text that `EncodeTransaction`
///   did not write with this key.
result<transaction_id> DecodeTransaction(std::string_view text,
                                         std::string_view key);

/// @brief As above; another organisation's transaction is
/// `transaction_not_found` too, so that its existence is not disclosed.
result<transaction_id> DecodeTransaction(std::string_view text,
                                         std::string_view key,
                                         std::string_view organisation);

}  // namespace tarragondale::session

#endif  // TARRAGONDALE_SESSION_H_
