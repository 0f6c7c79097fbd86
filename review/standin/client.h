// Clients of the system: sessions on the line protocol.
#ifndef TARRAGONDALE_REVIEW_STANDIN_CLIENT_H_
#define TARRAGONDALE_REVIEW_STANDIN_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "review/standin/net.h"

namespace review {

/// @brief One statement of a client and what became of it.
struct outcome {
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
  std::string vm;
  std::string id;
  std::string text;
  /// `DONE`, the word of an error, `closed` or `silent`.
  std::string result;
  std::string state;  ///< `I`, `T` or `E`; empty without a complete answer.
};

/// @brief All statements of all clients. Thread-safe.
class outcomes {
 public:
  void Add(const outcome& each);
  std::vector<outcome> All();

 private:
  std::mutex mutex_;
  std::vector<outcome> all_;
};

/// @brief One session. Used by one thread.
class client {
 public:
  client(std::string vm, std::string address, outcomes& to)
      : vm_(std::move(vm)), address_(std::move(address)), outcomes_(to) {}
  ~client() { Close(); }
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// @brief Connects and starts the session; returns whether it is open.
  bool Open(const std::string& database, const std::string& key);
  void Close();
  bool open() const { return socket_ >= 0; }

  /// @brief Sends a statement with a new id and waits for its answer.
  /// @param limit_ms After which the client closes its session.
  outcome Send(const std::string& text, int64_t limit_ms);

 private:
  const std::string vm_;
  const std::string address_;
  outcomes& outcomes_;
  int socket_ = -1;
  std::unique_ptr<input> stream_;
};

}  // namespace review

#endif  // TARRAGONDALE_REVIEW_STANDIN_CLIENT_H_
