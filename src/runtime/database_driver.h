// Driver of all database connections: one thread with libpq in nonblocking
// pipeline mode on Boost.Asio.
#ifndef TARRAGONDALE_SRC_RUNTIME_DATABASE_DRIVER_H_
#define TARRAGONDALE_SRC_RUNTIME_DATABASE_DRIVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "tarragondale/database.h"

namespace tarragondale::runtime {

struct database_driver_options {
  size_t ring_capacity = 8192;  ///< Commands that wait for the thread.
  std::string user = "tarragondale";
};

/// @brief Carries out `database::command`s of several clients.
///
/// Each client has its own ids and receives its own events, on the driver's
/// thread, in order. The driver has no timeouts: a client that gives up on a
/// connection, also on one that is being opened, closes it.
class database_driver {
 public:
  using callback = std::function<void(database::driver_event)>;
  /// @brief Names a client in `Submit`.
  using client_id = size_t;

  explicit database_driver(database_driver_options options = {});
  /// @brief Stops the thread.
  ~database_driver();
  database_driver(const database_driver&) = delete;
  database_driver& operator=(const database_driver&) = delete;

  /// @brief Adds a client; call only before `Start`.
  client_id AddClient(callback on_event);

  /// @brief Starts the thread.
  void Start();

  /// @brief Closes all connections without events and ends the thread. No
  /// callback runs after it returns.
  void Stop();

  /// @brief Hands over a command; false if the ring is full, and then nothing
  /// of it happens. Thread-safe. An address that is not IP:port gives
  /// `connection_lost`.
  [[nodiscard]] bool Submit(client_id client, database::command command);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_DATABASE_DRIVER_H_
