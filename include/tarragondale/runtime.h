// Public header of the runtime library: the daemon with its threads.
#ifndef TARRAGONDALE_RUNTIME_H_
#define TARRAGONDALE_RUNTIME_H_

#include <cstdint>
#include <memory>
#include <string>

#include "tarragondale/base.h"
#include "tarragondale/config.h"

namespace tarragondale::runtime {

/// @brief A running daemon: HTTP front end, entry, gateway, control, database
/// driver, transport between VMs and store client, each on its own thread.
class daemon {
 public:
  /// @brief Starts all threads. Ports of 0 in the settings are chosen by the
  /// system. Failure: `setting_invalid` if an address can't be listened on.
  static result<std::unique_ptr<daemon>> Start(
      const config::settings& settings);

  /// @brief Ends at once, cutting what runs. Call `StartDrain` first and wait
  /// for `IsDrained` to cut nothing.
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// @brief Starts a graceful shutdown: readiness fails, this VM announces
  /// that it leaves, running work ends, and new work is refused after a
  /// grace. Thread-safe; later calls have no effect.
  void StartDrain();

  /// @brief True once a drain was started and nothing runs any more.
  bool IsDrained() const;

  uint16_t http_port() const;
  uint16_t peer_port() const;

 private:
  class implementation;
  explicit daemon(std::unique_ptr<implementation> parts);

  std::unique_ptr<implementation> parts_;
};

/// @brief The daemon with the line edge: callers and databases speak the
/// platform's line protocol, and the platform's store holds what must last.
///
/// The thread that calls `Run` runs sessions, links, the store client and the
/// changes of primaries, since a VM has a part of one core and each hand-over
/// between threads costs a wake-up. The transport between VMs has threads of
/// its own.
class line_daemon {
 public:
  /// @brief Listens on all addresses. Failure: `setting_invalid`.
  /// @param path File of the settings, read again on SIGHUP and on a change.
  static result<std::unique_ptr<line_daemon>> Create(
      const config::settings& settings,
      const std::string& path);

  ~line_daemon();
  line_daemon(const line_daemon&) = delete;
  line_daemon& operator=(const line_daemon&) = delete;

  /// @brief Runs until SIGTERM or SIGINT and the graceful shutdown after it,
  /// or until a second signal. True if the shutdown cut nothing.
  bool Run();

 private:
  class implementation;
  explicit line_daemon(std::unique_ptr<implementation> parts);

  std::unique_ptr<implementation> parts_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_RUNTIME_H_
