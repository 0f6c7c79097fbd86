// Binary form of a session token.
#ifndef TARRAGONDALE_SRC_SESSION_TOKEN_CODEC_H_
#define TARRAGONDALE_SRC_SESSION_TOKEN_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "tarragondale/session.h"

namespace tarragondale::session {

/// @brief Writes and reads the body of a token, without its MAC.
class token_codec {
 public:
  /// @brief Length of the text of `value`.
  static size_t TextBytes(const token& value);
  static std::string Write(const token& value);
  /// @brief False if the body breaks an invariant of `token`.
  static bool Read(std::string_view body, token& value);
};

}  // namespace tarragondale::session

#endif  // TARRAGONDALE_SRC_SESSION_TOKEN_CODEC_H_
