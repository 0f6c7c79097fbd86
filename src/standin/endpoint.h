// A listening address with fault injection. Every part reads and writes
// through it, so that all parts have the same faults.
#ifndef SRC_STANDIN_ENDPOINT_H_
#define SRC_STANDIN_ENDPOINT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/standin/reactor.h"

namespace tarragondale::standin {

/// @brief A connection of a client to an endpoint.
struct connection {
  uint64_t id = 0;
  tcp::socket socket;
  bool cut_in = false;   ///< Bytes of the client don't arrive.
  bool cut_out = false;  ///< Bytes to the client aren't sent.
};

/// @brief Faults in effect at an endpoint.
struct fault_set {
  bool stopped = false;
  bool cut_in = false;
  bool cut_out = false;
  bool refuse = false;
  milliseconds delay{0};
  int drops_left = 0;      ///< Answers to drop; -1: all.
  std::string drop_match;  ///< Drops only answers to requests with this text.
};

/// @brief Listens on a port and runs a session for each connection.
class endpoint {
 public:
  using session_function = std::function<task<void>(connection&)>;

  endpoint(reactor& loop, std::string host, session_function session);

  /// @brief Binds and listens; port 0 is any free port. Throws on failure.
  void Open(uint16_t port);

  uint16_t port() const { return port_; }
  const std::string& host() const { return host_; }
  const fault_set& faults() const { return faults_; }
  std::vector<uint64_t> ConnectionIds() const;
  int64_t accepted() const { return accepted_; }

  void Stop();
  void Cut(bool in, bool out);
  /// @brief Cuts single connections; empty `ids` means all that are open now.
  /// Returns the number of connections cut.
  int CutConnections(const std::vector<uint64_t>& ids, bool in, bool out);
  void Slow(milliseconds delay) { faults_.delay = delay; }
  void DropAnswers(int count, std::string match);
  void Refuse() { faults_.refuse = true; }
  /// @brief Ends all faults and listens again. Throws if the port is taken.
  void Heal();

  /// @brief Waits while input is cut, then for the added delay. Call it after
  /// bytes were read and before they have an effect.
  task<void> PassIn(connection& from);
  /// @brief Waits while output is cut. Call it before bytes are written.
  task<void> PassOut(connection& to);
  /// @brief True if the answer to a request with this text shall be dropped;
  /// the session must close the connection then.
  bool TakeDrop(std::string_view request);

 private:
  task<void> Accept(std::shared_ptr<tcp::acceptor> acceptor);
  task<void> Serve(std::shared_ptr<connection> client);
  void Close();

  reactor& loop_;
  std::string host_;
  session_function session_;
  uint16_t port_ = 0;
  std::shared_ptr<tcp::acceptor> acceptor_;  ///< Replaced by `Heal`.
  fault_set faults_;
  signal healed_;
  std::map<uint64_t, connection*> connections_;
  uint64_t next_id_ = 1;
  int64_t accepted_ = 0;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_ENDPOINT_H_
