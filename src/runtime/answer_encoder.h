// Encodes answers to callers as HTTP status, headers and JSON body.
#ifndef TARRAGONDALE_SRC_RUNTIME_ANSWER_ENCODER_H_
#define TARRAGONDALE_SRC_RUNTIME_ANSWER_ENCODER_H_

#include <string>
#include <utility>
#include <vector>

#include "tarragondale/entry.h"

namespace tarragondale::runtime {

/// @brief An HTTP answer without its framing headers.
struct http_answer {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// @brief Encodes the answer to an exchange.
http_answer EncodeAnswer(const entry::answer_caller& answer);

/// @brief Encodes a refusal before a request was decoded.
http_answer EncodeRefusal(const request_id& id, const failure& reason);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_ANSWER_ENCODER_H_
