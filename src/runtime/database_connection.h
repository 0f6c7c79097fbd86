// One libpq connection of the database driver.
#ifndef TARRAGONDALE_SRC_RUNTIME_DATABASE_CONNECTION_H_
#define TARRAGONDALE_SRC_RUNTIME_DATABASE_CONNECTION_H_

#include <libpq-fe.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "tarragondale/database.h"

namespace tarragondale::runtime {

/// Invariants: libpq owns the socket and closes it, the descriptor only waits
/// for it; after `connection_lost` or `Close` no event follows.
class database_connection
    : public std::enable_shared_from_this<database_connection> {
 public:
  using emitter = std::function<void(database::driver_event)>;

  /// @param emit Receives the events of this connection. It may destroy the
  ///   owner's reference on `connection_lost`.
  database_connection(boost::asio::io_context& io,
                      database::connection_id id,
                      emitter emit);
  ~database_connection();
  database_connection(const database_connection&) = delete;
  database_connection& operator=(const database_connection&) = delete;

  void Open(const std::string& address,
            const std::string& database,
            const std::string& user);
  void Send(database::send_query query);
  void Close();

 private:
  enum class phase : uint8_t { kConnecting, kReady, kClosed };

  void ContinueConnecting(PostgresPollingStatusType status);
  void BecomeReady();
  void Transmit(const database::send_query& query);
  void Flush();
  void WaitReadable();
  void WaitWritable();
  void OnReadable();
  void TakeResults();
  void TakeResult(PGresult* result);
  bool FollowSocket();
  void Lose(const std::string& reason);
  void Release();
  std::string LastError() const;

  boost::asio::posix::stream_descriptor descriptor_;
  database::connection_id id_;
  emitter emit_;
  PGconn* connection_ = nullptr;
  phase phase_ = phase::kConnecting;
  bool waiting_readable_ = false;
  bool waiting_writable_ = false;
  std::deque<database::send_query> waiting_;      // Until it is connected.
  std::deque<database::query_finished> running_;  // Results are filled in.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_DATABASE_CONNECTION_H_
