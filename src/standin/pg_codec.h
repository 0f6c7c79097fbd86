// Messages of the PostgreSQL frontend/backend protocol, version 3.0
// (PostgreSQL documentation, chapter "Frontend/Backend Protocol").
#ifndef SRC_STANDIN_PG_CODEC_H_
#define SRC_STANDIN_PG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/standin/sql.h"

namespace tarragondale::standin {

/// @brief Message of a client; `type` is 0 for the first message.
struct pg_message {
  char type = 0;
  std::string body;
};

/// @brief A message that can't be read; ends the connection.
struct protocol_error {
  std::string message;
};

/// @brief Reads fields of a message body. Throws `protocol_error` beyond its
/// end.
class pg_reader {
 public:
  explicit pg_reader(std::string_view body) : rest_(body) {}

  uint8_t Byte();
  uint16_t Int16();
  uint32_t Int32();
  std::string Text();  ///< Up to a zero byte.
  std::string Bytes(size_t count);
  bool AtEnd() const { return rest_.empty(); }

 private:
  std::string_view Take(size_t count);

  std::string_view rest_;
};

/// @brief Collects answers to a client.
class pg_writer {
 public:
  void AuthenticationOk();
  void ParameterStatus(std::string_view name, std::string_view value);
  void BackendKeyData(uint32_t process, uint32_t secret);
  void ReadyForQuery(char state);
  void Error(const sql_error& error, std::string_view severity);
  void RowDescription(const std::vector<sql_column>& columns);
  void DataRow(const std::vector<std::optional<std::string>>& row);
  void ParameterDescription(const std::vector<uint32_t>& types);
  void CommandComplete(std::string_view tag);
  /// @brief A message without a body, for example ParseComplete.
  void Plain(char type);
  /// @brief The refusal of encryption, which is no message.
  void RefuseEncryption() { bytes_ += 'N'; }

  /// @brief Takes the bytes collected so far.
  std::string Take();
  size_t size() const { return bytes_.size(); }

 private:
  void Add(char type, std::string_view body);

  std::string bytes_;
};

inline constexpr char kParseComplete = '1';
inline constexpr char kBindComplete = '2';
inline constexpr char kCloseComplete = '3';
inline constexpr char kNoData = 'n';
inline constexpr char kPortalSuspended = 's';
inline constexpr char kEmptyQueryResponse = 'I';

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_PG_CODEC_H_
