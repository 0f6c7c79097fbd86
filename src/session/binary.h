// Writer and reader of the compact binary form of tokens and transaction ids.
#ifndef TARRAGONDALE_SRC_SESSION_BINARY_H_
#define TARRAGONDALE_SRC_SESSION_BINARY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tarragondale::session {

/// @brief Length of an HMAC-SHA-256.
inline constexpr size_t kMacBytes = 32;

/// @brief Appends a variable-length integer, seven bits in each byte, lowest
/// first.
void AppendInteger(std::string& out, uint64_t value);

/// @brief Appends a length and the bytes.
void AppendText(std::string& out, std::string_view text);

/// @brief Number of bytes that `AppendInteger` writes.
size_t IntegerBytes(uint64_t value);

/// @brief Reads what the functions above wrote. After a failure all reads
/// give zero or empty text.
class binary_reader {
 public:
  explicit binary_reader(std::string_view bytes) : bytes_(bytes) {}

  uint64_t Integer();
  std::string Text();
  /// @brief True if all reads succeeded and nothing is left.
  bool Finished() const { return !failed_ && bytes_.empty(); }
  bool failed() const { return failed_; }

 private:
  uint64_t Fail();

  std::string_view bytes_;
  bool failed_ = false;
};

/// @brief Base64url of `body` and its MAC. `purpose` separates the uses of
/// one key: a token is never valid as a transaction id.
std::string Seal(std::string_view body,
                 std::string_view purpose,
                 std::string_view key);

/// @brief Body of a sealed text; false if the text was not sealed with this
/// purpose and key.
bool Unseal(std::string_view text,
            std::string_view purpose,
            std::string_view key,
            std::string& body);

}  // namespace tarragondale::session

#endif  // TARRAGONDALE_SRC_SESSION_BINARY_H_
