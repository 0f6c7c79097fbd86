// Public header of the standin library: test stand-ins for the key-value
// service, database groups and the list of VMs, with a control port for fault
// injection. docs/standin.md describes the control port.
#ifndef TARRAGONDALE_STANDIN_H_
#define TARRAGONDALE_STANDIN_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::standin {

/// @brief A member of a database group. Names are unique over all groups.
struct member_options {
  std::string name;
  uint16_t port = 0;  ///< 0: any free port.
};

/// @brief Limits and times of the members of a group.
struct member_limits {
  int slots = 2;                      ///< Concurrent statements.
  int connections = 16;               ///< Connection cap.
  milliseconds open_time{12};         ///< Cost of a new connection.
  milliseconds statement_time{1};     ///< Time that a statement uses its slot.
  milliseconds lock_timeout{2000};    ///< Wait for another writer.
  milliseconds replication_delay{1};  ///< Delay of entries on their way.
};

/// @brief A database group. Its first member is primary of term 1.
struct group_options {
  std::string name;
  std::vector<member_options> members;
  member_limits limits;
  /// Statements of the first log entry, held by all members from the start.
  /// Empty: no entry.
  std::string initial_sql;
};

/// @brief What to start. Ports: 0 for any free port, -1 for no such part.
struct server_options {
  std::string host = "127.0.0.1";
  int control_port = 0;
  int store_port = -1;
  int vm_list_port = -1;
  std::vector<group_options> groups;
};

/// @brief Answer of the control port.
struct control_answer {
  int status = 0;    ///< HTTP status.
  std::string body;  ///< JSON.
};

/// @brief Runs the chosen parts on one thread until it is destroyed.
class server {
 public:
  /// @brief Starts all parts. Failure `config_invalid` if a port can't be
  /// bound or the options are contradictory.
  static result<std::unique_ptr<server>> Start(const server_options& options);

  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  /// @brief Bound port of a part: `control`, `store`, `vm_list` or the name
  /// of a member. 0 if there is no such part.
  uint16_t Port(std::string_view part) const;

  /// @brief `host:port` of a part, for configuration tables.
  std::string Address(std::string_view part) const;

  /// @brief Same as a request to the control port. Thread-safe.
  control_answer Control(std::string_view method,
                         std::string_view path,
                         std::string_view body = {});

 private:
  class implementation;
  explicit server(std::unique_ptr<implementation> parts);

  std::unique_ptr<implementation> parts_;
};

}  // namespace tarragondale::standin

#endif  // TARRAGONDALE_STANDIN_H_
